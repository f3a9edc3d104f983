#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exchange/context.h"

#define MAC_BYTES 32
#define HALF_DIGITS 16 /* of a fingerprint's half */

/*
 * Writes a context in its one text form into CONTEXT_TEXT_MAX bytes.
 */
void
context_format(const struct context *c, char *buf)
{
	snprintf(buf, CONTEXT_TEXT_MAX,
	    "v=1;root=%016" PRIx64 ";att=%016" PRIx64
	    ";cls=%u;ret=%u;dl=%u;dep=%u;idem=%u;key=%016" PRIx64
	    ";fp=%016" PRIx64 "%016" PRIx64 ";svc=%s;ws=%s",
	    c->root, c->attempt, c->importance, c->retries, c->deadline_ms,
	    c->depth, c->idempotent, c->key_tag, c->print[0], c->print[1],
	    c->service, c->workspace);
}

/*
 * Reads a label and a number of the given base; the number ends at a
 * separator.  Returns -1 where the text is not of that form.
 */
static int
take_number(
    const char **s, const char *label, int base, uint64_t max, uint64_t *val)
{
	size_t n = strlen(label);
	char *end;

	if (strncmp(*s, label, n) != 0 || !isxdigit((unsigned char)(*s)[n]))
		return -1;
	errno = 0;
	*val = strtoull(*s + n, &end, base);
	if (errno != 0 || *val > max || *end != ';')
		return -1;
	*s = end + 1;
	return 0;
}

/*
 * Reads a label and a number that fits 32 bits.
 */
static int
take_u32(const char **s, const char *label, uint32_t max, uint32_t *val)
{
	uint64_t n;

	if (take_number(s, label, 10, max, &n) == -1)
		return -1;
	*val = (uint32_t)n;
	return 0;
}

/*
 * Reads a fingerprint, which is one long number in two halves.
 */
static int
take_print(const char **s, uint64_t print[2])
{
	char half[HALF_DIGITS + 2];
	const char *p = half;

	if (strncmp(*s, "fp=", 3) != 0 || strlen(*s + 3) < 2 * HALF_DIGITS)
		return -1;
	memcpy(half, *s + 3, HALF_DIGITS);
	half[HALF_DIGITS] = ';';
	half[HALF_DIGITS + 1] = '\0';
	*s += 3 + HALF_DIGITS;
	if (take_number(&p, "", 16, UINT64_MAX, &print[0]) == -1)
		return -1;
	return take_number(s, "", 16, UINT64_MAX, &print[1]);
}

/*
 * Reads a label and a name that ends at the separator or the text's end.
 */
static int
take_name(const char **s, const char *label, char last, char *name)
{
	size_t n = strlen(label), len;

	if (strncmp(*s, label, n) != 0)
		return -1;
	len = strcspn(*s + n, ";");
	if (len > CONFIG_NAME_MAX || (*s)[n + len] != last)
		return -1;
	memcpy(name, *s + n, len);
	*s += n + len + (last != '\0');
	return 0;
}

/*
 * Reads a context from its text form.  Returns -1 where it is not exactly
 * that form or a value is out of range.
 */
int
context_parse(struct context *c, const char *s)
{
	char again[CONTEXT_TEXT_MAX];
	const char *p = s;
	uint64_t version;

	memset(c, 0, sizeof(*c));
	if (strlen(s) >= CONTEXT_TEXT_MAX ||
	    take_number(&p, "v=", 10, 1, &version) == -1 ||
	    take_number(&p, "root=", 16, UINT64_MAX, &c->root) == -1 ||
	    take_number(&p, "att=", 16, UINT64_MAX, &c->attempt) == -1 ||
	    take_u32(&p, "cls=", CLASS_MAX - 1, &c->importance) == -1 ||
	    take_u32(&p, "ret=", CONFIG_RETRIES_MAX, &c->retries) == -1 ||
	    take_u32(&p, "dl=", CONFIG_DEADLINE_MAX, &c->deadline_ms) == -1 ||
	    take_u32(&p, "dep=", CONTEXT_DEPTH_MAX, &c->depth) == -1 ||
	    take_u32(&p, "idem=", 1, &c->idempotent) == -1 ||
	    take_number(&p, "key=", 16, UINT64_MAX, &c->key_tag) == -1 ||
	    take_print(&p, c->print) == -1 ||
	    take_name(&p, "svc=", ';', c->service) == -1 ||
	    take_name(&p, "ws=", '\0', c->workspace) == -1)
		return -1;
	context_format(c, again);
	return strcmp(s, again) == 0 ? 0 : -1;
}

/*
 * Computes the proof that a peer made a request, as CONTEXT_MAC_HEX bytes.
 */
void
context_mac(const unsigned char *key, const char *method, const char *target,
    const char *text, char *hex)
{
	crypto_generichash_state st;
	unsigned char mac[MAC_BYTES];

	crypto_generichash_init(&st, key, CONTEXT_KEY_BYTES, sizeof(mac));
	crypto_generichash_update(
	    &st, (const unsigned char *)method, strlen(method) + 1);
	crypto_generichash_update(
	    &st, (const unsigned char *)target, strlen(target) + 1);
	crypto_generichash_update(
	    &st, (const unsigned char *)text, strlen(text));
	crypto_generichash_final(&st, mac, sizeof(mac));
	sodium_bin2hex(hex, CONTEXT_MAC_HEX, mac, sizeof(mac));
}

/*
 * Tells whether a proof fits a request, in time that doesn't depend on it.
 */
int
context_mac_good(const unsigned char *key, const char *method,
    const char *target, const char *text, const char *hex)
{
	char want[CONTEXT_MAC_HEX];

	context_mac(key, method, target, text, want);
	return strlen(hex) == CONTEXT_MAC_HEX - 1 &&
	       sodium_memcmp(want, hex, CONTEXT_MAC_HEX - 1) == 0;
}

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exchange/context.h"

#define MAC_BYTES 32

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
 * Reads a context from its text form.  Returns -1 where it is not exactly
 * that form or a value is out of range.
 */
int
context_parse(struct context *c, const char *s)
{
	char again[CONTEXT_TEXT_MAX];
	int n;

	memset(c, 0, sizeof(*c));
	if (strlen(s) >= CONTEXT_TEXT_MAX)
		return -1;
	n = sscanf(s,
	    "v=1;root=%16" SCNx64 ";att=%16" SCNx64
	    ";cls=%9u;ret=%9u;dl=%9u;dep=%9u;idem=%1u;key=%16" SCNx64
	    ";fp=%16" SCNx64 "%16" SCNx64 ";svc=%63[^;];ws=%63[^;]",
	    &c->root, &c->attempt, &c->importance, &c->retries, &c->deadline_ms,
	    &c->depth, &c->idempotent, &c->key_tag, &c->print[0], &c->print[1],
	    c->service, c->workspace);
	if (n < 11 || c->importance >= CLASS_MAX || c->idempotent > 1 ||
	    c->retries > CONFIG_RETRIES_MAX || c->depth > CONTEXT_DEPTH_MAX)
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

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "settings/settings.h"
#include "settings/table.h"

#define ENDPOINT_BYTES 32 /* an address and a port with their NUL */

static int read_address(
    const struct row *, const char *, void *, char *, size_t);
static int read_number(
    const struct row *, const char *, void *, char *, size_t);
static int read_name(const struct row *, const char *, void *, char *, size_t);
static int read_url(const struct row *, const char *, void *, char *, size_t);
static int read_peers(const struct row *, const char *, void *, char *, size_t);
static int read_path(const struct row *, const char *, void *, char *, size_t);
static int read_secret(
    const struct row *, const char *, void *, char *, size_t);
static int read_level(const struct row *, const char *, void *, char *, size_t);
static int read_policies(
    const struct row *, const char *, void *, char *, size_t);
static void print_address(const void *, FILE *);
static void print_number(const void *, FILE *);
static void print_text(const void *, FILE *);
static void print_peers(const void *, FILE *);
static void print_secret(const void *, FILE *);
static void print_level(const void *, FILE *);
static void print_policies(const void *, FILE *);
static int endpoint_read(const char *, size_t, struct settings_endpoint *);
static int number_read(const char *, uint32_t, uint32_t, uint32_t *);
static int word_index(const char *, size_t, const char *const *, size_t);

static const char *const level_names[] = { "emerg", "alert", "crit", "err",
	"warning", "notice", "info", "debug" };

static const char *const policy_names[POLICY_MAX] = {
	[POLICY_ADMISSION] = "admission",
	[POLICY_RETRY_BUDGET] = "retry-budget",
	[POLICY_ROUTING] = "routing",
	[POLICY_EJECTION] = "ejection",
	[POLICY_QUARANTINE] = "quarantine",
	[POLICY_PRECHECK] = "precheck",
};

static const struct kind_ops kinds[KIND_MAX] = {
	[KIND_ADDRESS] = { read_address, print_address, "IP" },
	[KIND_NUMBER] = { read_number, print_number, "N" },
	[KIND_NAME] = { read_name, print_text, "NAME" },
	[KIND_URL] = { read_url, print_text, "URL" },
	[KIND_PEERS] = { read_peers, print_peers, "IP:PORT,..." },
	[KIND_PATH] = { read_path, print_text, "FILE" },
	[KIND_SECRET] = { read_secret, print_secret, "BYTES" },
	[KIND_LEVEL] = { read_level, print_level, "LEVEL" },
	[KIND_POLICIES] = { read_policies, print_policies, "POLICY,..." },
};

/*
 * Returns the functions of a kind of value.
 */
const struct kind_ops *
settings_kind(enum kind k)
{
	return &kinds[k];
}

/*
 * Reads a decimal number within bounds; no sign, no space, nothing after it.
 */
static int
number_read(const char *s, uint32_t min, uint32_t max, uint32_t *out)
{
	unsigned long long n;
	char *end;

	if (!isdigit((unsigned char)s[0]))
		return -1;
	errno = 0;
	n = strtoull(s, &end, 10);
	if (errno != 0 || *end != '\0' || n < min || n > max)
		return -1;
	*out = (uint32_t)n;
	return 0;
}

/*
 * Reads IP:PORT of the given length.
 */
static int
endpoint_read(const char *s, size_t len, struct settings_endpoint *ep)
{
	char buf[ENDPOINT_BYTES];
	struct in_addr in;
	char *colon;

	if (len >= sizeof(buf))
		return -1;
	memcpy(buf, s, len);
	buf[len] = '\0';
	colon = strchr(buf, ':');
	if (colon == NULL)
		return -1;
	*colon = '\0';
	if (inet_pton(AF_INET, buf, &in) != 1)
		return -1;
	ep->addr = ntohl(in.s_addr);
	return number_read(colon + 1, 1, UINT16_MAX, &ep->port);
}

/*
 * Returns the index of a word of the given length in a list, or -1.
 */
static int
word_index(const char *s, size_t len, const char *const *list, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (strlen(list[i]) == len && strncmp(list[i], s, len) == 0)
			return (int)i;
	return -1;
}

/*
 * Reads an IPv4 address into host byte order.
 */
static int
read_address(
    const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	struct in_addr in;

	(void)r;
	if (inet_pton(AF_INET, s, &in) != 1 || in.s_addr == INADDR_BROADCAST) {
		snprintf(why, len, "\"%.40s\" is not an IPv4 address", s);
		return -1;
	}
	*(uint32_t *)dst = ntohl(in.s_addr);
	return 0;
}

/*
 * Reads a whole number within the row's bounds.
 */
static int
read_number(
    const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	if (number_read(s, r->min, r->max, dst) == 0)
		return 0;
	snprintf(why, len, "\"%.40s\" is not a whole number from %u to %u", s,
	    r->min, r->max);
	return -1;
}

/*
 * Reads a name of letters, digits, '.', '_' and '-'.
 */
static int
read_name(const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	size_t n = strlen(s), i;

	for (i = 0; i < n; i++)
		if (!isalnum((unsigned char)s[i]) &&
		    strchr("._-", s[i]) == NULL)
			break;
	if (i == n && n >= r->min && n <= r->max) {
		memcpy(dst, s, n + 1);
		return 0;
	}
	snprintf(why, len,
	    "\"%.40s\" is not %u to %u letters, digits, '.', '_' or '-'", s,
	    r->min, r->max);
	return -1;
}

/*
 * Reads http://IP:PORT, without a path.
 */
static int
read_url(const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	static const char scheme[] = "http://";
	struct settings_endpoint ep;
	size_t n = strlen(s), skip = sizeof(scheme) - 1;

	(void)r;
	if (n > skip && s[n - 1] == '/')
		n--;
	if (strncmp(s, scheme, skip) != 0 ||
	    endpoint_read(s + skip, n - skip, &ep) == -1) {
		snprintf(why, len, "\"%.60s\" is not http://IP:PORT", s);
		return -1;
	}
	memcpy(dst, s, n);
	((char *)dst)[n] = '\0';
	return 0;
}

/*
 * Reads a comma-separated list of IP:PORT.
 */
static int
read_peers(const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	struct settings_peers *ps = dst;
	size_t n;

	(void)r;
	for (ps->count = 0; *s != '\0'; s += n + (s[n] == ',')) {
		n = strcspn(s, ",");
		if (ps->count == SETTINGS_SEED_PEERS_MAX) {
			snprintf(why, len, "more than %d addresses",
			    SETTINGS_SEED_PEERS_MAX);
			return -1;
		}
		if (endpoint_read(s, n, &ps->list[ps->count]) == -1) {
			snprintf(why, len, "\"%.*s\" is not IP:PORT",
			    n < 40 ? (int)n : 40, s);
			return -1;
		}
		ps->count++;
	}
	return 0;
}

/*
 * Reads a file name.
 */
static int
read_path(const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	size_t n = strlen(s);

	(void)r;
	if (n == 0 || n >= SETTINGS_PATH_BYTES) {
		snprintf(
		    why, len, "not 1 to %d bytes", SETTINGS_PATH_BYTES - 1);
		return -1;
	}
	memcpy(dst, s, n + 1);
	return 0;
}

/*
 * Stores the secret; the reason never shows it.
 */
int
settings_secret_set(const char *s, size_t n, void *dst, char *why, size_t len)
{
	struct settings_secret *sec = dst;

	if (n < SETTINGS_SECRET_MIN || n > SETTINGS_SECRET_MAX) {
		snprintf(why, len, "%zu bytes, not %d to %d", n,
		    SETTINGS_SECRET_MIN, SETTINGS_SECRET_MAX);
		return -1;
	}
	memcpy(sec->bytes, s, n);
	sec->len = n;
	return 0;
}

/*
 * Reads the secret from text.
 */
static int
read_secret(
    const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	(void)r;
	return settings_secret_set(s, strlen(s), dst, why, len);
}

/*
 * Reads the name of a syslog priority.
 */
static int
read_level(const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	int i = word_index(s, strlen(s), level_names,
	    sizeof(level_names) / sizeof(level_names[0]));

	(void)r;
	if (i == -1) {
		snprintf(why, len,
		    "\"%.40s\" is not emerg, alert, crit, err, warning, "
		    "notice, info or debug",
		    s);
		return -1;
	}
	*(uint32_t *)dst = (uint32_t)i;
	return 0;
}

/*
 * Reads a comma-separated list of policies into a set of bits.
 */
static int
read_policies(
    const struct row *r, const char *s, void *dst, char *why, size_t len)
{
	uint32_t *off = dst;
	size_t n;
	int i;

	(void)r;
	for (*off = 0; *s != '\0'; s += n + (s[n] == ',')) {
		n = strcspn(s, ",");
		i = word_index(s, n, policy_names, POLICY_MAX);
		if (i == -1) {
			snprintf(why, len,
			    "\"%.*s\" is not admission, retry-budget, "
			    "routing, ejection, quarantine or precheck",
			    n < 40 ? (int)n : 40, s);
			return -1;
		}
		*off |= 1U << i;
	}
	return 0;
}

/*
 * Prints an IPv4 address given in host byte order.
 */
static void
print_address(const void *src, FILE *out)
{
	uint32_t a = *(const uint32_t *)src;

	fprintf(
	    out, "%u.%u.%u.%u", a >> 24, a >> 16 & 255, a >> 8 & 255, a & 255);
}

/*
 * Prints a whole number.
 */
static void
print_number(const void *src, FILE *out)
{
	fprintf(out, "%u", *(const uint32_t *)src);
}

/*
 * Prints a name, URL or file name.
 */
static void
print_text(const void *src, FILE *out)
{
	fputs(src, out);
}

/*
 * Prints the list of addresses.
 */
static void
print_peers(const void *src, FILE *out)
{
	const struct settings_peers *ps = src;
	size_t i;

	for (i = 0; i < ps->count; i++) {
		if (i > 0)
			fputc(',', out);
		print_address(&ps->list[i].addr, out);
		fprintf(out, ":%u", ps->list[i].port);
	}
}

/*
 * Tells whether there is a secret, and nothing else about it.
 */
static void
print_secret(const void *src, FILE *out)
{
	const struct settings_secret *sec = src;

	fputs(sec->len > 0 ? "(set)" : "", out);
}

/*
 * Prints the name of a priority.
 */
static void
print_level(const void *src, FILE *out)
{
	fputs(level_names[*(const uint32_t *)src], out);
}

/*
 * Prints the policies that are off.
 */
static void
print_policies(const void *src, FILE *out)
{
	uint32_t off = *(const uint32_t *)src;
	const char *sep = "";
	int i;

	for (i = 0; i < POLICY_MAX; i++) {
		if ((off & 1U << i) == 0)
			continue;
		fprintf(out, "%s%s", sep, policy_names[i]);
		sep = ",";
	}
}

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "exchange/head.h"

#define INTERNAL_PREFIX "Cyclamen-"
#define LENGTH_DIGITS 15

/* Fields that describe one connection and are never passed on. */
static const char *const hop_names[] = { "Connection", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	NULL };

/*
 * Prepares an empty head.  The status is 0 for a request.
 */
void
head_init(struct head *h, int status)
{
	h->status = status;
	h->length = 0;
	h->count = 0;
	h->used = 0;
	h->overflow = 0;
}

/*
 * Adds a field from strings that need not be terminated.  Returns -1, and
 * notes the overflow, where it doesn't fit.
 */
int
head_addn(struct head *h, const char *name, size_t nlen, const char *value,
    size_t vlen)
{
	struct head_field *f;

	if (h->count == HEAD_FIELDS_MAX ||
	    h->used + nlen + vlen + 2 > HEAD_BYTES_MAX) {
		h->overflow = 1;
		return -1;
	}
	f = &h->fields[h->count++];
	f->name = (uint16_t)h->used;
	memcpy(h->buf + h->used, name, nlen);
	h->used += (unsigned int)nlen;
	h->buf[h->used++] = '\0';
	f->value = (uint16_t)h->used;
	memcpy(h->buf + h->used, value, vlen);
	h->used += (unsigned int)vlen;
	h->buf[h->used++] = '\0';
	return 0;
}

/*
 * Adds a field.  Returns -1 where it doesn't fit.
 */
int
head_add(struct head *h, const char *name, const char *value)
{
	return head_addn(h, name, strlen(name), value, strlen(value));
}

/*
 * Adds a field with a formatted value.  Returns -1 where it doesn't fit.
 */
int
head_addf(struct head *h, const char *name, const char *fmt, ...)
{
	char buf[1024];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(buf, sizeof(buf), fmt, ap);
	va_end(ap);
	if (n < 0 || (size_t)n >= sizeof(buf)) {
		h->overflow = 1;
		return -1;
	}
	return head_addn(h, name, strlen(name), buf, (size_t)n);
}

/*
 * Returns the name of the field with that number.
 */
const char *
head_name(const struct head *h, unsigned int i)
{
	return h->buf + h->fields[i].name;
}

/*
 * Returns the value of the field with that number.
 */
const char *
head_value(const struct head *h, unsigned int i)
{
	return h->buf + h->fields[i].value;
}

/*
 * Returns the value of the first field of that name, or NULL.
 */
const char *
head_get(const struct head *h, const char *name)
{
	unsigned int i;

	for (i = 0; i < h->count; i++)
		if (strcasecmp(head_name(h, i), name) == 0)
			return head_value(h, i);
	return NULL;
}

/*
 * Tells whether a field belongs to one connection only.
 */
int
head_is_hop(const char *name)
{
	int i;

	for (i = 0; hop_names[i] != NULL; i++)
		if (strcasecmp(hop_names[i], name) == 0)
			return 1;
	return 0;
}

/*
 * Tells whether a field is one of the system's own.
 */
int
head_is_internal(const char *name)
{
	return strncasecmp(
		   name, INTERNAL_PREFIX, sizeof(INTERNAL_PREFIX) - 1) == 0;
}

/*
 * Reads a Content-Length: digits and nothing else.  Returns -1 otherwise.
 */
int
head_length_parse(const char *s, int64_t *len)
{
	int64_t n = 0;
	int i;

	for (i = 0; i < LENGTH_DIGITS && isdigit((unsigned char)s[i]); i++)
		n = n * 10 + (s[i] - '0');
	if (i == 0 || s[i] != '\0')
		return -1;
	*len = n;
	return 0;
}

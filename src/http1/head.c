#include <ctype.h>
#include <err.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http1/http1_int.h"

#define HEAD_INITIAL_BYTES 512
#define TEXT_INITIAL_BYTES 512

static int head_append(struct h1_head_builder *, const char *, size_t);

/* Hop-by-hop fields, which are not forwarded. */
static const char *const hop_by_hop_names[] = { "connection", "keep-alive",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	"content-length", "expect", NULL };

/*
 * Initializes an empty head.
 */
void
h1_head_init(struct h1_head *h)
{
	h->buf = NULL;
	h->len = h->cap = 0;
	h->target = h->target_len = 0;
	h->field_count = 0;
}

/*
 * Frees the buffer of a head and empties it.
 */
void
h1_head_finish(struct h1_head *h)
{
	free(h->buf);
	h1_head_init(h);
}

/*
 * Compares a field name of n bytes with a string, ignoring case.  Returns 1
 * if they are equal, else 0.
 */
int
h1_name_equals(const char *p, size_t n, const char *name)
{
	return strlen(name) == n && strncasecmp(p, name, n) == 0;
}

/*
 * Returns the value of a field, not null-terminated, and sets its length, or
 * returns NULL if there is none.  If several fields have the name, the first
 * is used.
 */
const char *
h1_head_get(const struct h1_head *h, const char *name, size_t *len)
{
	const struct h1_field *f;
	uint32_t i;

	for (i = 0; i < h->field_count; i++) {
		f = &h->fields[i];
		if (!h1_name_equals(h->buf + f->name, f->name_len, name))
			continue;
		*len = f->value_len;
		return h->buf + f->value;
	}
	return NULL;
}

/*
 * Copies a field's value into a buffer as a string.  Returns its length, or
 * -1 if there is no such field or it doesn't fit.
 */
int
h1_head_copy(const struct h1_head *h, const char *name, char *buf, size_t size)
{
	const char *v;
	size_t n;

	v = h1_head_get(h, name, &n);
	if (v == NULL || n >= size)
		return -1;
	memcpy(buf, v, n);
	buf[n] = '\0';
	return (int)n;
}

/*
 * Returns the value of a field as a decimal integer, or the default if the
 * field is missing or isn't a number.
 */
uint64_t
h1_head_get_number(
    const struct h1_head *h, const char *name, uint64_t default_value)
{
	char buf[20];
	char *end;
	uint64_t v;

	if (h1_head_copy(h, name, buf, sizeof(buf)) < 1 ||
	    !isdigit((unsigned char)buf[0]))
		return default_value;
	v = strtoull(buf, &end, 10);
	return *end == '\0' ? v : default_value;
}

/*
 * Returns 1 if a field must not be forwarded, because it is hop-by-hop by
 * name or listed in the Connection field, else 0.
 */
int
h1_field_is_hop_by_hop(const struct h1_head *h, const struct h1_field *f)
{
	const char *name = h->buf + f->name, *v, *end, *next;
	size_t n, i;

	for (i = 0; hop_by_hop_names[i] != NULL; i++)
		if (h1_name_equals(name, f->name_len, hop_by_hop_names[i]))
			return 1;
	v = h1_head_get(h, "Connection", &n);
	if (v == NULL)
		return 0;
	for (end = v + n; v < end; v = next + 1) {
		next = memchr(v, ',', (size_t)(end - v));
		if (next == NULL)
			next = end;
		while (v < next && *v == ' ')
			v++;
		n = (size_t)(next - v);
		while (n > 0 && v[n - 1] == ' ')
			n--;
		if (n == f->name_len && strncasecmp(v, name, n) == 0)
			return 1;
	}
	return 0;
}

/*
 * Starts to build a head of at most max_bytes bytes.
 */
void
h1_builder_init(
    struct h1_head_builder *c, struct h1_head *h, uint32_t max_bytes)
{
	c->head = h;
	c->max_bytes = max_bytes;
	c->in_value = 1;
	c->overflow = 0;
}

/*
 * Appends bytes to a head's buffer.  Returns 0, or -1 if the head exceeds its
 * limit.
 */
static int
head_append(struct h1_head_builder *c, const char *p, size_t n)
{
	struct h1_head *h = c->head;

	if (h->len + n > c->max_bytes) {
		c->overflow = 1;
		return -1;
	}
	if (h->len + n > h->cap) {
		if (h->cap == 0)
			h->cap = HEAD_INITIAL_BYTES;
		while (h->cap < h->len + n)
			h->cap *= 2;
		h->buf = realloc(h->buf, h->cap);
		if (h->buf == NULL)
			err(1, "out of memory");
	}
	memcpy(h->buf + h->len, p, n);
	h->len += (uint32_t)n;
	return 0;
}

/*
 * Appends a piece of the request target.  Returns 0, or -1 if the head
 * exceeds its limit.
 */
int
h1_builder_add_target(struct h1_head_builder *c, const char *p, size_t n)
{
	if (c->head->target_len == 0)
		c->head->target = c->head->len;
	c->head->target_len += (uint32_t)n;
	return head_append(c, p, n);
}

/*
 * Appends a piece of a field's name, starting a new field after a value.
 * Returns 0, or -1 if the head exceeds its size or field limit.
 */
int
h1_builder_add_name(struct h1_head_builder *c, const char *p, size_t n)
{
	struct h1_head *h = c->head;

	if (c->in_value) {
		if (h->field_count == H1_FIELDS_MAX) {
			c->overflow = 1;
			return -1;
		}
		h->fields[h->field_count].name = h->len;
		h->fields[h->field_count].name_len = 0;
		h->fields[h->field_count].value_len = 0;
		h->field_count++;
		c->in_value = 0;
	}
	h->fields[h->field_count - 1].name_len += (uint32_t)n;
	return head_append(c, p, n);
}

/*
 * Appends a piece of a field's value.  Returns 0, or -1 if the head exceeds
 * its limit or has no field yet.
 */
int
h1_builder_add_value(struct h1_head_builder *c, const char *p, size_t n)
{
	struct h1_head *h = c->head;
	struct h1_field *f;

	if (h->field_count == 0)
		return -1;
	f = &h->fields[h->field_count - 1];
	if (!c->in_value) {
		f->value = h->len;
		c->in_value = 1;
	}
	f->value_len += (uint32_t)n;
	return head_append(c, p, n);
}

/*
 * Initializes an empty text buffer.
 */
void
h1_text_init(struct h1_text *t)
{
	t->p = NULL;
	t->len = t->cap = 0;
}

/*
 * Frees the memory of a text buffer and empties it.
 */
void
h1_text_finish(struct h1_text *t)
{
	free(t->p);
	h1_text_init(t);
}

/*
 * Appends bytes to a text buffer.
 */
void
h1_text_add(struct h1_text *t, const char *p, size_t n)
{
	if (n == 0)
		return;
	if (t->len + n > t->cap) {
		if (t->cap == 0)
			t->cap = TEXT_INITIAL_BYTES;
		while (t->cap < t->len + n)
			t->cap *= 2;
		t->p = realloc(t->p, t->cap);
		if (t->p == NULL)
			err(1, "out of memory");
	}
	memcpy(t->p + t->len, p, n);
	t->len += n;
}

/*
 * Appends formatted text.  The result is truncated to 1023 bytes.
 */
void
h1_text_addf(struct h1_text *t, const char *fmt, ...)
{
	char buf[1024];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(buf, sizeof(buf), fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	h1_text_add(
	    t, buf, (size_t)n < sizeof(buf) ? (size_t)n : sizeof(buf) - 1);
}

/*
 * Appends one header field line.
 */
void
h1_text_add_field(struct h1_text *t, const char *name, const char *value)
{
	h1_text_add(t, name, strlen(name));
	h1_text_add(t, ": ", 2);
	h1_text_add(t, value, strlen(value));
	h1_text_add(t, "\r\n", 2);
}

/*
 * Appends the fields of a head that may be forwarded, except those named in
 * the NULL-terminated list skip.
 */
void
h1_text_add_forwarded(
    struct h1_text *t, const struct h1_head *h, const char *const *skip)
{
	const struct h1_field *f;
	const char *name;
	uint32_t i, k;

	for (i = 0; i < h->field_count; i++) {
		f = &h->fields[i];
		name = h->buf + f->name;
		for (k = 0; skip[k] != NULL; k++)
			if (h1_name_equals(name, f->name_len, skip[k]))
				break;
		if (skip[k] != NULL || h1_field_is_hop_by_hop(h, f))
			continue;
		h1_text_add(t, name, f->name_len);
		h1_text_add(t, ": ", 2);
		h1_text_add(t, h->buf + f->value, f->value_len);
		h1_text_add(t, "\r\n", 2);
	}
}

/*
 * Returns the standard reason phrase of a status code.
 */
const char *
h1_reason_phrase(unsigned int status)
{
	return http_status_str((enum http_status)status);
}

#include "http1/http1_int.h"

#define MAX_HEAD_BYTES 65536 /* of a response */
/* Heads and bodies before the response, interim or not to this request. */
#define MAX_SKIPPED_BYTES 262144
#define MIN_HEAD_BYTES 16 /* a status line */

static int parse_failed(const struct h1_client_conn *);
static int on_message_begin(http_parser *);
static int on_header_field(http_parser *, const char *, size_t);
static int on_header_value(http_parser *, const char *, size_t);
static int on_headers_complete(http_parser *);
static int has_other_coding(const struct h1_head *);
static int skip_bytes(struct h1_exchange *, uint64_t);
static int exceeds_limit(const struct h1_client_conn *, uint64_t);
static int on_body(http_parser *, const char *, size_t);
static int on_message_complete(http_parser *);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/*
 * Prepares a connection for the response to its next request.
 */
void
h1_response_begin(struct h1_client_conn *p)
{
	http_parser_init(&p->parser, HTTP_RESPONSE);
	p->parser.data = p;
	http_syntax_init(&p->syntax);
}

/*
 * Returns 1 if the parser has failed, else 0.
 */
static int
parse_failed(const struct h1_client_conn *p)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&p->parser);

	return (error != HPE_OK && error != HPE_PAUSED) || p->parser.upgrade;
}

/*
 * Parses received bytes up to the end of the response.  Returns the number of
 * bytes used.  A callback may have cancelled the exchange.
 */
size_t
h1_response_parse(struct h1_client_conn *p, const char *bytes, size_t n)
{
	struct h1_exchange *x = p->exchange;
	size_t used = 0, valid;

	while (used < n) {
		valid = http_syntax_check(&p->syntax, bytes + used, n - used);
		if (valid == HTTP_SYNTAX_ERROR)
			break;
		used += http_parser_execute(
		    &p->parser, &parser_settings, bytes + used, valid);
		if (p->stream.closing || p->exchange != x ||
		    x->response_complete || parse_failed(p))
			break;
		if (HTTP_PARSER_ERRNO(&p->parser) == HPE_PAUSED) {
			/* A skipped response has ended. */
			http_parser_pause(&p->parser, 0);
			http_syntax_init(&p->syntax);
		}
	}
	return used;
}

/*
 * Parses the end of the connection, which ends a response without a length.
 */
void
h1_response_parse_end(struct h1_client_conn *p)
{
	http_parser_execute(&p->parser, &parser_settings, NULL, 0);
}

/*
 * Returns 1 if the bytes received so far are no valid response, else 0.
 */
int
h1_response_is_malformed(const struct h1_client_conn *p)
{
	return p->syntax.state == SYNTAX_INVALID || parse_failed(p);
}

/*
 * Starts a response.
 */
static int
on_message_begin(http_parser *parser)
{
	struct h1_client_conn *p = parser->data;
	struct h1_exchange *x = p->exchange;

	if (x == NULL)
		return -1;
	h1_head_finish(&x->head);
	x->skip_response = 0;
	h1_builder_init(&x->builder, &x->head, MAX_HEAD_BYTES);
	return 0;
}

/*
 * Appends a piece of a field's name.
 */
static int
on_header_field(http_parser *parser, const char *text, size_t n)
{
	struct h1_client_conn *p = parser->data;

	return p->exchange == NULL
		   ? -1
		   : h1_builder_add_name(&p->exchange->builder, text, n);
}

/*
 * Appends a piece of a field's value.
 */
static int
on_header_value(http_parser *parser, const char *text, size_t n)
{
	struct h1_client_conn *p = parser->data;

	return p->exchange == NULL
		   ? -1
		   : h1_builder_add_value(&p->exchange->builder, text, n);
}

/*
 * Returns 1 if the body of a response is in another transfer coding than
 * chunks, else 0.  None is asked for, and only chunks can be undone.
 */
static int
has_other_coding(const struct h1_head *h)
{
	const struct h1_field *f;
	uint32_t i, found = 0;

	for (i = 0; i < h->field_count; i++) {
		f = &h->fields[i];
		if (h1_name_equals(
			h->buf + f->name, f->name_len, "Transfer-Encoding") &&
		    (++found > 1 ||
			!http_is_chunked(h->buf + f->value, f->value_len)))
			return 1;
	}
	return 0;
}

/*
 * Passes a complete response head to the owner.  Skips interim responses and
 * rejects invalid status codes and transfer codings.
 */
static int
on_headers_complete(http_parser *parser)
{
	struct h1_client_conn *p = parser->data;
	struct h1_exchange *x = p->exchange;
	int skip;

	if (x == NULL || !http_status_is_valid(parser->status_code) ||
	    has_other_coding(&x->head))
		return -1;
	if (parser->flags & F_CHUNKED)
		http_syntax_begin_chunks(&p->syntax);
	if (parser->status_code / 100 == 1) {
		x->skip_response = 1;
		return skip_bytes(x, MIN_HEAD_BYTES + x->head.len);
	}
	x->length = H1_LENGTH_UNKNOWN;
	if (x->is_head_request || parser->status_code == 204 ||
	    parser->status_code == 304)
		x->length = 0;
	else if (!(parser->flags & F_CHUNKED) &&
		 parser->content_length != UINT64_MAX)
		x->length = parser->content_length;
	if (x->length != H1_LENGTH_UNKNOWN && exceeds_limit(p, x->length))
		return -1;
	skip = x->ops->head(x->ctx, x);
	if (p->exchange == NULL)
		return -1;
	x->skip_response = skip;
	if (skip && skip_bytes(x, MIN_HEAD_BYTES + x->head.len) == -1)
		return -1;
	return x->is_head_request ? 1 : 0;
}

/*
 * Counts bytes of skipped responses.  Returns 0, or -1 if there are too many:
 * a faulty server may send them without end.
 */
static int
skip_bytes(struct h1_exchange *x, uint64_t n)
{
	x->skipped += n;
	return x->skipped <= MAX_SKIPPED_BYTES ? 0 : -1;
}

/*
 * Returns 1 if a body of so many bytes is longer than the pool accepts, else
 * 0.
 */
static int
exceeds_limit(const struct h1_client_conn *p, uint64_t n)
{
	return p->pool->max_body_bytes > 0 && n > p->pool->max_body_bytes;
}

/*
 * Passes a piece of the response body to the owner.
 */
static int
on_body(http_parser *parser, const char *text, size_t n)
{
	struct h1_client_conn *p = parser->data;
	struct h1_exchange *x = p->exchange;

	if (x == NULL)
		return -1;
	if (x->skip_response)
		return skip_bytes(x, n);
	x->received += n;
	if (exceeds_limit(p, x->received))
		return -1;
	x->ops->body(x->ctx, x, text, n);
	return p->exchange == NULL ? -1 : 0;
}

/*
 * Marks the response complete, unless it is skipped, and stops the parser.
 */
static int
on_message_complete(http_parser *parser)
{
	struct h1_client_conn *p = parser->data;

	if (p->exchange == NULL)
		return -1;
	p->exchange->response_complete = !p->exchange->skip_response;
	http_parser_pause(parser, 1);
	return 0;
}

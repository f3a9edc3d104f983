#include <string.h>

#include "http1/http1_int.h"

static void format_response_head(struct h1_conn *, struct h1_text *,
    unsigned int, const struct h1_text *, uint64_t);

/*
 * Returns the head of the current request.
 */
const struct h1_head *
h1_conn_head(const struct h1_conn *c)
{
	return &c->head;
}

/*
 * Returns the method of the current request.
 */
const char *
h1_conn_method(const struct h1_conn *c)
{
	return http_method_str((enum http_method)c->parser.method);
}

/*
 * Copies the target of the current request into a buffer as a string.  Returns
 * 0, or -1 if it doesn't fit.
 */
int
h1_conn_copy_target(const struct h1_conn *c, char *buf, size_t size)
{
	const struct h1_head *h = &c->head;

	if (h->target_len >= size)
		return -1;
	memcpy(buf, h->buf + h->target, h->target_len);
	buf[h->target_len] = '\0';
	return 0;
}

/*
 * Returns 1 if the current request has a body, else 0.
 */
int
h1_conn_has_body(const struct h1_conn *c)
{
	return (c->parser.flags & F_CHUNKED) != 0 ||
	       (c->parser.content_length != UINT64_MAX &&
		   c->parser.content_length > 0);
}

/*
 * Returns the length of the current request's body, or H1_LENGTH_UNKNOWN.
 * Valid only until the body begins, because the parser counts the value down.
 */
uint64_t
h1_conn_body_length(const struct h1_conn *c)
{
	if (c->parser.flags & F_CHUNKED)
		return H1_LENGTH_UNKNOWN;
	return c->parser.content_length == UINT64_MAX
		   ? 0
		   : c->parser.content_length;
}

/*
 * Sets the owner's data for the current request.
 */
void
h1_conn_set_user(struct h1_conn *c, void *user)
{
	c->user = user;
}

/*
 * Returns the owner's data for the current request.
 */
void *
h1_conn_user(const struct h1_conn *c)
{
	return c->user;
}

/*
 * Stops reading, so that TCP flow control slows the caller.
 */
void
h1_conn_pause(struct h1_conn *c)
{
	if (c->stream.paused || c->stream.closing)
		return;
	c->stream.paused = 1;
	uv_read_stop((uv_stream_t *)&c->stream.tcp);
	h1_server_watch_paused(c->server);
}

/*
 * Resumes reading after h1_conn_pause().
 */
void
h1_conn_resume(struct h1_conn *c)
{
	if (!c->stream.paused || c->stream.closing)
		return;
	c->stream.paused = 0;
	uv_read_start((uv_stream_t *)&c->stream.tcp, h1_alloc_read_buffer,
	    h1_conn_on_read);
}

/*
 * Returns the number of response bytes not yet written.
 */
size_t
h1_conn_unsent_bytes(const struct h1_conn *c)
{
	return c->stream.tcp.write_queue_size;
}

/*
 * Formats the head of a response.
 */
static void
format_response_head(struct h1_conn *c, struct h1_text *t, unsigned int status,
    const struct h1_text *fields, uint64_t length)
{
	if (c->server->draining)
		c->keep_alive = 0;
	h1_text_addf(t, "HTTP/1.1 %u %s\r\n", status, h1_reason_phrase(status));
	if (fields != NULL)
		h1_text_add(t, fields->p, fields->len);
	c->response_chunked = length == H1_LENGTH_UNKNOWN;
	if (c->response_chunked)
		h1_text_add_field(t, "Transfer-Encoding", "chunked");
	else if (status != 204 && status != 304)
		h1_text_addf(
		    t, "Content-Length: %llu\r\n", (unsigned long long)length);
	if (!c->keep_alive)
		h1_text_add_field(t, "Connection", "close");
	h1_text_add(t, "\r\n", 2);
}

/*
 * Sends the head of a response.  The body follows, of the given length or in
 * chunks.  The fields are complete header lines.
 */
void
h1_send_response_head(struct h1_conn *c, unsigned int status,
    const struct h1_text *fields, uint64_t length)
{
	struct h1_text t;

	h1_text_init(&t);
	format_response_head(c, &t, status, fields, length);
	h1_stream_write(&c->stream, t.p, t.len);
	h1_text_finish(&t);
	c->response_state = H1_RESPONSE_HEAD;
}

/*
 * Sends a piece of a response body.
 */
void
h1_send_response_body(struct h1_conn *c, const char *p, size_t n)
{
	if (n == 0)
		return;
	if (c->response_chunked)
		h1_stream_write_chunk(&c->stream, p, n);
	else
		h1_stream_write(&c->stream, p, n);
}

/*
 * Ends a response.  The owner must not use the request afterwards.
 */
void
h1_send_response_end(struct h1_conn *c)
{
	if (c->response_chunked)
		h1_stream_write_chunk(&c->stream, NULL, 0);
	c->response_state = H1_RESPONSE_DONE;
	c->request_open = 0;
	h1_conn_next_request(c);
}

/*
 * Sends a complete response in one write.  The owner must not use the request
 * afterwards.
 */
void
h1_send_response(struct h1_conn *c, unsigned int status,
    const struct h1_text *fields, const char *body, size_t n)
{
	struct h1_text t;

	h1_text_init(&t);
	format_response_head(c, &t, status, fields, n);
	if (strcmp(h1_conn_method(c), "HEAD") != 0)
		h1_text_add(&t, body, n);
	h1_stream_write(&c->stream, t.p, t.len);
	h1_text_finish(&t);
	h1_send_response_end(c);
}

/*
 * Closes the connection without ending the response, so that the caller sees
 * a partial response as incomplete.
 */
void
h1_conn_abort(struct h1_conn *c)
{
	c->request_open = 0;
	h1_conn_close(c);
}

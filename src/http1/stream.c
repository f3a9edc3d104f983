#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http1/http1_int.h"

#define READ_BUFFER_BYTES 65536

/* A queued write and a copy of its bytes. */
struct queued_write {
	uv_write_t req;
	struct h1_stream *stream;
	char bytes[];
};

static void on_written(uv_write_t *, int);

/*
 * Shared by all connections: there is one loop, and it processes the bytes of
 * a read before the next read.
 */
static char read_buffer[READ_BUFFER_BYTES];

/*
 * Returns the shared read buffer to libuv.
 */
void
h1_alloc_read_buffer(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	(void)handle;
	(void)hint;
	buf->base = read_buffer;
	buf->len = sizeof(read_buffer);
}

/*
 * Frees a completed write.  Calls on_drained when the queue has fallen from
 * above H1_WRITE_QUEUE_HIGH_BYTES to at most half of it.
 */
static void
on_written(uv_write_t *req, int status)
{
	struct queued_write *p = (struct queued_write *)req;
	struct h1_stream *s = p->stream;

	free(p);
	if (status < 0)
		s->write_failed = 1;
	if (s->closing || !s->above_high_water ||
	    s->tcp.write_queue_size > H1_WRITE_QUEUE_HIGH_BYTES / 2)
		return;
	s->above_high_water = 0;
	if (s->on_drained != NULL)
		s->on_drained(s);
}

/*
 * Writes bytes.  Copies and queues those that the kernel doesn't accept
 * immediately.  A broken connection is noted; the read callback reports it.
 */
void
h1_stream_write(struct h1_stream *s, const char *p, size_t n)
{
	struct queued_write *w;
	uv_buf_t buf;
	int written = 0;

	if (s->closing || n == 0)
		return;
	if (!s->connecting && s->tcp.write_queue_size == 0) {
		buf = uv_buf_init((char *)(uintptr_t)p, (unsigned int)n);
		written = uv_try_write((uv_stream_t *)&s->tcp, &buf, 1);
		if (written < 0) {
			s->write_failed |= written != UV_EAGAIN;
			written = 0;
		}
		if ((size_t)written == n)
			return;
	}
	p += written;
	n -= (size_t)written;
	w = malloc(sizeof(*w) + n);
	if (w == NULL)
		err(1, "out of memory");
	w->stream = s;
	memcpy(w->bytes, p, n);
	buf = uv_buf_init(w->bytes, (unsigned int)n);
	if (uv_write(&w->req, (uv_stream_t *)&s->tcp, &buf, 1, on_written) !=
	    0) {
		s->write_failed = 1;
		free(w);
		return;
	}
	if (s->tcp.write_queue_size > H1_WRITE_QUEUE_HIGH_BYTES)
		s->above_high_water = 1;
}

/*
 * Writes one chunk of a chunked body.  An empty chunk ends the body.
 */
void
h1_stream_write_chunk(struct h1_stream *s, const char *p, size_t n)
{
	char size[24];
	struct h1_text t;

	h1_text_init(&t);
	snprintf(size, sizeof(size), "%zx\r\n", n);
	h1_text_add(&t, size, strlen(size));
	h1_text_add(&t, p, n);
	h1_text_add(&t, "\r\n", 2);
	h1_stream_write(s, t.p, t.len);
	h1_text_finish(&t);
}

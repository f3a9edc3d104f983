#ifndef HTTP1_HTTP1_INT_H
#define HTTP1_HTTP1_INT_H

#include <http_parser.h>

#include "http1/http1.h"

/* Collects a head from the parser's pieces. */
struct h1_collect {
	struct h1_head *head;
	uint32_t limit; /* bytes */
	int in_value;	/* the last piece was of a value */
	int overflow;
};

void h1_collect_init(struct h1_collect *, struct h1_head *, uint32_t);
int h1_collect_target(struct h1_collect *, const char *, size_t);
int h1_collect_field(struct h1_collect *, const char *, size_t);
int h1_collect_value(struct h1_collect *, const char *, size_t);

/* The stream below a connection, with what is not yet written. */
struct h1_stream {
	uv_tcp_t tcp;
	void (*drained)(struct h1_stream *);
	int connecting;
	int closing;
	int paused;
	int was_high; /* the queue passed H1_QUEUE_HIGH */
};

void h1_alloc(uv_handle_t *, size_t, uv_buf_t *);
void h1_stream_write(struct h1_stream *, const char *, size_t);
void h1_stream_chunk(struct h1_stream *, const char *, size_t);

#endif

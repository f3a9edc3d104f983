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

/* How much of the present request has been read. */
enum in_state {
	IN_IDLE, /* no byte of a request has come */
	IN_HEAD,
	IN_BODY,
	IN_READ /* the request is in, its answer isn't out */
};

/* How much of its answer has been sent. */
enum out_state {
	OUT_NONE,
	OUT_HEAD,
	OUT_DONE
};

/* A caller's connection. */
struct h1_conn {
	struct h1_stream stream; /* first, for libuv's handle */
	struct h1_server *server;
	struct h1_conn *next, *prev;
	http_parser parser;
	struct h1_head head;
	struct h1_collect collect;
	void *user;
	enum in_state in;
	enum out_state out;
	uint64_t since_ms; /* of the present state */
	uint64_t body_seen;
	char *pending;
	size_t pending_len;
	uv_shutdown_t shutdown;
	int keep;
	int chunked; /* the answer's body */
	int feeding;
	int lingering;
	int open; /* the owner holds a request of this connection */
};

void h1_conn_advance(struct h1_conn *);
void h1_conn_close(struct h1_conn *);
void h1_on_read(uv_stream_t *, ssize_t, const uv_buf_t *);

#endif

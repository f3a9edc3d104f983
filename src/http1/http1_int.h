#ifndef HTTP1_HTTP1_INT_H
#define HTTP1_HTTP1_INT_H

#include <http_parser.h>

#include "base/http_syntax.h"
#include "http1/http1.h"

/* Builds a head from the pieces that the parser reports. */
struct h1_head_builder {
	struct h1_head *head;
	uint32_t max_bytes;
	int in_value; /* the last piece belonged to a value */
	int overflow; /* a limit was exceeded */
};

void h1_builder_init(struct h1_head_builder *, struct h1_head *, uint32_t);
int h1_builder_add_target(struct h1_head_builder *, const char *, size_t);
int h1_builder_add_name(struct h1_head_builder *, const char *, size_t);
int h1_builder_add_value(struct h1_head_builder *, const char *, size_t);

/* The TCP stream of a connection. */
struct h1_stream {
	uv_tcp_t tcp;
	void (*on_drained)(struct h1_stream *);
	int connecting;
	int closing;
	int paused;
	/* A write failed.  The kernel reports its error to no later call. */
	int write_failed;
	/* The write queue exceeded H1_WRITE_QUEUE_HIGH_BYTES. */
	int above_high_water;
};

void h1_alloc_read_buffer(uv_handle_t *, size_t, uv_buf_t *);
void h1_stream_write(struct h1_stream *, const char *, size_t);
void h1_stream_write_chunk(struct h1_stream *, const char *, size_t);

/* How much of the current request has been read. */
enum h1_request_state {
	H1_REQUEST_IDLE, /* no byte received */
	H1_REQUEST_HEAD,
	H1_REQUEST_BODY,
	H1_REQUEST_READ /* request complete, response not */
};

/* How much of its response has been sent. */
enum h1_response_state {
	H1_RESPONSE_NONE,
	H1_RESPONSE_HEAD,
	H1_RESPONSE_DONE
};

/* A connection from a caller. */
struct h1_conn {
	struct h1_stream stream; /* first member: libuv's handle */
	struct h1_server *server;
	struct h1_conn *next, *prev;
	http_parser parser;
	struct h1_head head;
	struct h1_head_builder builder;
	void *user;
	enum h1_request_state request_state;
	enum h1_response_state response_state;
	uint64_t state_since_ms; /* start of request_state or lingering */
	uint64_t body_received;	 /* bytes */
	char *pipelined;	 /* bytes received after the current request */
	size_t pipelined_len;
	uv_shutdown_t shutdown;
	int keep_alive;
	int response_chunked;
	int parsing;	  /* inside http_parser_execute() */
	int lingering;	  /* waiting for the caller to close */
	int request_open; /* passed to the owner, response not ended */
};

/* A connection to a server.  It carries one exchange at a time. */
struct h1_client_conn {
	struct h1_stream stream; /* first member: libuv's handle */
	struct h1_pool *pool;
	struct h1_client_conn *next; /* in the pool's idle list */
	struct h1_exchange *exchange;
	http_parser parser;
	struct http_syntax syntax;
	uv_connect_t connect;
	uint64_t idle_since_ms;
	uint64_t keep_alive_ms; /* from Keep-Alive; UINT64_MAX: none */
	uint64_t connect_started_ms;
	uv_timer_t *connect_timer; /* NULL once connected */
};

struct h1_exchange {
	struct h1_client_conn *conn;
	const struct h1_client_ops *ops;
	void *ctx;
	struct h1_head head;
	struct h1_head_builder builder;
	uint64_t length;
	int request_chunked;
	int request_has_body;
	int request_complete; /* all of the request was passed to the stream */
	int response_complete;
	int skip_response;   /* interim, or not to this request */
	uint64_t skipped;    /* bytes of such responses */
	uint64_t received;   /* bytes of the body */
	int is_head_request; /* no response body, whatever its head says */
	int cancelled;
};

void h1_response_begin(struct h1_client_conn *);
size_t h1_response_parse(struct h1_client_conn *, const char *, size_t);
void h1_response_parse_end(struct h1_client_conn *);
int h1_response_is_malformed(const struct h1_client_conn *);

void h1_server_watch_paused(struct h1_server *);
void h1_conn_next_request(struct h1_conn *);
void h1_conn_close(struct h1_conn *);
void h1_conn_on_read(uv_stream_t *, ssize_t, const uv_buf_t *);

#endif

#ifndef HTTP1_HTTP1_H
#define HTTP1_HTTP1_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/*
 * HTTP/1.1 server and client on one libuv loop.  Bodies are passed on in
 * pieces as they arrive.  No function blocks, and none may be called from
 * another thread than the loop's.
 */

#define H1_FIELDS_MAX 64
#define H1_LENGTH_UNKNOWN UINT64_MAX /* body length not known */
/* Size of a write queue above which its owner should pause. */
#define H1_WRITE_QUEUE_HIGH_BYTES 65536

/* A header field.  The name and value are offsets into h1_head.buf. */
struct h1_field {
	uint32_t name, name_len;
	uint32_t value, value_len;
};

/* The head of a request or response.  The target is an offset into buf. */
struct h1_head {
	char *buf;
	uint32_t len, cap;
	uint32_t target, target_len;
	uint32_t field_count;
	struct h1_field fields[H1_FIELDS_MAX];
};

/* A growing text buffer for heads and small bodies to send. */
struct h1_text {
	char *p;
	size_t len, cap;
};

void h1_head_init(struct h1_head *);
void h1_head_finish(struct h1_head *);
const char *h1_head_get(const struct h1_head *, const char *, size_t *);
int h1_head_copy(const struct h1_head *, const char *, char *, size_t);
uint64_t h1_head_get_number(const struct h1_head *, const char *, uint64_t);
int h1_name_equals(const char *, size_t, const char *);
int h1_field_is_hop_by_hop(const struct h1_head *, const struct h1_field *);

void h1_text_init(struct h1_text *);
void h1_text_finish(struct h1_text *);
void h1_text_add(struct h1_text *, const char *, size_t);
void h1_text_addf(struct h1_text *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
void h1_text_add_field(struct h1_text *, const char *, const char *);
void h1_text_add_forwarded(
    struct h1_text *, const struct h1_head *, const char *const *);
const char *h1_reason_phrase(unsigned int);

/* Limits on the requests of a server's callers. */
struct h1_limits {
	uint32_t max_head_bytes;
	uint64_t max_body_bytes;
	/* From the first byte of a head to its last. */
	uint64_t head_timeout_ms;
	uint64_t idle_timeout_ms; /* between requests */
};

struct h1_conn;

/* Callbacks of a server's owner.  The first argument is the owner's context. */
struct h1_server_ops {
	/* The head of a request is complete. */
	void (*head)(void *, struct h1_conn *);
	/* A piece of the body arrived.  Optional. */
	void (*body)(void *, struct h1_conn *, const char *, size_t);
	/* The request is complete. */
	void (*end)(void *, struct h1_conn *);
	/* The connection closed before the response ended. */
	void (*disconnected)(void *, struct h1_conn *);
	/* The write queue fell from above H1_WRITE_QUEUE_HIGH_BYTES to half.
	 * Optional. */
	void (*drained)(void *, struct h1_conn *);
};

struct h1_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t timeout_timer;
	uv_timer_t paused_timer; /* runs while a connection is paused */
	const struct h1_server_ops *ops;
	void *ctx;
	struct h1_limits limits;
	struct h1_conn *conns; /* newest first */
	uint32_t conn_count;
	uint32_t conn_max;
	int draining; /* each response closes its connection */
	int listener_closed;
};

int h1_server_init(struct h1_server *, uv_loop_t *, const struct sockaddr_in *,
    const struct h1_server_ops *, void *, uint32_t);
void h1_server_start_draining(struct h1_server *);
void h1_server_stop_accepting(struct h1_server *);
void h1_server_finish(struct h1_server *);
uint32_t h1_server_open_requests(const struct h1_server *);

const struct h1_head *h1_conn_head(const struct h1_conn *);
const char *h1_conn_method(const struct h1_conn *);
int h1_conn_copy_target(const struct h1_conn *, char *, size_t);
int h1_conn_has_body(const struct h1_conn *);
uint64_t h1_conn_body_length(const struct h1_conn *);
void h1_conn_set_user(struct h1_conn *, void *);
void *h1_conn_user(const struct h1_conn *);
void h1_conn_pause(struct h1_conn *);
void h1_conn_resume(struct h1_conn *);
int h1_conn_close_if_left(struct h1_conn *);
size_t h1_conn_unsent_bytes(const struct h1_conn *);
void h1_send_response_head(
    struct h1_conn *, unsigned int, const struct h1_text *, uint64_t);
void h1_send_response_body(struct h1_conn *, const char *, size_t);
void h1_send_response_end(struct h1_conn *);
void h1_send_response(struct h1_conn *, unsigned int, const struct h1_text *,
    const char *, size_t);
void h1_conn_abort(struct h1_conn *);

/* The reason for the failure of an exchange. */
enum h1_failure {
	H1_NOT_SENT,   /* not connected: the server received nothing */
	H1_INCOMPLETE, /* closed before the response was complete */
	H1_MALFORMED,  /* not a valid response */
	H1_FAILURE_MAX
};

struct h1_exchange;

/* Callbacks of an exchange's owner.  The first argument is its context. */
struct h1_client_ops {
	/* Returns 0 to accept this response, 1 to skip it and await another. */
	int (*head)(void *, struct h1_exchange *);
	/* A piece of the response body arrived. */
	void (*body)(void *, struct h1_exchange *, const char *, size_t);
	/* The response is complete. */
	void (*end)(void *, struct h1_exchange *);
	/* The exchange failed. */
	void (*fail)(void *, struct h1_exchange *, enum h1_failure);
	/* The write queue fell from above H1_WRITE_QUEUE_HIGH_BYTES to half.
	 * Optional. */
	void (*drained)(void *, struct h1_exchange *);
};

struct h1_client_conn;

/* Connections to one address. */
struct h1_pool {
	uv_loop_t *loop;
	struct sockaddr_in addr;
	struct h1_client_conn *idle; /* most recently used first */
	uint32_t idle_count;
	uint32_t open_count;
	uint64_t max_idle_ms; /* not reused after being idle for this long */
	uint64_t connect_timeout_ms;
	uint64_t max_body_bytes; /* of a response; 0: no limit */
};

void h1_pool_init(struct h1_pool *, uv_loop_t *, const struct sockaddr_in *,
    uint64_t, uint64_t);
void h1_pool_limit_body(struct h1_pool *, uint64_t);
void h1_pool_finish(struct h1_pool *);
void h1_pool_trim(struct h1_pool *, uint32_t);
struct h1_exchange *h1_send_request(struct h1_pool *, const struct h1_text *,
    uint64_t, int, uint64_t, const struct h1_client_ops *, void *);
void h1_send_request_body(struct h1_exchange *, const char *, size_t);
void h1_send_request_end(struct h1_exchange *);
size_t h1_exchange_unsent_bytes(const struct h1_exchange *);
void h1_exchange_cancel(struct h1_exchange *);
void h1_exchange_pause(struct h1_exchange *);
void h1_exchange_resume(struct h1_exchange *);
const struct h1_head *h1_exchange_head(const struct h1_exchange *);
unsigned int h1_exchange_status(const struct h1_exchange *);
uint64_t h1_exchange_body_length(const struct h1_exchange *);

#endif

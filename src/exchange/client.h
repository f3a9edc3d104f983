#ifndef EXCHANGE_CLIENT_H
#define EXCHANGE_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include "exchange/head.h"

/* How one exchange with a server or a peer ended. */
enum exchange_end {
	EXCHANGE_WHOLE,	   /* the whole answer was received */
	EXCHANGE_UNSENT,   /* no byte of the request was sent */
	EXCHANGE_CUT,	   /* sent, and broken before any answer */
	EXCHANGE_CUT_BODY, /* broken within the answer */
	EXCHANGE_TIMEOUT,  /* sent, and the deadline passed */
	EXCHANGE_GARBAGE,  /* the answer is no HTTP, or of unknown length */
	EXCHANGE_ABORTED,  /* the receiver of the answer gave up */
	EXCHANGE_END_MAX
};

/*
 * Receives an answer as it arrives.  A function returns 0, or -1 to give
 * up; body() is not called before head().
 */
struct answer_sink {
	int (*head)(void *, const struct head *);
	int (*body)(void *, const char *, size_t);
	void *ctx;
};

struct exchange_req {
	uint32_t addr; /* host byte order */
	uint16_t port;
	const char *method;
	const char *target; /* path and query */
	const struct head *head;
	const char *body;
	size_t body_len;
	uint32_t timeout_ms;
	size_t idle_max; /* connections kept open to this destination */
	/* Asked about once a second, if set: 1 to wait no longer. */
	int (*hopeless)(void *);
	void *hopeless_ctx;
};

struct client;

struct client *client_new(uint32_t, size_t, uint32_t);
void client_free(struct client *);
enum exchange_end client_exchange(
    struct client *, const struct exchange_req *, const struct answer_sink *);
void client_reap(struct client *, uint64_t);
void client_forget(struct client *, uint32_t, uint16_t);

#endif

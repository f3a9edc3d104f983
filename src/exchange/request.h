#ifndef EXCHANGE_REQUEST_H
#define EXCHANGE_REQUEST_H

#include <civetweb.h>
#include <stdatomic.h>

#include "exchange/head.h"
#include "exchange/reason.h"

#define REQUEST_KEY_MAX 256
#define REQUEST_ID_MAX 128
#define REQUEST_TARGET_MAX 8192
#define REQUEST_METHOD_MAX 16

/* A request as it was received and checked, with the fields to pass on. */
struct request {
	struct mg_connection *conn;
	const atomic_int *closing; /* connections end with their answer */
	char method[REQUEST_METHOD_MAX];
	char target[REQUEST_TARGET_MAX]; /* path and query */
	char key[REQUEST_KEY_MAX + 1];
	char id[REQUEST_ID_MAX + 1];
	char token[64];
	const char *context;
	const char *mac;
	uint32_t timeout_ms; /* 0 where the caller named none */
	int http10;
	char *body;
	size_t body_len;
	struct head head;
};

enum reason request_init(struct request *, struct mg_connection *,
    const atomic_int *, size_t, const char **);
void request_finish(struct request *);
const char *request_raw(const struct request *, const char *);

#endif

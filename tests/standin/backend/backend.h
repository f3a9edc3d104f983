#ifndef STANDIN_BACKEND_H
#define STANDIN_BACKEND_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <civetweb.h>

#include "../runs.h"

#define URL_MAX 1024

enum fault {
	FAULT_NONE,
	FAULT_LATE,
	FAULT_TWICE,
	FAULT_CUT,
	FAULT_GARBAGE,
	FAULT_OVERSIZE,
	FAULT_CHUNK_CUT,
	FAULT_LOST,
	FAULT_STALL,
	FAULT_WRONG_ID,
	FAULT_ERROR,
	FAULT_MAX
};

struct request {
	struct mg_connection *conn;
	const struct mg_request_info *info;
	const char *path;
	char *body;
	size_t body_len;
	int fd;
	uint64_t arrival;
	uint64_t deadline; /* us, 0 if there is none */
	char call[URL_MAX];
	char call_body[URL_MAX];
};

/*
 * The settings, faults and state of the one server in this process.
 */
struct backend {
	const char *address;
	const char *port;
	const char *inner;
	const char *service;
	const char *poison;
	const char *health;
	char inner_url[URL_MAX];
	char incarnation[17];
	int64_t slots;
	int64_t connections;
	int64_t queue_max;
	int64_t service_us;
	int64_t setup_us;
	int64_t seed;
	int64_t fixed;
	int64_t cold_ms;
	int64_t cold_factor;
	int64_t inner_retries;
	int64_t check_deadline;
	int64_t echo_id;
	int64_t slow_percent;
	int64_t lie;
	int64_t late_ms;
	int64_t announce;
	enum fault fault;
	int64_t fault_count; /* answers still to spoil, negative for all */
	pthread_mutex_t lock;
	pthread_cond_t slot_free;
	int64_t busy;
	int64_t waiting;
	int64_t open_conns;
	int64_t open_conns_max;
	int64_t shed;
	int64_t expired;
	int64_t cancelled;
	int64_t draining;
	uint64_t started;
	uint64_t draws;
	struct runs runs;
};

extern struct backend be;

int backend_serve(struct mg_connection *, void *);
int backend_answer(struct request *);
int backend_hang_up(struct request *);
int backend_fail(struct request *, int);
int backend_refuse(struct request *);
enum fault backend_fault(const char *);

#endif

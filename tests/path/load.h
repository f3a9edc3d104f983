#ifndef PATH_LOAD_H
#define PATH_LOAD_H

#include <pthread.h>
#include <stdint.h>

#include "http.h"

/*
 * Callers that send requests until they are told to stop.
 */

#define LOAD_THREADS_MAX 64

struct load {
	int threads;
	uint64_t interval_us; /* from start to start in a thread, 0: at once */
	int spaced; /* no two starts are closer, even after a late one */
	/* Fills in a request; returns 0, or -1 to end the thread. */
	int (*request)(void *, int, uint64_t, struct http_req *);
	void (*answer)(void *, int, uint64_t, const struct http_req *,
	    const struct http_res *);
	void *ctx;
	int stop;
	uint64_t sent;
	pthread_t ids[LOAD_THREADS_MAX];
};

int load_start(struct load *);
void load_stop(struct load *);
void load_run(struct load *, int);

#endif

#ifndef PATH_OPENLOAD_H
#define PATH_OPENLOAD_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet.h"

/*
 * Open-loop load: requests begin at random times whatever becomes of the
 * earlier ones, and callers send again what was not served.
 */

#define OL_THREADS_MAX 6
#define OL_FLOWS_MAX 256
#define OL_ATTEMPTS_MAX 5
#define OL_REASONS 12

/*
 * A stream of equal requests.
 */
struct ol_flow {
	char path[96];
	char key[48];
	double rate; /* a second, at load 1 */
	int order;   /* a POST with an id */
	int surges;  /* follows the load factor; else stays at 1 */
	int paced;   /* begins at equal intervals */
	int group;   /* what the measuring program makes of it */
	int workspace;
	int important;
	int noisy; /* goes over its rate on purpose */
};

/*
 * What became of one request, with all its attempts.
 */
struct ol_result {
	uint32_t start_ms; /* since the load began */
	uint32_t end_ms;
	uint16_t flow;
	uint8_t attempts;
	uint8_t whole;
	uint8_t over_rate; /* attempts refused as over the rate */
	uint8_t not_run;
	uint32_t last_us; /* the last attempt took */
};

struct ol_thread;

struct openload {
	struct fleet *fleet;
	struct ol_flow flows[OL_FLOWS_MAX];
	size_t flow_count;
	int threads;
	int attempts;	      /* at most, of one request */
	int stays;	      /* all attempts of a request go to one node */
	int retry_ms;	      /* mean time before the next attempt */
	long timeout_ms;      /* of one attempt */
	uint64_t patience_ms; /* of a caller, over all attempts */
	uint64_t seed;
	double factor; /* of the load, may change while it runs */
	int stop;
	uint64_t began;
	uint64_t reasons[OL_REASONS]; /* of refusals, by attempt */
	uint64_t dropped;	      /* not begun: too many at once */
	struct ol_thread *list[OL_THREADS_MAX];
	pthread_t ids[OL_THREADS_MAX];
	struct ol_result *results;
	size_t result_count;
};

void openload_init(struct openload *, struct fleet *);
void openload_start(struct openload *);
void openload_stop(struct openload *);
void openload_finish(struct openload *);
void openload_factor(struct openload *, double);
const char *openload_reason(size_t);
uint32_t openload_now(const struct openload *);

#endif

#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "admission/admission.h"
#include "base/nodeid.h"

#define ROUTE_CANDIDATES_MAX 128 /* considered per choice */
#define ROUTE_BUCKETS 1024
#define ROUTE_WAYS 8 /* servers per bucket */

/* The result of an attempt at a server, as the entry node sees it. */
enum route_outcome {
	ROUTE_SERVED,
	ROUTE_SHED,	     /* rejected because of overload, not run */
	ROUTE_LEAVING,	     /* not run: server drains, stops or is absent */
	ROUTE_FAILED,	     /* error status or broken exchange */
	ROUTE_TIMEOUT,	     /* no answer before the deadline */
	ROUTE_NO_CONNECTION, /* no connection to the server */
	ROUTE_CANCELLED,     /* caller disconnected; not counted */
	ROUTE_OUTCOME_MAX
};

enum route_reason {
	ROUTE_CHOSEN,
	ROUTE_NO_SERVER, /* no server can accept the request */
	ROUTE_OVERLOAD,	 /* all usable servers shed this rank */
	ROUTE_REASON_MAX
};

/* How close a server is to this node. */
enum route_proximity {
	ROUTE_OTHER_REGION,
	ROUTE_SAME_REGION,
	ROUTE_SAME_DOMAIN,
	ROUTE_PROXIMITY_MAX
};

/* A server of the service, as described by membership. */
struct route_candidate {
	struct node_id id;
	/* Time of the first report of this incarnation; 0 if unknown. */
	uint64_t first_seen_ms;
	uint64_t load_reported_ms; /* time of the load report; 0 if none */
	struct admission_load load;
	uint32_t slots; /* requests that it runs at once */
	enum route_proximity proximity;
	int leaving;	   /* drains, stops or is considered dead */
	int suspect;	   /* may be dead, but can still refute it */
	int already_tried; /* an earlier attempt of this request used it */
};

/* This node's own observations of a server. */
struct route_stat {
	uint64_t key; /* hash of the server's id; 0 for a free entry */
	uint64_t last_used_ms;
	uint64_t load_reported_ms; /* time of the load report; 0 if none */
	struct admission_load load;
	int needs_probe;	     /* no success since its last ejection */
	uint32_t inflight;	     /* attempts sent by this node, not ended */
	uint32_t inflight_at_report; /* value of inflight at the load report */
	uint32_t consecutive_failures; /* failures since the last success */
	uint32_t ejections;	   /* recent count; sets the next duration */
	uint64_t ejected_until_ms; /* end of the last ejection */
	uint64_t readmitted_ms;	   /* first success after an ejection */
	uint64_t leaving_until_ms; /* end of its exclusion as leaving */
	uint64_t last_answer_ms;   /* includes answers that reject a request */
	uint64_t decayed_ms;	   /* last decay of the counts */
	double successes;	   /* exponentially decaying count */
	double failures;	   /* exponentially decaying count */
	double latency_us;	   /* moving mean of the served requests */
};

struct route_query {
	uint64_t now_ms;
	uint64_t rnd;  /* random bits */
	uint32_t rank; /* from admission_rank() */
	int may_probe; /* it can be retried if a probed server fails */
};

struct route_bucket {
	pthread_mutex_t lock;
	struct route_stat ways[ROUTE_WAYS];
};

/* Observations of all servers.  Any thread may use it. */
struct route_table {
	struct route_bucket *buckets;
};

int route_choose(const struct route_candidate *, const struct route_stat *,
    size_t, const struct route_query *, enum route_reason *);
void route_stat_update(struct route_stat *, enum route_outcome, uint64_t,
    const struct admission_load *, uint64_t);

void route_table_init(struct route_table *);
void route_table_finish(struct route_table *);
void route_request_started(
    struct route_table *, const struct node_id *, uint64_t);
void route_request_ended(struct route_table *, const struct node_id *,
    enum route_outcome, uint64_t, const struct admission_load *, uint64_t);
void route_table_get(
    struct route_table *, const struct node_id *, struct route_stat *);
int route_table_choose(struct route_table *, const struct route_candidate *,
    size_t, const struct route_query *, enum route_reason *);
void route_dump(struct route_table *, const struct route_candidate *, size_t,
    uint64_t, FILE *);

#endif

#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "admission/admission.h"
#include "base/nodeid.h"

#define ROUTE_CANDIDATES_MAX 128 /* looked at for one choice */
#define ROUTE_BUCKETS 1024
#define ROUTE_WAYS 8

/* How a request that was sent to a server ended, seen from the entry. */
enum route_outcome {
	ROUTE_SERVED,
	ROUTE_SHED,	 /* refused, not run: overload */
	ROUTE_LEAVING,	 /* refused, not run: draining, stopping, no server */
	ROUTE_FAILED,	 /* an error or a broken exchange */
	ROUTE_TIMEOUT,	 /* no answer by the deadline */
	ROUTE_REFUSED,	 /* no connection */
	ROUTE_CANCELLED, /* the caller left; says nothing on the server */
	ROUTE_OUTCOME_MAX
};

enum route_reason {
	ROUTE_CHOSEN,
	ROUTE_NO_SERVER, /* none that could take it */
	ROUTE_OVERLOAD,	 /* every server that could take it sheds this rank */
	ROUTE_REASON_MAX
};

/* Where a server is, seen from here. */
enum route_proximity {
	ROUTE_ELSEWHERE,
	ROUTE_SAME_REGION,
	ROUTE_SAME_DOMAIN,
	ROUTE_PROXIMITY_MAX
};

/* A server of the service, as membership knows it. */
struct route_candidate {
	struct node_id id;
	uint64_t since_ms;	   /* when its incarnation was first heard of */
	uint64_t load_reported_ms; /* of the load below; 0 for none */
	struct admission_load load;
	uint32_t slots;
	enum route_proximity near;
	int leaving; /* drains, stops, or is held to be dead */
	int suspect; /* may be dead, may still refute it */
	int tried;   /* an earlier attempt of this request went there */
};

/* What this node has seen of a server itself. */
struct route_stat {
	uint64_t key; /* hash of the server's name; 0 for none */
	uint64_t last_used_ms;
	uint64_t load_reported_ms; /* of the load below; 0 for none */
	struct admission_load load;
	int needs_probe;   /* was ejected and hasn't succeeded since */
	uint32_t inflight; /* sent from here and not ended */
	uint32_t inflight_at_report;
	uint32_t streak; /* failures since the last success */
	uint32_t ejections;
	uint64_t ejected_ms;	   /* ejected until then */
	uint64_t readmitted_ms;	   /* first success after the ejection */
	uint64_t leaving_until_ms; /* refused as leaving until then */
	uint64_t last_answer_ms;   /* last answer of any kind */
	uint64_t decayed_ms;
	double successes; /* decaying counts */
	double failures;
	double latency_us; /* decaying mean of the served ones */
};

struct route_query {
	uint64_t now_ms;
	uint64_t rnd;
	uint32_t rank; /* from admission_rank() */
	int may_probe; /* can be tried again if a returning server fails */
};

struct route_bucket {
	pthread_mutex_t lock;
	struct route_stat ways[ROUTE_WAYS];
};

/* Observations of all servers, safe to use from any thread. */
struct route_book {
	struct route_bucket *buckets;
};

int route_choose(const struct route_candidate *, const struct route_stat *,
    size_t, const struct route_query *, enum route_reason *);
void route_stat_update(struct route_stat *, enum route_outcome, uint64_t,
    const struct admission_load *, uint64_t);

void route_book_init(struct route_book *);
void route_book_finish(struct route_book *);
void route_begin(struct route_book *, const struct node_id *, uint64_t);
void route_observe(struct route_book *, const struct node_id *,
    enum route_outcome, uint64_t, const struct admission_load *, uint64_t);
void route_book_get(
    struct route_book *, const struct node_id *, struct route_stat *);
int route_pick(struct route_book *, const struct route_candidate *, size_t,
    const struct route_query *, enum route_reason *);
void route_dump(struct route_book *, const struct route_candidate *, size_t,
    uint64_t, FILE *);

#endif

#ifndef RETRY_RETRY_H
#define RETRY_RETRY_H

#include <stdatomic.h>
#include <stdint.h>

#define RETRY_MAX 10 /* largest bound that a route may set */

/*
 * The retries that one request, or the work for it at a server, may still
 * use.  Granted retries are subtracted until they are returned.
 */
struct retry_chain {
	atomic_uint left;
};

/* Limits the share of retries in a route's traffic, per node. */
struct retry_budget {
	atomic_int_fast64_t milli_retries;
	atomic_uint_fast64_t floor_granted_ms; /* last guaranteed retry */
};

/* Why an attempt brought no usable answer. */
enum retry_reason {
	RETRY_NOT_RETRYABLE, /* a retry would be rejected for the same reason */
	RETRY_NO_CONNECTION,
	RETRY_LEAVING,	       /* the server drains or its node stops */
	RETRY_OVERLOAD,	       /* this server sheds the request */
	RETRY_OVERLOAD_ALL,    /* every server of the service sheds it */
	RETRY_BROKEN_EXCHANGE, /* the answer was lost, truncated or malformed */
	RETRY_SERVER_FAILED,   /* reported by the server or its node */
	RETRY_DEADLINE,
	RETRY_REASON_MAX
};

/* A failed attempt and its request. */
struct retry_failure {
	enum retry_reason reason;
	int not_run;	    /* the request was certainly not run */
	int idempotent;	    /* the request may run more than once */
	int server_crashed; /* a server crashed while it was in flight */
	uint32_t attempts;  /* including the failed one */
	uint32_t overloaded_attempts; /* ended in RETRY_OVERLOAD */
	uint64_t time_left_us;	      /* until the deadline */
	/* Expected duration of an attempt; 0 if unknown. */
	uint64_t expected_attempt_us;
	uint64_t rnd;
};

enum retry_verdict {
	RETRY_GIVE_UP,
	RETRY_NOW,	   /* at another server */
	RETRY_AFTER_DELAY, /* after the returned delay */
	RETRY_VERDICT_MAX
};

void retry_chain_init(struct retry_chain *, uint32_t);
uint32_t retry_grant_to_call(struct retry_chain *);
uint32_t retry_grant_to_attempt(struct retry_chain *);
void retry_return_unused(struct retry_chain *, uint32_t, uint32_t);
int retry_spend(struct retry_chain *);
uint32_t retry_chain_close(struct retry_chain *);

void retry_budget_init(struct retry_budget *, uint64_t);
void retry_budget_add_success(struct retry_budget *);
int retry_budget_spend(struct retry_budget *, uint64_t);

enum retry_verdict retry_decide(const struct retry_failure *,
    struct retry_chain *, struct retry_budget *, uint64_t, uint32_t *);

#endif

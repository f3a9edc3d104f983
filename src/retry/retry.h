#ifndef RETRY_RETRY_H
#define RETRY_RETRY_H

#include <stdatomic.h>
#include <stdint.h>

#define RETRY_MAX 10 /* the largest bound that a route may set */

/*
 * The retries that one request, or the work for one request, may still use.
 * What it lends is gone from here until it is returned.
 */
struct retry_chain {
	atomic_uint left;
};

/* A route's share of retries in its traffic, held per node. */
struct retry_budget {
	atomic_int_fast64_t milli_retries; /* thousandths of a retry */
	atomic_uint_fast64_t floor_granted_ms;
};

/* Why an attempt has not brought an answer. */
enum retry_reason {
	RETRY_FINAL, /* another attempt would be refused alike */
	RETRY_NO_CONNECTION,
	RETRY_LEAVING,	     /* the server drains or its node stops */
	RETRY_OVERLOAD,	     /* this server sheds */
	RETRY_OVERLOAD_ALL,  /* every server of the service sheds */
	RETRY_BROKEN,	     /* the answer was lost, cut or garbled */
	RETRY_SERVER_FAILED, /* the server or its node reports a failure */
	RETRY_DEADLINE,
	RETRY_REASON_MAX
};

struct retry_case {
	enum retry_reason reason;
	int not_run;	/* certainly */
	int idempotent; /* may run more than once */
	int struck;	/* was in flight when a server died */
	uint32_t attempts;
	uint32_t overloads;   /* attempts that ended in RETRY_OVERLOAD */
	uint64_t left_us;     /* until the deadline */
	uint64_t expected_us; /* that an attempt takes, or 0 */
	uint64_t rnd;
};

enum retry_verdict {
	RETRY_GIVE_UP,
	RETRY_NOW,   /* at another server */
	RETRY_LATER, /* after the delay given */
	RETRY_VERDICT_MAX
};

void retry_chain_init(struct retry_chain *, uint32_t);
uint32_t retry_lend_call(struct retry_chain *);
uint32_t retry_lend_attempt(struct retry_chain *);
void retry_return(struct retry_chain *, uint32_t, uint32_t);
int retry_spend(struct retry_chain *);
uint32_t retry_chain_close(struct retry_chain *);

void retry_budget_init(struct retry_budget *, uint64_t);
void retry_budget_success(struct retry_budget *);
int retry_budget_spend(struct retry_budget *, uint64_t);

enum retry_verdict retry_decide(const struct retry_case *, struct retry_chain *,
    struct retry_budget *, uint64_t, uint32_t *);

#endif

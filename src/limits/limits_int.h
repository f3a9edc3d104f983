#ifndef LIMITS_LIMITS_INT_H
#define LIMITS_LIMITS_INT_H

#include "limits/limits.h"
#include "limits/limits_bucket.h"
#include "limits/limits_xdr.h"

#define LIMITS_LOAN_MAX_MS 500	 /* longest lifetime, of prefetched loans */
#define LIMITS_SHORT_LOAN_MS 150 /* of loans for waiting requests only */
/*
 * An owner waits this long after a loan's lifetime before it counts the loan as
 * expired, because the clocks of nodes differ in speed.
 */
#define LIMITS_EXPIRY_MARGIN_MS 50

#define LIMITS_ACTIVE_LOANS_MAX 8 /* of a workspace on an entry node */
#define LIMITS_ENDED_LOANS_MAX 16 /* remembered for reports and refunds */

/* A loan with tokens that the entry node can still spend. */
struct limits_active_loan {
	uint64_t id;
	struct node_id owner;
	uint32_t part;	 /* partition of the shard */
	uint32_t tokens; /* unspent; 0: no loan in this place */
	uint64_t expire_us;
};

/* A loan whose tokens are spent, expired or to be given back. */
struct limits_ended_loan {
	struct node_id owner;
	uint16_t part;		/* partition of the shard */
	uint16_t report_queued; /* 1 until a report of unspent is sent */
	uint32_t unspent;	/* tokens */
	uint64_t id;
};

/* The state of one workspace on an entry node. */
struct limits_entry {
	struct limits_entry *next;
	uint64_t hash;
	pthread_mutex_t lock;	    /* guards all fields below */
	pthread_cond_t borrow_done; /* signalled when borrowing becomes 0 */
	struct limits_workspace ws;
	struct limits_active_loan loans[LIMITS_ACTIVE_LOANS_MAX];
	/* The newest is the last. */
	struct limits_ended_loan ended[LIMITS_ENDED_LOANS_MAX];
	size_t queued_reports;	   /* ended loans with report_queued */
	uint64_t oldest_report_us; /* when the first of them was queued */
	/* No token request goes to a shard before these times. */
	uint64_t empty_until_us[LIMITS_SHARDS];
	uint64_t unreachable_until_us[LIMITS_SHARDS];
	/* 1 if the bucket may be empty only because its lease is new. */
	int owner_is_new[LIMITS_SHARDS];
	double last_level[LIMITS_SHARDS]; /* tokens, from the last answer */
	/* Time of that answer; 0: none. */
	uint64_t level_read_us[LIMITS_SHARDS];
	int borrowing;		   /* 1 while a thread borrows tokens */
	uint32_t waiting_requests; /* threads that wait for borrow_done */
	uint64_t arrivals;	   /* requests since demand_measured_us */
	uint64_t demand_measured_us;
	double demand_rate_per_s; /* requests; a moving average */
};

/* limits.c */
struct limits_entry *limits_entry_get(struct limits *, uint64_t);

/* limits_loans.c; callers hold the lock of the entry */
void limits_end_loan(
    struct limits_entry *, struct limits_active_loan *, uint64_t);
uint32_t limits_available_tokens(struct limits_entry *, uint64_t);
int limits_spend_token(struct limits_entry *, uint64_t *, uint64_t);
void limits_refund_token(struct limits_entry *, uint64_t, uint64_t);
void limits_add_loan(
    struct limits_entry *, const struct limits_active_loan *, uint64_t);
const struct limits_ended_loan *limits_first_queued_report(
    const struct limits_entry *);
size_t limits_dequeue_reports(
    struct limits_entry *, uint32_t, const struct node_id *, limits_report *);
void limits_update_demand(struct limits_entry *, uint64_t);
int limits_end_expiring_loans(struct limits_entry *, uint64_t);
int limits_reports_urgent(const struct limits_entry *);

/* limits_owner.c */
void limits_owner_finish(struct limits *);
void limits_serve_token_request(struct limits *,
    const limits_token_request_arg *, limits_token_request_res *);
void limits_serve_report(
    struct limits *, const limits_report_arg *, limits_report_res *);
void limits_owner_dump(struct limits *, FILE *);

#endif

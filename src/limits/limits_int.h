#ifndef LIMITS_LIMITS_INT_H
#define LIMITS_LIMITS_INT_H

#include "limits/limits.h"
#include "limits/limits_bucket.h"
#include "limits/limits_xdr.h"

#define LIMITS_LOAN_MAX_MS 500	   /* life of a prefetched loan */
#define LIMITS_SHORT_LOAN_MS 150   /* life of tokens for waiting requests */
#define LIMITS_EXPIRY_MARGIN_MS 50 /* kept longer by the owner: clock speeds \
				    */

#define LIMITS_ACTIVE_LOANS_MAX 8 /* loans that an entry holds of a workspace \
				   */
#define LIMITS_ENDED_LOANS_MAX 16 /* ended loans that it remembers */

struct limits_active_loan {
	uint64_t id;
	struct node_id owner;
	uint32_t part;
	uint32_t tokens; /* 0: the place is free */
	uint64_t expire_us;
};

/* A loan that has ended. */
struct limits_ended_loan {
	struct node_id owner;
	uint16_t part;
	uint16_t report_queued; /* its owner is to be told what was not spent */
	uint32_t unspent;
	uint64_t id;
};

/* What an entry knows of one workspace. */
struct limits_entry {
	struct limits_entry *next;
	uint64_t hash;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t borrow_done;
	struct limits_ws ws;
	struct limits_active_loan loans[LIMITS_ACTIVE_LOANS_MAX];
	struct limits_ended_loan
	    ended[LIMITS_ENDED_LOANS_MAX]; /* newest last */
	size_t queued_reports;		   /* of them queued */
	uint64_t oldest_report_us;	   /* when the oldest was queued */
	uint64_t empty_until_us[LIMITS_SHARDS];
	uint64_t unreachable_until_us[LIMITS_SHARDS];
	int owner_is_new[LIMITS_SHARDS];  /* dry, but perhaps not by use */
	double last_level[LIMITS_SHARDS]; /* tokens left, as last told */
	uint64_t level_read_us[LIMITS_SHARDS];
	int borrowing;
	uint32_t waiting_requests; /* tokens that other threads wait for */
	uint64_t arrivals;
	uint64_t demand_measured_us;
	double demand_per_s; /* requests a second */
};

/* limits.c */
struct limits_entry *limits_entry_get(struct limits *, uint64_t);

/* limits_loans.c: the entry's lock is held */
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
void limits_serve_ask(
    struct limits *, const limits_ask_arg *, limits_ask_res *);
void limits_serve_report(
    struct limits *, const limits_report_arg *, limits_report_res *);
void limits_owner_dump(struct limits *, FILE *);

#endif

#ifndef LIMITS_LIMITS_INT_H
#define LIMITS_LIMITS_INT_H

#include "limits/limits.h"
#include "limits/limits_bucket.h"
#include "limits/limits_xdr.h"

#define LIMITS_LOAN_MS 500   /* life of a prefetched loan */
#define LIMITS_SINGLE_MS 150 /* life of tokens for waiting requests */
#define LIMITS_MARGIN_MS 50  /* kept longer by the owner: clock speeds */

#define LIMITS_HELD_MAX 8   /* loans that an entry holds of a workspace */
#define LIMITS_ENDED_MAX 16 /* ended loans that it remembers */

struct limits_held {
	uint64_t id;
	struct node_id owner;
	uint32_t part;
	uint32_t tokens; /* 0: the place is free */
	uint64_t expire_us;
};

/* A loan that has ended. */
struct limits_ended {
	struct node_id owner;
	uint16_t part;
	uint16_t queued; /* its owner is to be told what was not spent */
	uint32_t unspent;
	uint64_t id;
};

/* What an entry knows of one workspace. */
struct limits_entry {
	struct limits_entry *next;
	uint64_t hash;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t got;
	struct limits_ws ws;
	struct limits_held loans[LIMITS_HELD_MAX];
	struct limits_ended ended[LIMITS_ENDED_MAX]; /* newest last */
	size_t report_count;			     /* of them queued */
	uint64_t report_us; /* when the oldest was queued */
	uint64_t dry_us[LIMITS_SHARDS];
	uint64_t down_us[LIMITS_SHARDS];
	int filling[LIMITS_SHARDS];  /* dry, but perhaps not by use */
	double level[LIMITS_SHARDS]; /* tokens left, as last told */
	uint64_t level_us[LIMITS_SHARDS];
	int asking;
	uint32_t waiting; /* tokens that other threads wait for */
	uint64_t arrivals;
	uint64_t measured_us;
	double demand; /* requests a second */
};

/* limits.c */
struct limits_entry *limits_entry_get(struct limits *, uint64_t);

/* limits_loans.c: the entry's lock is held */
void loan_end(struct limits_entry *, struct limits_held *, uint64_t);
uint32_t loans_held(struct limits_entry *, uint64_t);
int loans_spend(struct limits_entry *, uint64_t *, uint64_t);
void loan_refund(struct limits_entry *, uint64_t, uint64_t);
void loan_keep(struct limits_entry *, const struct limits_held *, uint64_t);
const struct limits_ended *report_first(const struct limits_entry *);
size_t reports_take(
    struct limits_entry *, uint32_t, const struct node_id *, limits_report *);
void demand_measure(struct limits_entry *, uint64_t);
int loans_return(struct limits_entry *, uint64_t);
int loans_tight(const struct limits_entry *);

/* limits_owner.c */
void limits_owner_finish(struct limits *);
void limits_serve_ask(
    struct limits *, const limits_ask_arg *, limits_ask_res *);
void limits_serve_report(
    struct limits *, const limits_report_arg *, limits_report_res *);
void limits_owner_dump(struct limits *, FILE *);

#endif

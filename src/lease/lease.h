#ifndef LEASE_LEASE_H
#define LEASE_LEASE_H

#include <stddef.h>
#include <stdint.h>

#include "base/nodeid.h"

/*
 * Leases on partitions, decided by the order of the log stream "leases".
 * docs/LEASES.md argues why no two nodes act for a partition at once.
 */
#define LEASE_STREAM "leases"
#define LEASE_PARTS 48
#define LEASE_GROUPS 3
#define LEASE_GROUP_PARTS (LEASE_PARTS / LEASE_GROUPS)

#define LEASE_TERM_MS 2000	  /* authority after a proof was asked for */
#define LEASE_MARGIN_MS 200	  /* allowance for clocks of unequal speed */
#define LEASE_HANDOVER_MS 700	  /* the old owner's loans lapse meanwhile */
#define LEASE_LONG_MS 600000	  /* wait after owner and standby are gone */
#define LEASE_RESET_WAIT_MS 30000 /* how long to look for a snapshot */
#define LEASE_CLAIM_BYTES 512	  /* an encoded claim fits */

enum lease_kind {
	LEASE_FIRST,	      /* never owned before */
	LEASE_VACANT,	      /* no owner since the table was reset */
	LEASE_STANDBY_CHANGE, /* the owner names another standby */
	LEASE_HANDOVER,	      /* the owner names another owner */
	LEASE_TAKEOVER,	      /* by the standby */
	LEASE_SLOW_TAKEOVER,  /* by anyone else */
	LEASE_KIND_MAX
};

enum lease_result {
	LEASE_ACCEPTED,
	LEASE_SUPERSEDED, /* another claim came first in the log */
	LEASE_BUFFERED,	  /* can't be judged before a snapshot is read */
	LEASE_MALFORMED,  /* malformed: dropped */
	LEASE_SNAPSHOT,
	LEASE_RESET,
	LEASE_STALE, /* already applied */
	LEASE_RESULT_MAX
};

struct lease_claim {
	uint32_t part;
	uint64_t prev;
	uint64_t term;
	struct node_id by;
	struct node_id owner;
	struct node_id standby;
};

/* This node's own appends; they outlive a table that lost its records. */
struct lease_appends {
	uint64_t replaced_term; /* term that the newest of them would replace */
	int in_flight;		/* it has not ended */
	int maybe_written;	/* one has ended, and may still be written */
	int stopped;		/* it hands over: this node no longer acts */
};

/* What the log says of one partition, and what this node has promised. */
struct lease_entry {
	uint64_t term;
	uint64_t tenure; /* term with which the owner's time began */
	struct node_id owner;
	struct node_id standby;
	enum lease_kind kind;
	uint64_t effective_ms;		  /* the owner may act from here on */
	uint64_t replicated_effective_ms; /* or here, on what only counts once
					     noted */
	uint64_t read_ms;		  /* when this term was read */
	uint64_t promise_sent_ms;	  /* newest promise of the standby */
	int promised;
	int first; /* tenure began with the first claim ever */
	struct lease_appends appends;
	uint64_t hint_term; /* newer term that a peer knows of */
	struct node_id hint_owner;
	struct node_id hint_standby;
};

struct lease_pending {
	uint64_t offset;
	struct lease_claim claim;
};

struct lease_table {
	struct node_id self;
	uint64_t long_ms;
	uint64_t read_from; /* offset from which all records were read */
	uint64_t next;	    /* offset of the next record to apply */
	int complete;
	int has_read_proof;
	uint64_t read_sent_ms;	 /* when the newest proving read was sent */
	uint64_t end_reached_ms; /* first proving read while incomplete */
	uint64_t
	    snapshot_next_offset;  /* position described by the last snapshot */
	uint64_t snapshot_read_ms; /* when it was read */
	int snapshot_seen;
	uint64_t malformed_count;
	uint64_t superseded_count;
	struct lease_entry part[LEASE_PARTS];
	struct lease_pending *pending;
	size_t pending_count;
	size_t pending_cap;
};

/* What request threads need to know of a partition. */
struct lease_view {
	struct node_id owner;
	struct node_id standby;
	uint64_t term;
	uint64_t tenure;
	uint64_t effective_ms;
	uint64_t until_ms; /* this node is the owner up to here; 0 if not */
	uint64_t noted_until_ms; /* see lease_noted() */
	int first;
};

/* How other duties look partitions up; the last argument is clock_ms(). */
typedef void (*lease_lookup_fn)(
    void *, uint32_t, uint64_t, struct lease_view *);

void lease_init(struct lease_table *, const struct node_id *, uint64_t);
void lease_finish(struct lease_table *);
void lease_first(struct lease_table *, uint64_t);
enum lease_result lease_apply(
    struct lease_table *, const char *, size_t, uint64_t, uint64_t);
void lease_read_proof(struct lease_table *, uint64_t);
int lease_append_begin(struct lease_table *, const struct lease_claim *);
void lease_append_end(struct lease_table *, const struct lease_claim *, int);
void lease_promise(struct lease_table *, uint32_t, uint64_t, uint64_t);
int lease_may_promise(
    const struct lease_table *, uint32_t, uint64_t, const struct node_id *);
void lease_add_hint(struct lease_table *, uint32_t, uint64_t,
    const struct node_id *, const struct node_id *);
uint64_t lease_held(const struct lease_table *, uint32_t, uint64_t);
uint64_t lease_replicated_until(const struct lease_table *, uint32_t, uint64_t);
void lease_view(
    const struct lease_table *, uint32_t, uint64_t, struct lease_view *);
int lease_reset_due(const struct lease_table *, uint64_t);
const char *lease_kind_name(enum lease_kind);

/* lease_json.c: records of the stream */
char *lease_claim_encode(const struct lease_claim *);
char *lease_snapshot_encode(const struct lease_table *, uint64_t);
char *lease_reset_encode(void);

/* lease_decide.c: which claims this node appends now */
#define LEASE_READ_AGE_MAX_MS 10000 /* age of the last read to decide on */
#define LEASE_DISCOVERY_MS 2000	    /* members find each other meanwhile */
#define LEASE_RANK_DELAY_MS 3000    /* head start of each better candidate */
#define LEASE_OWNER_DEAD_MS 15000   /* silence before anyone takes over */
#define LEASE_STANDBY_IDLE_MS \
	60000 /* the same with a standby that does nothing */
#define LEASE_REBALANCE_INTERVAL_MS 10000 /* between two moves by one owner */
#define LEASE_STABLE_MS 30000		  /* age of a member that gets moves */

struct lease_member {
	struct node_id id;
	uint32_t domain;
	uint32_t region;
	int preferred; /* owners are chosen here while there are any such */
	int alive;
	int leaving;
	uint64_t age_ms; /* for how long it has been alive */
};

struct lease_decider {
	uint64_t owner_dead_since_ms[LEASE_PARTS]; /* owner seen dead since; 0:
						      alive */
	uint64_t last_move_ms;
	int has_moved;
	int stopping; /* this node is to hand everything over */
};

/* Whether the standby of a partition has all that it needs to take over. */
typedef int (*lease_ready_fn)(void *, uint32_t);

struct lease_inputs {
	const struct lease_member *members;
	size_t count;
	lease_ready_fn ready; /* NULL: always */
	void *ready_ctx;
	uint64_t now_ms;
};

void lease_decider_init(struct lease_decider *);
size_t lease_decide(struct lease_decider *, const struct lease_table *,
    const struct lease_inputs *, struct lease_claim *, size_t);

#endif

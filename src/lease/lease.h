#ifndef LEASE_LEASE_H
#define LEASE_LEASE_H

#include <stddef.h>
#include <stdint.h>

#include "base/nodeid.h"

/*
 * Leases on partitions.  The order of the records in the log stream "leases"
 * decides which claim succeeds.  docs/LEASES.md shows why no two nodes act for
 * a partition at the same time.
 */
#define LEASE_STREAM "leases"
#define LEASE_PARTS 48
#define LEASE_GROUPS 3
#define LEASE_GROUP_PARTS (LEASE_PARTS / LEASE_GROUPS)

/* Authority after a read or promise is requested. */
#define LEASE_TERM_MS 2000
#define LEASE_MARGIN_MS 200   /* allowance for clock drift */
#define LEASE_HANDOVER_MS 700 /* until the old owner's loans have expired */
/*
 * Limit of an owner's authority by promises after its last read.  A takeover by
 * a node other than the standby waits for it.
 */
#define LEASE_LONG_MS 600000
#define LEASE_RESET_WAIT_MS 30000 /* wait for a snapshot */
#define LEASE_CLAIM_BYTES 512	  /* limit of an encoded claim */

enum lease_kind {
	LEASE_FIRST,	      /* first claim of the partition */
	LEASE_VACANT,	      /* first claim after a reset */
	LEASE_STANDBY_CHANGE, /* the owner names another standby */
	LEASE_HANDOVER,	      /* the owner names another owner */
	LEASE_TAKEOVER,	      /* the standby claims ownership */
	LEASE_SLOW_TAKEOVER,  /* any other claim */
	LEASE_KIND_MAX
};

enum lease_result {
	LEASE_ACCEPTED,
	LEASE_SUPERSEDED, /* an earlier claim replaced the term */
	LEASE_BUFFERED,	  /* waits for a snapshot */
	LEASE_MALFORMED,  /* dropped */
	LEASE_SNAPSHOT,
	LEASE_RESET,
	LEASE_STALE, /* applied already, or a snapshot that is too old */
	LEASE_RESULT_MAX
};

struct lease_claim {
	uint32_t part;
	uint64_t prev_term; /* term that the claim replaces */
	uint64_t term;
	struct node_id claimant; /* node that made the claim */
	struct node_id owner;
	struct node_id standby;
};

/* This node's claims on a partition; retained when the table restarts. */
struct lease_appends {
	uint64_t replaced_term; /* term that the claims replace */
	int in_flight;		/* an append has not ended yet */
	int maybe_written;	/* an ended append may have been written */
	int stopped;		/* by a handover: no longer acts as owner */
};

/* State of one partition: from the log, the standby and other peers. */
struct lease_entry {
	uint64_t term;
	uint64_t tenure; /* term in which the owner became owner */
	struct node_id owner;
	struct node_id standby;
	enum lease_kind kind;
	uint64_t effective_ms; /* the owner may act from then on */
	/* The same for decisions that the standby must record first. */
	uint64_t replicated_effective_ms;
	uint64_t read_ms;	  /* time when this term was read */
	uint64_t promise_sent_ms; /* time when the promise was requested */
	int promised; /* the standby has made a promise for this term */
	int first;    /* tenure began with LEASE_FIRST */
	struct lease_appends appends;
	uint64_t hint_term; /* newest term reported by a peer; 0: none */
	struct node_id hint_owner;
	struct node_id hint_standby;
};

/* A claim that waits for a snapshot. */
struct lease_pending {
	uint64_t offset;
	struct lease_claim claim;
};

struct lease_table {
	struct node_id self;
	uint64_t long_ms;	 /* see LEASE_LONG_MS */
	uint64_t read_from;	 /* offset of the first record read */
	uint64_t next;		 /* offset of the next record to apply */
	int complete;		 /* the state of all partitions is known */
	int has_read_proof;	 /* a read has reached the end of the stream */
	uint64_t read_sent_ms;	 /* of the newest such read */
	uint64_t end_reached_ms; /* first such read while incomplete; 0: none */
	/* Position that the last snapshot describes. */
	uint64_t snapshot_next_offset;
	uint64_t snapshot_read_ms; /* time when it was read */
	int snapshot_seen;
	uint64_t malformed_count;
	uint64_t superseded_count;
	struct lease_entry part[LEASE_PARTS];
	struct lease_pending *pending;
	size_t pending_count;
	size_t pending_cap;
};

/* State of a partition for request threads. */
struct lease_view {
	struct node_id owner;
	struct node_id standby;
	uint64_t term;
	uint64_t tenure;
	uint64_t effective_ms; /* the owner may act from then on */
	/* This node may act as the owner until then; 0: it may not. */
	uint64_t valid_until_ms;
	/* The same for decisions that the standby must record first. */
	uint64_t replicated_until_ms;
	int first; /* tenure began with LEASE_FIRST */
};

/* Looks up a partition by number at a time of clock_ms(). */
typedef void (*lease_lookup_fn)(
    void *, uint32_t, uint64_t, struct lease_view *);

void lease_init(struct lease_table *, const struct node_id *, uint64_t);
void lease_finish(struct lease_table *);
void lease_set_log_start(struct lease_table *, uint64_t);
enum lease_result lease_apply(
    struct lease_table *, const char *, size_t, uint64_t, uint64_t);
void lease_confirm_read(struct lease_table *, uint64_t);
int lease_append_begin(struct lease_table *, const struct lease_claim *);
void lease_append_end(struct lease_table *, const struct lease_claim *, int);
void lease_add_promise(struct lease_table *, uint32_t, uint64_t, uint64_t);
int lease_may_promise(
    const struct lease_table *, uint32_t, uint64_t, const struct node_id *);
void lease_add_hint(struct lease_table *, uint32_t, uint64_t,
    const struct node_id *, const struct node_id *);
uint64_t lease_valid_until(const struct lease_table *, uint32_t, uint64_t);
uint64_t lease_replicated_until(const struct lease_table *, uint32_t, uint64_t);
void lease_view(
    const struct lease_table *, uint32_t, uint64_t, struct lease_view *);
int lease_reset_due(const struct lease_table *, uint64_t);
const char *lease_kind_name(enum lease_kind);

/* lease_json.c: encoding of records */
char *lease_claim_encode(const struct lease_claim *);
char *lease_snapshot_encode(const struct lease_table *, uint64_t);
char *lease_reset_encode(void);

/* lease_decide.c: decisions on claims */
#define LEASE_READ_AGE_MAX_MS 10000 /* no decision on an older read */
#define LEASE_DISCOVERY_MS 2000	    /* for members to find each other */
#define LEASE_RANK_DELAY_MS 3000    /* delay per better candidate */
#define LEASE_OWNER_DEAD_MS 15000   /* takeover if owner and standby are dead */
/* Takeover if the standby is alive but does not take over. */
#define LEASE_STANDBY_IDLE_MS 60000
#define LEASE_REBALANCE_INTERVAL_MS 10000 /* between moves by one owner */
#define LEASE_MEMBER_STABLE_MS 30000	  /* age of a target of moves */

struct lease_member {
	struct node_id id;
	uint32_t domain;
	uint32_t region;
	int preferred; /* owners are placed here if any such is alive */
	int alive;
	int leaving;
	uint64_t age_ms; /* time since it became alive */
};

/* State that decisions keep between calls. */
struct lease_decider {
	/* Time since when there is no live owner; 0: there is one. */
	uint64_t owner_dead_since_ms[LEASE_PARTS];
	uint64_t last_move_ms;
	int has_moved;
	int stopping; /* hand over all partitions, claim none */
};

/* Tells if the standby of a partition has the state to take over. */
typedef int (*lease_ready_fn)(void *, uint32_t);

struct lease_inputs {
	const struct lease_member *members;
	size_t count;
	lease_ready_fn ready; /* NULL: standbys are always ready */
	void *ready_ctx;
	uint64_t now_ms;
};

void lease_decider_init(struct lease_decider *);
size_t lease_decide(struct lease_decider *, const struct lease_table *,
    const struct lease_inputs *, struct lease_claim *, size_t);

#endif

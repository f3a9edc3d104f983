#ifndef FOLLOW_FOLLOW_H
#define FOLLOW_FOLLOW_H

#include <uv.h>

#include "base/find.h"
#include "config/config.h"
#include "follow/schedule.h"
#include "store/store.h"

/*
 * Callbacks of a follower.  Each gets the context that was given to
 * follow_init().
 */
struct follow_ops {
	/* Parses a configuration.  Returns NULL with findings if invalid. */
	struct config *(*decode)(void *, const char *, size_t, struct finds *);
	/* Puts a newer configuration into force and takes ownership of it. */
	void (*apply_config)(void *, struct config *);
	/* Records that the configuration was the newest at a time (ms). */
	void (*record_proof)(void *, uint64_t);
	/* Returns 1 if this node reads the store closely for other nodes. */
	int (*follows_closely)(void *);
	/* Returns what this node needs now.  Called periodically. */
	enum config_need (*config_need)(void *);
	/* Requests a newer configuration from a peer. */
	void (*query_peers)(void *);
	/* Adds a node of the store's list, with its IPv4 host-order address. */
	void (*add_node)(void *, const char *, uint32_t);
	/* Called when the whole list of nodes was read and pruned. */
	void (*nodes_listed)(void *);
	/* Returns 1 if nodes must be removed from the list. */
	int (*must_prune)(void *);
	/* Returns 1 if a listed node must be removed. */
	int (*is_prunable)(void *, const char *);
	/* Called with 1 when the store can't be read, with 0 when it can. */
	void (*store_lost)(void *, int);
};

/* Reads beside the main one. */
#define FOLLOW_SHORT_READS_MAX 2
/* Nodes removed from the list between two reads of it. */
#define FOLLOW_REMOVALS_MAX 16

enum follow_phase {
	FOLLOW_NEWEST, /* read the newest record of each key */
	FOLLOW_READ,   /* wait for later records */
	FOLLOW_PHASE_MAX
};

struct follower;

/* A short read in flight. */
struct follow_short_read {
	struct follower *follower; /* NULL: unused */
	uint64_t wait_ms;
	uint64_t era; /* of its first offset */
};

/*
 * Follows the configuration log of the store.  It also registers this node in
 * the store's list of nodes, reads that list and removes nodes that have gone.
 */
struct follower {
	uv_loop_t *loop;
	const struct store_ops *store;
	void *store_ctx;
	const struct follow_ops *ops;
	void *ctx;
	const struct follow_schedule *schedule;
	uint64_t read_timeout_ms; /* of the next read, beyond its wait time */
	const char *node_name;	  /* key of this node in the list of nodes */
	char address[16];	  /* IPv4 address registered for this node */
	const char *config_key;
	uv_timer_t config_timer;
	uv_timer_t nodes_timer;
	uv_timer_t short_read_timer;
	enum follow_phase phase;
	uint64_t next_offset;  /* first offset of the next read */
	uint64_t read_wait_ms; /* wait time of the current read */
	uint64_t read_sent_ms;
	uint64_t read_era;   /* era of its first offset */
	int idle;	     /* no read; other nodes read closely */
	uint64_t replied_ms; /* last reply of the store */
	uint64_t proved_ms;  /* last proof from the store */
	struct follow_short_read short_reads[FOLLOW_SHORT_READS_MAX];
	uint64_t short_read_due_ms; /* no short read before this time */
	int query_needed;	    /* the last check found a need to read */
	uint64_t version;	    /* in force; 0 if none */
	uint64_t store_era;	    /* in the store's last reply */
	uint64_t config_era;	    /* era of next_offset */
	uint64_t nodes_era;	    /* era of the list of nodes */
	uint64_t stored_version;    /* newest one read in config_era */
	int store_behind;	    /* it lacks the version in force */
	uint32_t config_failures;   /* consecutive */
	uint64_t config_failed_ms;  /* last failure */
	uint32_t nodes_failures;    /* consecutive */
	uint64_t nodes_listed_ms;   /* last time the list was complete */
	uint32_t removal_count;	    /* listed nodes still to be removed */
	char removals[FOLLOW_REMOVALS_MAX][CONFIG_NAME_MAX + 1];
	int registered;		 /* the list has this node and address */
	int registration_needed; /* the list was read and lacks this node */
	int store_lost; /* the last request for configurations failed */
	uint64_t bad_records;
};

void follow_init(struct follower *, uv_loop_t *, const struct store_ops *,
    void *, const struct follow_ops *, void *, const char *, const char *);
void follow_set_schedule(struct follower *, const struct follow_schedule *);
void follow_start(struct follower *, uint32_t);
void follow_offer_config(
    struct follower *, struct config *, const char *, uint64_t);
uint64_t follow_proof_ms(uint64_t, uint64_t, uint64_t);
uint64_t follow_read_timeout_ms(
    const struct follow_schedule *, uint64_t, uint64_t, int);

#endif

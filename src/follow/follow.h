#ifndef FOLLOW_FOLLOW_H
#define FOLLOW_FOLLOW_H

#include <uv.h>

#include "base/find.h"
#include "config/config.h"
#include "store/store.h"

/* What a follower tells its owner; all get the context given there. */
struct follow_ops {
	/* Reads a configuration; NULL with findings if it is invalid. */
	struct config *(*decode)(void *, const char *, size_t, struct finds *);
	/* A newer configuration, which the owner takes over. */
	void (*take)(void *, struct config *);
	/* The configuration in force was the newest at this time (ms). */
	void (*proved)(void *, uint64_t);
	/* Whether this node follows the store closely, for others, too. */
	int (*close)(void *);
	/* Whether there is a reason to ask the store now. */
	int (*doubt)(void *);
	/* The store doesn't answer: another node may have newer ones. */
	void (*ask)(void *);
	/* A node is said to be at an address (IPv4, host order). */
	void (*node)(void *, const char *, uint32_t);
	/* All nodes of the list were named. */
	void (*listed)(void *);
};

enum follow_phase {
	FOLLOW_NEWEST, /* learn the newest of each key */
	FOLLOW_READ,   /* wait for records after it */
	FOLLOW_PHASE_MAX
};

/* Follows the store: configurations, and the nodes at the start. */
struct follow {
	uv_loop_t *loop;
	const struct store_ops *store;
	void *store_ctx;
	const struct follow_ops *ops;
	void *ctx;
	const char *node_name; /* this node's name and address, to be entered */
	char address[16];
	const char *config_key;
	uv_timer_t config_timer;
	uv_timer_t nodes_timer;
	uv_timer_t short_read_timer;
	enum follow_phase phase;
	uint64_t next_offset;	     /* offset to read from */
	uint64_t read_wait_ms;	     /* of the question under way */
	int short_read_pending;	     /* a short question is under way, too */
	uint64_t short_read_wait_ms; /* of that one */
	int query_needed;	     /* there was a reason at the last look */
	uint64_t version;	     /* in force; 0: none */
	uint32_t config_failures;    /* in a row */
	uint32_t nodes_failures;
	int registered;		 /* this node is in the store's list */
	int registration_needed; /* it was not, when that was read */
	int store_lost;
	uint64_t bad_records;
};

void follow_init(struct follow *, uv_loop_t *, const struct store_ops *, void *,
    const struct follow_ops *, void *, const char *, const char *);
void follow_start(struct follow *, uint32_t);
void follow_offer(struct follow *, struct config *, const char *, uint64_t);
uint64_t follow_proof(uint64_t, uint64_t, uint64_t);

#endif

#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "base/find.h"

#define CONFIG_HASH_BYTES 32
#define CONFIG_NAME_MAX 63
#define CONFIG_PREFIX_MAX 255
#define CONFIG_RETRIES_MAX 10
#define CONFIG_DEADLINE_MAX 600000 /* ms */
#define CONFIG_KEY_MAX 256	   /* bytes of a key as shown */
#define CONFIG_ID_HEX 32	   /* digits of a publication's id */
#define CONFIG_HOST_MAX 127
#define CONFIG_PARTS_MAX 8 /* services among which a route is split */
#define CONFIG_NO_PRIORITY UINT32_MAX

enum importance {
	CLASS_CRITICAL,
	CLASS_HIGH,
	CLASS_NORMAL,
	CLASS_LOW,
	CLASS_MAX
};

/* A service that gets a share of a route's requests. */
struct config_part {
	char service[CONFIG_NAME_MAX + 1];
	uint32_t weight;
};

struct config_route {
	char name[CONFIG_NAME_MAX + 1];
	char prefix[CONFIG_PREFIX_MAX + 1];
	char service[CONFIG_NAME_MAX + 1];
	size_t prefix_len;
	unsigned int methods; /* bits of enum config_method; 0 is any */
	int open;
	int idempotent;
	enum importance importance;
	uint32_t deadline_ms;
	uint32_t retries;
	/* Only of routes that are selected by host; else empty or zero. */
	char host[CONFIG_HOST_MAX + 1];
	struct config_part parts[CONFIG_PARTS_MAX];
	uint32_t part_count;
	uint32_t target_ms; /* an answer within this time is in time */
	uint32_t priority;  /* 0 is the most important */
};

struct config_ws {
	char name[CONFIG_NAME_MAX + 1];
	uint64_t hash;
	double rate;
	uint32_t burst;
	uint64_t changed_ms; /* local time at which the limit changed */
	uint32_t priority;   /* goes before a route's; CONFIG_NO_PRIORITY */
};

struct config_key {
	unsigned char hash[CONFIG_HASH_BYTES];
	char id[CONFIG_NAME_MAX + 1];
	uint32_t ws; /* handle into the workspaces */
};

/* Limits on what callers send; 0 for the built-in ones. */
struct config_caps {
	uint32_t head_bytes;
	uint64_t body_bytes;
	uint64_t head_ms;
	uint64_t idle_ms;
};

/* Where a service's servers answer health checks. */
struct config_health {
	char service[CONFIG_NAME_MAX + 1];
	char path[CONFIG_PREFIX_MAX + 1];
};

/* One checked configuration; immutable once it is in force. */
struct config {
	uint64_t version;
	struct config_route *routes; /* longest prefix first */
	size_t route_count;
	struct config_ws *workspaces;
	size_t ws_count;
	struct config_key *keys; /* sorted by hash */
	size_t key_count;
	char *text; /* the configuration as compact JSON */
	struct config_caps caps;
	struct config_health *health;
	size_t health_count;
};

/* How a node gets the newest configuration, or the proof that it has it. */
enum config_need {
	CONFIG_NEED_NOTHING,
	CONFIG_NEED_PEER, /* another node has a newer one */
	CONFIG_NEED_STORE /* the other nodes are of no help */
};

enum config_outcome {
	CONFIG_TAKEN,	  /* the record changed the version in force */
	CONFIG_CONFIRMED, /* a snapshot of the version in force */
	CONFIG_LOST,	  /* made from another version than the one in force */
	CONFIG_OLD,	  /* at or below the version in force */
	CONFIG_BAD,	  /* not a valid record */
	CONFIG_UNSYNCED,  /* records before it are missing: not decidable */
	CONFIG_OUTCOME_MAX
};

/* What a reader of the stream has worked out so far. */
struct config_state {
	struct config *cur; /* NULL until a version is known */
	uint64_t next;	    /* offset to read from */
	uint64_t held_at;   /* offset of the newest record of cur */
	int synced;	    /* no record before next was missed */
};

extern const char *const config_class_names[CLASS_MAX];
extern const char *const config_outcome_names[CONFIG_OUTCOME_MAX];

int config_init(struct config *, const char *, size_t, struct finds *);
void config_finish(struct config *);
struct config *config_new(const char *, size_t, uint64_t, struct finds *);
void config_free(struct config *);

int config_route_match(const struct config *, const char *, const char *);
int config_routes_to(const struct config *, const char *);
void config_sort(struct config *);
int config_route_find(const struct config *, const char *, const char *);
const struct config_key *config_key_find(const struct config *, const char *);
int config_key_live(const struct config *, uint64_t);
uint64_t config_key_tag(const struct config_key *);
int config_ws_find(const struct config *, uint64_t);
uint64_t config_ws_hash(const char *);
uint32_t config_route_id(const char *);
int config_has_route_id(const struct config *, uint32_t);
void config_carry(struct config *, const struct config *, uint64_t);
void config_key_hash(const char *, unsigned char *);

void config_state_init(struct config_state *);
void config_state_finish(struct config_state *);
void config_state_gap(struct config_state *, uint64_t, uint64_t);
enum config_outcome config_state_apply(struct config_state *, uint64_t,
    const char *, size_t, struct config **, struct finds *);
enum config_outcome config_state_offer(struct config_state *, const char *,
    size_t, struct config **, struct finds *);
int config_snapshot_due(const struct config_state *, uint64_t, uint64_t);
char *config_publication(const char *, uint64_t, const char *, const char *);
char *config_snapshot(const struct config *, const char *);

char *config_copy_write(const struct config *, size_t *);
struct config *config_copy_read(const char *, size_t);

#endif

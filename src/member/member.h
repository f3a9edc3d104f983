#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <glib.h>
#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <urcu.h>

#include "base/find.h"
#include "base/nodeid.h"
#include "logsvc/logsvc.h"
#include "rpc/rpc.h"

#define MEMBER_DOMAIN_TEXT 32  /* bytes, with the terminator */
#define MEMBER_SERVICE_TEXT 64 /* bytes, with the terminator */
#define MEMBER_HEALTH_TEXT 128 /* bytes, with the terminator */

/* An announcement expires if it isn't repeated for this long. */
#define MEMBER_ANNOUNCE_TIMEOUT_MS 5000
/* Default age from which a log read no longer proves a configuration. */
#define MEMBER_LOG_READ_MAX_AGE_MS 10000
#define MEMBER_PROBE_PERIOD_MS 200 /* default period of probes */
/* A view of this age no longer counts as evidence of connectivity. */
#define MEMBER_VIEW_STALE_MS 2000

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT,
	MEMBER_STATE_MAX
};

enum member_server_state {
	MEMBER_SERVER_NONE,
	MEMBER_SERVER_UP,
	MEMBER_SERVER_DRAINING,
	MEMBER_SERVER_GONE,
	MEMBER_SERVER_STATE_MAX
};

enum member_event {
	MEMBER_JOINED,	    /* a process became known */
	MEMBER_DIED,	    /* it is dead or was replaced on its port */
	MEMBER_DEPARTED,    /* it announced its shutdown */
	MEMBER_RETURNED,    /* it was considered dead but is up */
	MEMBER_CONFIG_SEEN, /* it has a later configuration than this node */
	MEMBER_EVENT_MAX
};

/* A node's report of its local backend server. */
struct member_server {
	char service[MEMBER_SERVICE_TEXT];
	uint64_t service_hash;
	uint64_t incarnation;
	uint32_t slots;
	uint32_t connections;
	uint32_t load; /* busy slots, in thousandths of all */
	enum member_server_state state;
};

/* One member as this node knows it. */
struct member_info {
	struct node_id id;
	uint64_t epoch; /* start of the process, ms since 1970 */
	uint64_t config_version;
	uint64_t state_since_ms; /* local time when it last went up or down */
	uint32_t seq;		 /* number of its state, orders reports */
	uint32_t rev;		 /* number of its data, e.g. of its server */
	uint16_t peer_port;
	enum member_state state;
	char domain[MEMBER_DOMAIN_TEXT];
	char region[MEMBER_DOMAIN_TEXT];
	struct member_server server;
};

/* A backend server's parsed announcement to its node. */
struct member_announce {
	struct member_server server;
	uint32_t addr; /* host byte order; 0: the node's own */
	uint16_t port;
	char health[MEMBER_HEALTH_TEXT];
};

/* The members that offer one service. */
struct member_service_index {
	uint64_t hash;
	uint32_t first; /* index of the first one in the view's handles */
	uint32_t len;
};

/*
 * An immutable snapshot of the table for readers, protected by RCU.  The
 * members are sorted by address and port.  A handle is an index into the list
 * and is valid for one view only.
 */
struct member_view {
	struct rcu_head rcu;
	uint64_t generation;
	uint64_t built_ms;
	uint64_t log_read_ms; /* latest known log read by any node */
	/* Latest log read at which this node's configuration was current. */
	uint64_t config_current_ms;
	uint64_t log_read_max_age_ms; /* see member_settings */
	uint64_t config_version;      /* latest version known */
	int config_outdated; /* this node's configuration is an earlier one */
	/* Members in any state but MEMBER_LEFT, this node included. */
	uint32_t known;
	uint32_t alive;	   /* of those, the ones that are alive */
	uint32_t probed;   /* probes of the last seconds */
	uint32_t answered; /* of those, the answered ones */
	uint32_t self;	   /* handle of this node */
	uint32_t len;
	struct member_info *members;
	uint32_t services_len;
	struct member_service_index *services;
	uint32_t *handles;
};

struct member_settings {
	struct node_id self;
	uint16_t peer_port;
	const char *domain;
	const char *region;	  /* may be NULL */
	uint32_t probe_period_ms; /* 0: the default */
	/* Age from which a log read is too old to count, 0: the default. */
	uint32_t log_read_max_age_ms;
	const struct node_id *seeds;
	size_t seeds_len;
};

/*
 * Receives an event about a member.  The last argument is the configuration
 * version of MEMBER_CONFIG_SEEN, 0 for other events.
 */
typedef void (*member_event_fn)(
    void *, enum member_event, const struct member_info *, uint64_t);

struct member_table;

/* The membership service of one process. */
struct member_service {
	struct member_table *table;
	struct member_view *view;
	struct rpc_client *client;
	const struct logsvc *log;
	member_event_fn on_event;
	void *on_event_ctx;
	pthread_mutex_t lock;
	pthread_cond_t wake_cond;
	pthread_cond_t stop_cond;
	pthread_t tick_thread;
	pthread_t log_thread;
	GQueue events;
	uint64_t generation;
	uint64_t built_ms;
	int running;
	int log_thread_started;
	int stopping;
};

int member_service_init(struct member_service *, const struct member_settings *,
    struct rpc_server *, struct rpc_client *, const struct logsvc *);
void member_service_set_event_callback(
    struct member_service *, member_event_fn, void *);
int member_service_start(struct member_service *, GError **);
void member_service_finish(struct member_service *);

void member_set_server(struct member_service *, const struct member_server *);
void member_set_load(struct member_service *, uint32_t);
void member_set_config_version(struct member_service *, uint64_t);
void member_set_log_read_time(struct member_service *, uint64_t);
void member_leave(struct member_service *);

const struct member_view *member_view_get(struct member_service *);
const struct member_info *member_view_find(
    const struct member_view *, uint32_t, uint16_t);
const uint32_t *member_view_service(
    const struct member_view *, const char *, uint32_t *);
int member_config_is_fresh(const struct member_view *, uint64_t);

int member_announce_parse(
    const char *, size_t, struct member_announce *, struct finds *);
int member_announce_live(uint64_t, uint64_t);
uint64_t member_service_hash(const char *);

const char *member_state_name(enum member_state);
const char *member_server_state_name(enum member_server_state);
void member_dump(struct member_service *, FILE *);

#endif

#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "admission/admission_core.h"
#include "base/latency.h"
#include "config/config.h"
#include "fleet/fleet.h"
#include "http1/http1.h"
#include "quarantine/quarantine_core.h"
#include "quota/quota.h"
#include "relay/budget.h"
#include "relay/choice.h"
#include "throttle/demand.h"
#include "throttle/profile.h"
#include "throttle/throttle.h"

/*
 * The path of requests on one event loop.  The entry takes requests from
 * callers beside this node and forwards them to the node of a backend server;
 * the exit stands before the server beside this node.
 */

/* Header fields that callers and backend servers speak. */
struct relay_names {
	const char *request_id;	 /* echoed in answers */
	const char *deadline_ms; /* how much longer the caller waits */
	const char *key;	 /* of a workspace */
	const char *workspace;	 /* for the server, instead of the key */
	const char *caller;	 /* service beside which a request began */
	const char *expect;	 /* instance that the request is meant for */
	const char *not_run;	 /* in a refusal by the server */
	const char *signature;	 /* of an answer of the server */
	const char *load;	 /* of the server: running, waiting, slots */
	const char *instance;	 /* of the server, in its health answer */
};

struct relay_settings {
	struct relay_names names;
	char node[FLEET_NAME_BYTES];
	char zone[FLEET_NAME_BYTES];
	char service[FLEET_NAME_BYTES]; /* of the server beside this node */
	struct sockaddr_in entry;	/* for callers beside this node */
	struct sockaddr_in exit;	/* for requests from other nodes */
	struct in_addr advertised; /* address of the exit, told to others */
	struct sockaddr_in server; /* the backend server */
	struct sockaddr_in fleet;  /* for datagrams between nodes */
	uint64_t fresh_ms;  /* keys are refused on an older configuration */
	double quota_share; /* tolerance of limits, in part and constant */
	double quota_constant;
	double retry_ratio;    /* extra arrivals at a service to requests */
	double retry_slack;    /* more of them, over the whole fleet */
	uint64_t leave_ms;     /* callers still come so long after a stop */
	uint64_t take_ms;      /* and root requests are taken so long */
	uint64_t memory_bytes; /* that the process may use */
	uint32_t descriptors;
	char fleet_key[SEAL_KEY_BYTES]; /* that all nodes know; or empty */
	char other_key[SEAL_KEY_BYTES]; /* taken, too, while it is changed */
};

/* An announcement by the backend server beside this node. */
struct relay_announce {
	char id[FLEET_NAME_BYTES];
	char service[FLEET_NAME_BYTES];
	uint64_t born_ms;
	uint64_t sequence;
	uint32_t slots;
	uint64_t cold_ms;
	int draining;
};

enum relay_counter {
	RELAY_REQUESTS,
	RELAY_CALLS,
	RELAY_SERVED,
	RELAY_FAILED,
	RELAY_REFUSED,
	RELAY_TIMEOUTS,
	RELAY_NO_ROUTE,
	RELAY_NO_KEY,
	RELAY_OVER_RATE,
	RELAY_STALE,
	RELAY_RETRIES,
	RELAY_GONE,
	RELAY_EXIT_REQUESTS,
	RELAY_EXIT_SERVED,
	RELAY_EXIT_REFUSED,
	RELAY_EXIT_FAILED,
	RELAY_EXIT_SERVER_REJECTED,
	RELAY_EXIT_UNSEALED,
	RELAY_ANSWERS_SKIPPED,
	RELAY_THROTTLED,
	RELAY_CRASH_REPORTS,
	RELAY_COUNTER_MAX
};

/* The backend server beside this node, as it announced itself. */
struct relay_server {
	char id[FLEET_NAME_BYTES]; /* empty: none */
	char service[FLEET_NAME_BYTES];
	uint64_t born_ms;
	uint64_t sequence;
	uint32_t slots;
	uint64_t cold_until_ms;
	uint64_t down_until_ms; /* it took no connection lately */
	uint32_t connect_failures;
	int leaving;
	int departed;
};

/* What this node knows of the way to another one, from its own requests. */
struct relay_link {
	struct h1_pool *pool;
	uint32_t address;
	uint16_t port;
	uint32_t inflight;
	uint32_t sent_since; /* the load below was told */
	uint32_t running, waiting, slots;
	uint64_t told_ms;
	int calls[FLEET_CALLS_MAX]; /* services that its server calls */
	uint32_t call_count;
	int demands[FLEET_DEMANDS_MAX]; /* services it is asked for */
	uint32_t demand_count;
	float demands_per_s[FLEET_DEMANDS_MAX][THROTTLE_CLASSES];
	struct choice_health health;
	uint64_t avoid_ms;  /* not to be used until then */
	uint32_t avoid_run; /* failures to connect, one after the other */
};

#define RELAY_SUMS 7
#define RELAY_RANKS 64 /* different pairs of priorities */

struct entry_req;
struct exit_req;

#define RELAY_BROKEN_MAX 64 /* broken exchanges with the server, remembered */

/* A request that was at work when its connection broke. */
struct relay_broken_exchange {
	struct quarantine_print fingerprint;
	uint64_t broken_ms; /* 0: none */
};

/* What is left of the retries at one service. */
struct relay_budget {
	char service[FLEET_NAME_BYTES];
	struct budget budget;
};

/* A workspace's tokens at this node, and who waits for them. */
struct relay_limit {
	uint64_t ws;
	struct quota_stock stock;
	struct entry_req *waiting; /* first come first */
	uint32_t waiting_count;
};

/* Takes a configuration that a node, given by its name, had; owns it then. */
typedef void (*relay_config_fn)(void *, struct config *, const char *);

/* A question to another node for its configuration. */
struct relay_copy {
	struct h1_xchg *xchg; /* NULL: none is under way */
	int peer;	      /* handle */
	int valid;	      /* so far */
	uint64_t requested_ms;
	struct h1_text body;
	relay_config_fn done;
	void *ctx;
};

struct relay {
	uv_loop_t *loop;
	struct relay_settings set;
	struct config *config; /* NULL until one is known */
	uint64_t proved_ms; /* the configuration was the newest at this time */
	uint64_t proof_query_id; /* of the question to a reader of the store */
	uint64_t proof_query_ms; /* when it was sent */
	struct relay_copy copy;
	struct fleet_table fleet;
	struct fleet_net net;
	struct seal seal;
	uint64_t stop_ms; /* when it was told to stop */
	uint64_t
	    rejected_logged; /* messages of none of the fleet, as last told */
	uint64_t incarnation;
	uint64_t heartbeat_sequence;
	struct h1_server entry;
	struct h1_server exit;
	struct h1_pool server_pool;
	struct relay_server server;
	uv_timer_t probe_timer;
	uint32_t probes;	  /* of the server's health, since the start */
	struct relay_link *links; /* by the peer's handle, after one for self */
	size_t link_count;
	struct admission_core core;
	struct quarantine_table *suspects;
	uint64_t crash_id; /* the last one of the server */
	struct relay_broken_exchange broken_exchanges[RELAY_BROKEN_MAX];
	uint32_t broken_cursor; /* place of the next one */
	uint32_t solo_running;	/* struck requests that run here */
	struct quota_owner owner;
	struct relay_limit *limits;
	size_t limit_count;
	struct relay_budget *budgets;
	size_t budget_count;
	struct entry_req *entries; /* all open ones */
	struct exit_req *exits;
	uv_timer_t tick;
	int ticking;
	int stopping;
	uint64_t held_bytes; /* of bodies, in all requests */
	struct throttle throttle;
	uv_timer_t throttle_timer;
	double busy; /* decaying share of the slots in use or waited for */
	double shed_per_s; /* decaying rate of arrivals that were refused */
	uint64_t busy_ms;  /* of these two */
	struct profile profile;	     /* of the server beside this node */
	struct choice_health health; /* of that server */
	struct demand demand;	     /* of the callers of this node */
	uint32_t ranks[RELAY_RANKS]; /* of importance, as configured */
	uint32_t rank_count;
	uint64_t counters[RELAY_COUNTER_MAX];
	uint64_t summed[RELAY_SUMS]; /* counters at the last line of sums */
	uint64_t steps;		     /* of the throttle */
	struct latency answered;     /* by the entry, of the server's answers */
	struct latency ran;	     /* at the server beside this node */
};

int relay_init(struct relay *, uv_loop_t *, const struct relay_settings *);
void relay_take_config(struct relay *, struct config *);
void relay_proved(struct relay *, uint64_t);
int relay_reads_store(struct relay *);
uint64_t relay_proof_age_ms(const struct relay *);
int relay_must_read(struct relay *);
void relay_ask_config(struct relay *, relay_config_fn, void *);
int relay_announced(struct relay *, const struct relay_announce *);
void relay_left(struct relay *, const char *, uint64_t);
void relay_stop(struct relay *);
void relay_close(struct relay *);
void relay_finish(struct relay *);
int relay_busy(const struct relay *);
int relay_ready(const struct relay *);
const char *relay_counter_name(enum relay_counter);
void relay_dump(struct relay *, struct h1_text *);

#endif

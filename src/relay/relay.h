#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "admission/admission_core.h"
#include "admission/rate_cap.h"
#include "base/latency.h"
#include "config/config.h"
#include "fleet/fleet.h"
#include "follow/schedule.h"
#include "http1/http1.h"
#include "quarantine/quarantine_core.h"
#include "quota/quota.h"
#include "relay/budget.h"
#include "relay/choice.h"
#include "throttle/demand.h"
#include "throttle/profile.h"
#include "throttle/throttle.h"

/*
 * Forwarding of requests on one event loop.  The entry accepts requests from
 * callers beside this node and forwards them to the node of a backend server.
 * The exit receives requests from other nodes and passes them to the server
 * beside this node.
 */

/* Names of the header fields exchanged with callers and backend servers. */
struct relay_header_names {
	const char *request_id;	 /* copied to responses */
	const char *deadline_ms; /* time that the caller still waits */
	const char *key;	 /* API key of a workspace */
	const char *workspace;	 /* sent to the server in place of the key */
	const char *caller;	 /* service of the caller */
	/* Server instance for which the request is meant. */
	const char *expected_instance;
	/* Marks a rejection: the request did not run. */
	const char *not_executed;
	const char *signature; /* in every successful response of a server */
	const char *load;      /* server's running, waiting, slots */
	const char *instance;  /* server's id in health responses */
	/* Requests a second that the server takes from all nodes together. */
	const char *rate_limit;
	const char *leaving; /* "1" from a server that shuts down */
};

struct relay_settings {
	struct relay_header_names names;
	char node[FLEET_NAME_BYTES];
	char zone[FLEET_NAME_BYTES];
	char service[FLEET_NAME_BYTES]; /* of the server beside this node */
	struct sockaddr_in entry;  /* listens for callers beside this node */
	struct sockaddr_in exit;   /* listens for requests from other nodes */
	struct in_addr advertised; /* address of the exit in heartbeats */
	struct sockaddr_in server; /* the backend server beside this node */
	struct sockaddr_in fleet;  /* datagrams between nodes */
	/* A version is in force within this time after its acknowledgement. */
	uint64_t apply_ms;
	/* API keys are refused when the configuration is older than this. */
	uint64_t fresh_ms;
	/* Excess allowed over a rate limit, as a share and as a constant. */
	double quota_share;
	double quota_constant;
	/* Allowed ratio of retries to requests at a service. */
	double retry_ratio;
	double retry_slack; /* additional retries, summed over the fleet */
	/* After a stop, callers are still accepted this long. */
	uint64_t accept_calls_ms;
	/* After a stop, requests in progress are given up after this time. */
	uint64_t stop_timeout_ms;
	uint64_t memory_bytes; /* memory that the process may use */
	uint32_t descriptors;
	/* Shared by all nodes; empty: none. */
	char fleet_key[SEAL_KEY_TEXT_BYTES];
	/* Also accepted during key rotation; empty: none. */
	char alternate_key[SEAL_KEY_TEXT_BYTES];
};

/* An announcement by the backend server beside this node. */
struct relay_announce {
	char id[FLEET_NAME_BYTES];
	char service[FLEET_NAME_BYTES];
	uint64_t born_ms; /* Unix time; 0: not given */
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
	RELAY_CONFIG_STALE,
	RELAY_RETRIES,
	RELAY_CALLER_DISCONNECTED,
	RELAY_EXIT_REQUESTS,
	RELAY_EXIT_SERVED,
	RELAY_EXIT_REFUSED,
	RELAY_EXIT_FAILED,
	RELAY_EXIT_SERVER_REJECTED,
	RELAY_EXIT_UNSEALED,
	RELAY_ANSWERS_SKIPPED,
	RELAY_THROTTLED,
	RELAY_CRASH_REPORTS,
	RELAY_PROOF_QUERIES,
	RELAY_PROOFS,
	RELAY_PROOFS_OVERDUE,
	RELAY_COUNTER_MAX
};

/* Proof queries to which responses are awaited. */
#define RELAY_PROOF_QUERIES_MAX 8

/* A query for the proof of another node. */
struct relay_proof_query {
	uint64_t id; /* 0: none */
	uint64_t sent_ms;
};

/* Departed servers that a node remembers. */
#define RELAY_DEPARTURES_MAX 8

/*
 * State of the backend server beside this node, from its announcements and
 * from the connections to it.
 */
struct relay_server {
	char id[FLEET_NAME_BYTES]; /* empty: no server is known */
	char service[FLEET_NAME_BYTES];
	uint64_t born_ms;
	uint64_t sequence;
	uint32_t slots;
	uint64_t cold_until_ms;
	/* The server refused a connection: no requests before this time. */
	uint64_t down_until_ms;
	uint32_t connect_failures;
	int leaving;
	int departed;
	/* The last ones that announced their shutdown, this one included. */
	struct fleet_departed_server departures[RELAY_DEPARTURES_MAX];
	uint32_t departure_count; /* since the start */
};

/* What another node has reported, and what this node observed of it. */
struct relay_link {
	struct h1_pool *pool;
	uint32_t address;
	uint16_t port;
	uint32_t inflight;
	/* Requests sent since the load below was reported. */
	uint32_t sent_since_report;
	uint32_t running, waiting, slots;
	uint64_t load_reported_ms;
	int calls[FLEET_CALLS_MAX]; /* services that the node's server calls */
	uint32_t call_count;
	/* Services and routes that the node's callers request. */
	int demands[FLEET_REQUESTED_MAX]; /* services; -1: unknown */
	uint32_t demand_routes[FLEET_REQUESTED_MAX];
	int demand_rows[FLEET_REQUESTED_MAX]; /* rows of the throttle */
	uint32_t demand_count;
	float demands_per_s[FLEET_REQUESTED_MAX][THROTTLE_CLASSES];
	struct choice_health health;
	uint64_t avoid_until_ms; /* the node is not chosen before this time */
	uint32_t connect_failure_run; /* consecutive failures to connect */
};

#define RELAY_LOGGED_COUNTERS 7
#define RELAY_RANKS 64 /* maximum of distinct priority pairs */

struct entry_req;
struct exit_req;

/* Broken exchanges with the server that are remembered. */
#define RELAY_BROKEN_MAX 64

/* A request that was running on the server when its connection broke. */
struct relay_broken_exchange {
	struct quarantine_fingerprint fingerprint;
	uint64_t broken_ms; /* 0: unused slot */
};

/* The remaining retry budget of one service. */
struct relay_budget {
	char service[FLEET_NAME_BYTES];
	struct budget budget;
};

/*
 * Rate limit tokens of a workspace at this node, and the requests that wait
 * for them.
 */
struct relay_limit {
	uint64_t ws;
	struct quota_cache stock;
	struct entry_req *waiting; /* in order of arrival */
	uint32_t waiting_count;
};

/*
 * Receives a configuration, and the name of the node that sent it.  The
 * callee owns the configuration.
 */
typedef void (*relay_config_fn)(void *, struct config *, const char *);

/* A request to another node for its configuration. */
struct relay_copy {
	struct h1_exchange *xchg; /* NULL: no request in progress */
	int peer;		  /* handle of the node asked */
	int valid;		  /* no error so far */
	uint64_t requested_ms;
	struct h1_text body;
	relay_config_fn done;
	void *ctx;
};

/* Queries for a proof since the last one, and the responses to them. */
struct relay_proof_search {
	uint32_t queries;
	uint32_t responses;	  /* also those that proved nothing */
	uint64_t response_age_ms; /* in the last response */
	uint64_t response_version;
	int overdue; /* this node needs the store, as last logged */
};

struct relay {
	uv_loop_t *loop;
	struct relay_settings set;
	struct follow_schedule schedule; /* of queries and reads of the store */
	struct config *config;		 /* NULL until one has been received */
	/* Last time at which the configuration was known to be the newest. */
	uint64_t config_proved_ms;
	struct relay_proof_query proof_queries[RELAY_PROOF_QUERIES_MAX];
	uint32_t proof_query_count; /* since the start */
	uint64_t proof_query_ms;    /* time of the last proof query */
	/* Proof of a newer version than the one in force; 0: none. */
	uint64_t newer_proof_version;
	uint64_t newer_proof_ms;
	struct relay_proof_search proof_search;
	uint64_t readers_logged; /* digest of the readers as last logged */
	/* Since when another node has had a newer version; 0: none has. */
	uint64_t newer_version_ms;
	struct relay_copy copy;
	struct fleet_table fleet;
	struct fleet_net net;
	struct seal seal;
	uint64_t stop_began_ms;	  /* time at which the stop began */
	uint64_t rejected_logged; /* rejected messages as last logged */
	uint64_t incarnation;
	uint64_t heartbeat_sequence;
	struct h1_server entry;
	struct h1_server exit;
	struct h1_pool server_pool;
	struct relay_server server;
	uv_timer_t probe_timer;
	uint32_t probe_count; /* health requests sent to the server */
	uint32_t probe_bytes; /* of the bodies of their responses */
	/* Indexed by peer handle + 1; the first is this node itself. */
	struct relay_link *links;
	size_t link_count;
	struct admission_core core;
	struct rate_cap cap; /* named by the server */
	struct quarantine_table *suspects;
	uint64_t crash_id; /* id of the server's last crash */
	struct relay_broken_exchange broken_exchanges[RELAY_BROKEN_MAX];
	uint32_t broken_cursor; /* index of the next entry to overwrite */
	uint32_t solo_running;	/* running requests that have a crash report */
	struct quota_owner owner;
	struct relay_limit *limits;
	size_t limit_count;
	struct relay_budget *budgets;
	size_t budget_count;
	struct entry_req *entries; /* all open requests */
	struct exit_req *exits;
	uv_timer_t tick;
	int ticking;
	int stopping;
	/* Memory used for buffered bodies of all requests. */
	uint64_t buffered_bytes;
	struct throttle throttle;
	uv_timer_t throttle_timer;
	/*
	 * Decaying average of running and queued requests, relative to the
	 * slots.
	 */
	double utilization;
	double shed_per_s; /* decaying average rate of refused arrivals */
	uint64_t rates_updated_ms;   /* last update of the two averages */
	struct profile_set profiles; /* of the server beside this node */
	uint64_t routes_reported_ms; /* last report of its routes */
	struct choice_health health; /* failure share of that server */
	struct demand demand;	     /* requests of this node's callers */
	/* Distinct priorities of the configuration. */
	uint32_t priorities[RELAY_RANKS];
	uint32_t priority_count;
	int had_quorum; /* as last logged */
	uint64_t counters[RELAY_COUNTER_MAX];
	/* Values of the logged counters at the last summary line. */
	uint64_t counters_logged[RELAY_LOGGED_COUNTERS];
	uint64_t throttle_steps;      /* steps of the throttle */
	struct latency entry_latency; /* response times measured at the entry */
	/* Run times on the server beside this node. */
	struct latency server_latency;
};

int relay_init(struct relay *, uv_loop_t *, const struct relay_settings *);
void relay_apply_config(struct relay *, struct config *);
void relay_apply_settings(struct relay *, const struct relay_settings *);
void relay_config_proved(struct relay *, uint64_t);
int relay_reads_store(struct relay *);
void relay_set_store_lost(struct relay *, int);
uint64_t relay_proof_age_ms(const struct relay *);
enum config_need relay_config_need(struct relay *);
void relay_request_config(struct relay *, relay_config_fn, void *);
int relay_announcement_is_plausible(
    const struct relay *, const struct relay_announce *);
int relay_apply_announcement(struct relay *, const struct relay_announce *);
void relay_server_departed(struct relay *, const char *, uint64_t);
void relay_stop(struct relay *);
void relay_fail_requests(struct relay *);
void relay_close(struct relay *);
void relay_finish(struct relay *);
int relay_has_requests(const struct relay *);
int relay_ready(const struct relay *);
const char *relay_counter_name(enum relay_counter);
void relay_dump(struct relay *, struct h1_text *);
void relay_write_metrics(const struct relay *, struct h1_text *);

#endif

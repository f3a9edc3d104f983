#ifndef RELAY_RELAY_INT_H
#define RELAY_RELAY_INT_H

#include "relay/retry_after.h"
#include "relay/relay.h"

#define RELAY_TRIED_MAX 6
#define RELAY_ID_BYTES 160 /* length limit of a request id in log lines */
#define RELAY_NO_LINK (-3) /* handle: no node */
/* Header fields between the entry and the exit. */
#define RELAY_HOP "Cyclamen-Hop"
#define RELAY_EXIT "Cyclamen-Exit"
#define RELAY_SEAL "Cyclamen-Seal"
#define RELAY_HOP_BYTES 336 /* three names of 63 bytes, and numbers */

/* The exit's verdict on a request. */
enum relay_verdict {
	VERDICT_RAN,	     /* the server responded */
	VERDICT_UNKNOWN,     /* the request may have run */
	VERDICT_REJECTED,    /* the server rejected it; it did not run */
	VERDICT_OVERLOADED,  /* the exit refused it because of overload */
	VERDICT_UNAVAILABLE, /* the server is absent, leaving or down */
	VERDICT_SUSPECT,     /* quarantined: servers crashed while running it */
	VERDICT_MAX
};

extern const char *const relay_verdict_names[VERDICT_MAX];

/* Why the entry ended a request without a response from a server. */
enum entry_fail {
	ENTRY_FAIL_NO_CONFIG,
	ENTRY_FAIL_NO_ROUTE,
	ENTRY_FAIL_NO_KEY,
	ENTRY_FAIL_STALE_CONFIG,
	ENTRY_FAIL_OVER_RATE,
	ENTRY_FAIL_NO_LIMIT_OWNER,
	ENTRY_FAIL_THROTTLED,
	ENTRY_FAIL_NO_SERVER,
	ENTRY_FAIL_OVERLOAD,
	ENTRY_FAIL_TIMEOUT_UNSENT,
	ENTRY_FAIL_TIMEOUT,
	ENTRY_FAIL_BROKEN_EXCHANGE,
	ENTRY_FAIL_SUSPECT,
	ENTRY_FAIL_STOPPING,
	ENTRY_FAIL_STOPPED,
	ENTRY_FAIL_MAX
};

enum entry_state {
	ENTRY_WAITING_TOKEN, /* waits for a rate limit token of its workspace */
	ENTRY_ATTEMPTING,    /* an attempt is in progress */
	/* The server's response is being passed to the caller. */
	ENTRY_ANSWERING,
	ENTRY_DONE
};

/* A caller's request at the entry. */
struct entry_req {
	struct relay *relay;
	struct h1_conn *conn;
	struct entry_req *next, *prev;
	struct entry_req *next_waiting;
	enum entry_state state;
	char id[RELAY_ID_BYTES];
	char service[FLEET_NAME_BYTES];	   /* service that runs the request */
	uint32_t route;			   /* id of its route */
	char ws_name[CONFIG_NAME_MAX + 1]; /* empty: no workspace */
	uint64_t ws_hash;
	struct quota_limit limit;
	uint64_t started_ms;
	uint64_t deadline_ms;  /* deadline of the caller */
	uint64_t answer_by_ms; /* a response is sent by this time */
	/* Latency target of a response; 0: none. */
	uint64_t target_ms;
	uint32_t class; /* class of the root request */
	uint32_t depth; /* depth in the call chain; 0: a root request */
	/* Same for a root request and all calls made for it. */
	uint64_t root_hash;
	int parent_known;      /* 1: a call made by a request that runs here */
	uint32_t parent_route; /* route id of that request */
	/* A call that the server made for this request failed. */
	int call_failed;
	uint32_t arrivals; /* attempts that reached a server */
	uint32_t arrivals_max;
	uint32_t attempt_count; /* nodes tried */
	int idempotent;
	int has_token;
	int may_have_run;
	int tried_nodes[RELAY_TRIED_MAX];
	int attempt_node; /* handle of the node of the current attempt */
	struct h1_exchange *xchg;
	/* Body as read so far, buffered for the current and later attempts. */
	char *body;
	size_t body_len, body_cap;
	uint64_t content_length; /* length declared in the head */
	int body_complete;
	int body_discarded; /* too long to be buffered for another attempt */
	unsigned int status;
	struct h1_text fields; /* header fields of the response */
	struct h1_text answer; /* response body, buffered until it is sent */
	uint64_t answer_length;
	int answer_started; /* the response head has been sent */
	enum relay_verdict verdict;
};

/* A request from another node at the exit. */
struct exit_req {
	struct relay *relay;
	struct h1_conn *conn;
	struct exit_req *next, *prev;
	struct admission_waiter waiter;
	int waiting; /* queued for a slot */
	int running;
	struct h1_exchange *xchg;
	char id[RELAY_ID_BYTES];
	/* Untruncated id in the request head; NULL: none. */
	const char *full_id;
	size_t full_id_len;
	uint32_t class; /* class of the root request */
	uint32_t depth;
	uint64_t root_hash;
	uint32_t route; /* id of the route; 0: unknown */
	/* A call that the server made for this request failed. */
	int call_failed;
	char caller[FLEET_NAME_BYTES];
	char ws_name[CONFIG_NAME_MAX + 1];
	uint64_t deadline_ms; /* in this node's time */
	uint64_t sent_ms;
	int idempotent;
	struct h1_text body; /* body buffered until a slot is free */
	int body_complete;
	uint64_t body_length;
	int streaming;
	unsigned int status;
	uint64_t answer_length;
	uint64_t ignored_bytes; /* of a body that isn't passed on */
	enum relay_verdict verdict;
	struct h1_text fields; /* header fields of the response */
	struct h1_text answer; /* response body, buffered until it is sent */
	struct quarantine_fingerprint fingerprint;
	/* Has a crash report: at most one such request runs at a time. */
	int solo;
};

uint64_t relay_now(const struct relay *);
void relay_copy_request_id(
    const struct relay *, const struct h1_head *, char *);
uint64_t relay_random(void);
int relay_read_word(char **, char *, size_t);
int relay_read_number(char **, uint64_t *);
void relay_tick_start(struct relay *);
struct relay_link *relay_link(struct relay *, int);
struct budget *relay_budget(struct relay *, const char *);
uint64_t relay_retry_after_ms(enum retry_after_reason, uint64_t);
uint32_t relay_server_slots(const struct relay *);
void relay_server_leaves(struct relay *, const char *);
int relay_apply_exit_header(struct relay *, int, char *);

/* load.c */
void load_init(struct relay *);
void load_fill_heartbeat(struct relay *, struct fleet_heartbeat *);
void load_on_heartbeat(void *, int, const struct fleet_heartbeat *);
void load_on_report(void *, int, const struct fleet_load *);
void load_update(struct relay *);
void load_record_refusal(struct relay *);
int load_admit_root(struct relay *, const char *, uint32_t, uint32_t);
void load_record_over_rate(struct relay *, const char *, uint32_t, uint32_t);
void load_forget_routes(struct relay *);

/* load_routes.c */
void load_report_routes(struct relay *);
void load_add_own_routes(struct relay *, int);
void load_on_route_profile(void *, const struct fleet_route_profile *);
void load_collect_ranks(struct relay *);
uint32_t load_find_class(const struct relay *, uint32_t, uint32_t);

/* entry.c */
extern const struct h1_server_ops entry_ops;
void entry_finish(struct entry_req *);
void entry_fail(struct entry_req *, enum entry_fail, uint64_t);
void entry_fail_overdue(struct relay *);
void entry_record_call_result(struct entry_req *, int, int);

/* entry_send.c */
void entry_send_attempt(struct entry_req *);
void entry_forward_body(struct entry_req *, const char *, size_t);
void entry_cancel_attempt(struct entry_req *);
void entry_close_idle(struct entry_req *);
int entry_choose_node(struct entry_req *);

/* entry_limit.c */
int entry_acquire_token(struct entry_req *);
void entry_leave_token_queue(struct entry_req *);
void entry_retry_token_requests(struct relay *);
void entry_return_token(struct entry_req *);
void relay_on_token_request(
    void *, const struct fleet_token_request *, const struct sockaddr_in *);
void relay_on_token_grant(void *, const struct fleet_token_grant *);
void relay_on_bucket_transfer(void *, const struct fleet_bucket *);
void relay_transfer_buckets(struct relay *);

/* probe.c */
void probe_init(struct relay *);

/* proof.c */
void proof_set_schedule(struct relay *);
void proof_config_applied(struct relay *);
void relay_on_proof_query(
    void *, const struct fleet_proof_query *, const struct sockaddr_in *);
void relay_on_proof(void *, const struct fleet_proof *);

/* sealed.c */
void sealed_request_parts(const struct relay *, struct h1_conn *, const char *,
    struct seal_request *);
int sealed_verify(struct relay *, struct h1_conn *);
void sealed_log_rejected(struct relay *);

/* copy.c */
int copy_is_request(const struct h1_conn *);
void copy_send(struct relay *, struct h1_conn *);
void copy_cancel(struct relay *);
void copy_announce_version(struct relay *);

/* exit.c */
extern const struct h1_server_ops exit_ops;
struct exit_req *exit_parent(const struct relay *, const char *, size_t);
void exit_tick(struct relay *);
void exit_run_queued(struct relay *);

/* exit_send.c */
void exit_send(struct exit_req *);
void exit_refuse(struct exit_req *, enum relay_verdict, const char *);
void exit_free(struct exit_req *);
void exit_complete(struct exit_req *, enum admission_outcome);

/* suspect.c */
void suspect_fingerprint(struct exit_req *);
void suspect_note_broken(struct exit_req *);
void suspect_init(struct relay *);
void suspect_server_down(struct relay *, int);
void suspect_note_served(struct exit_req *);
enum quarantine_state suspect_state(const struct exit_req *);
void relay_on_crash_report(void *, const struct fleet_crash_report *);

/* server.c */
uint64_t relay_server_started_ms(const struct relay_server *);
void relay_on_departure_report(void *, const struct fleet_departure *);

#endif

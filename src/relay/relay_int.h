#ifndef RELAY_RELAY_INT_H
#define RELAY_RELAY_INT_H

#include "relay/comeback.h"
#include "relay/relay.h"

#define RELAY_TRIED_MAX 6
#define RELAY_ID_BYTES 160 /* length limit of a request id in log lines */
/* Header fields between the entry and the exit. */
#define RELAY_NO_LINK (-3)
#define RELAY_HOP "Cyclamen-Hop"
#define RELAY_EXIT "Cyclamen-Exit"
#define RELAY_SEAL "Cyclamen-Seal"
#define RELAY_HOP_BYTES 320 /* three names of 63 bytes, and numbers */

/* The exit's verdict on a request. */
enum relay_verdict {
	VERDICT_RAN,	 /* the server responded */
	VERDICT_UNKNOWN, /* the request may have run */
	VERDICT_TURNED,	 /* the server rejected it; it did not run */
	VERDICT_BUSY,	 /* the exit refused it because of overload */
	VERDICT_AWAY,	 /* the server is absent, leaving or down */
	VERDICT_SUSPECT, /* quarantined: servers crashed while running it */
	VERDICT_MAX
};

extern const char *const relay_verdict_names[VERDICT_MAX];

/* Why the entry ended a request without a response from a server. */
enum entry_end {
	END_NO_CONFIG,
	END_NO_ROUTE,
	END_NO_KEY,
	END_STALE,
	END_OVER_RATE,
	END_NO_OWNER,
	END_THROTTLED,
	END_NO_SERVER,
	END_OVERLOAD,
	END_TIMEOUT_UNSENT,
	END_TIMEOUT,
	END_BROKEN,
	END_SUSPECT,
	END_LEAVING,
	END_MAX
};

enum entry_state {
	ENTRY_TOKEN,  /* waits for a rate limit token of its workspace */
	ENTRY_SENT,   /* an attempt is in progress */
	ENTRY_ANSWER, /* the server's response is being passed to the caller */
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
	char ws_name[CONFIG_NAME_MAX + 1]; /* empty: no workspace */
	uint64_t ws;
	struct quota_limit limit;
	uint64_t began_ms;
	uint64_t deadline_ms; /* deadline of the caller */
	uint64_t end_ms;      /* a response is sent by this time */
	/* Responses within this time are in time; 0: no target. */
	uint64_t target_ms;
	uint32_t class; /* class of the root request */
	uint32_t depth; /* depth in the call chain; 0: a root request */
	/* Same for a root request and all calls made for it. */
	uint64_t root_hash;
	int chained; /* a call made by a request that runs here */
	/* A call that the server made for this request failed. */
	int call_failed;
	uint32_t arrivals; /* attempts that reached a server */
	uint32_t arrivals_max;
	uint32_t tries; /* nodes tried */
	int idempotent;
	int took_token;
	int maybe_run;
	int tried[RELAY_TRIED_MAX];
	int link; /* handle of the node of the current attempt */
	struct h1_xchg *xchg;
	/* As read so far; kept for the current and later attempts. */
	char *body;
	size_t body_len, body_cap;
	uint64_t body_length; /* length declared in the head */
	int body_in;
	int body_lost; /* too long to be buffered for another attempt */
	unsigned int status;
	struct h1_text fields; /* header fields of the response */
	struct h1_text answer; /* response body, buffered until it is sent */
	uint64_t answer_length;
	int passing; /* the response head has been sent */
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
	struct h1_xchg *xchg;
	char id[RELAY_ID_BYTES];
	/* Untruncated id in the request head; NULL: none. */
	const char *full_id;
	size_t full_id_len;
	uint32_t class; /* class of the root request */
	uint32_t depth;
	uint64_t root_hash;
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
	enum relay_verdict verdict;
	struct h1_text fields; /* header fields of the response */
	struct h1_text answer; /* response body, buffered until it is sent */
	struct quarantine_print fingerprint;
	/* Has a crash report: at most one such request runs at a time. */
	int solo;
};

uint64_t relay_now(const struct relay *);
void relay_id(const struct relay *, const struct h1_head *, char *);
uint64_t relay_random(void);
int relay_read_word(char **, char *, size_t);
int relay_read_number(char **, uint64_t *);
void relay_tick_start(struct relay *);
struct relay_link *relay_link(struct relay *, int);
struct budget *relay_budget(struct relay *, const char *);
uint64_t relay_comeback(enum comeback, uint64_t);
int relay_told(struct relay *, int, char *);

/* load.c */
void load_init(struct relay *);
void load_fill(struct relay *, struct fleet_beat *);
void load_heard(void *, int, const struct fleet_beat *);
void load_told(void *, int, const struct fleet_load *);
void load_tick(struct relay *);
void load_shed(struct relay *);
int load_admits(struct relay *, const char *, uint32_t);
void load_over_rate(struct relay *, const char *, uint32_t);
void load_ranks(struct relay *);
uint32_t load_class(const struct relay *, uint32_t, uint32_t);

/* entry.c */
extern const struct h1_server_ops entry_ops;
void entry_finish(struct entry_req *);
void entry_end(struct entry_req *, enum entry_end, uint64_t);
void entry_tick(struct relay *);
void entry_call_ended(struct entry_req *, int, int);

/* entry_send.c */
void entry_start(struct entry_req *);
void entry_forward_body(struct entry_req *, const char *, size_t);
void entry_stop_attempt(struct entry_req *);
void entry_silent(struct entry_req *);
int entry_pick(struct entry_req *);

/* entry_limit.c */
int entry_limit(struct entry_req *);
void entry_limit_leave(struct entry_req *);
void entry_limit_tick(struct relay *);
void entry_token_back(struct entry_req *);
void relay_on_ask(void *, const struct fleet_ask *, const struct sockaddr_in *);
void relay_on_give(void *, const struct fleet_give *);
void relay_on_bucket(void *, const struct fleet_bucket *);
void relay_hand_over(struct relay *);

/* probe.c */
void probe_init(struct relay *);

/* proof.c */
void relay_on_proof_query(
    void *, const struct fleet_doubt *, const struct sockaddr_in *);
void relay_on_proof(void *, const struct fleet_proof *);

/* sealed.c */
void sealed_parts(const struct relay *, struct h1_conn *, const char *,
    struct seal_request *);
int sealed_verify(struct relay *, struct h1_conn *);
void sealed_log_rejected(struct relay *);

/* copy.c */
int copy_is_request(const struct h1_conn *);
void copy_send(struct relay *, struct h1_conn *);
void copy_cancel(struct relay *);

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
void relay_on_crash_report(void *, const struct fleet_strike *);

#endif

#ifndef MEMBER_MEMBER_INT_H
#define MEMBER_MEMBER_INT_H

#include <glib.h>

#include "member/member.h"
#include "member/member_xdr.h"

#define MEMBER_NO_HANDLE UINT32_MAX

#define MEMBER_DIRECT_TIMEOUT_MS 250 /* wait before indirect probes */
#define MEMBER_PROBE_TIMEOUT_MS 500
/* A suspicion lasts this long times log2 of the live members plus one. */
#define MEMBER_SUSPECT_UNIT_MS 125
#define MEMBER_SUSPECT_MIN_MS 400
#define MEMBER_INDIRECT_PROBES 3 /* members asked for an indirect probe */
#define MEMBER_PAUSE_MIN_MS 100	 /* a longer gap between ticks is a pause */

/* A change is sent this many times log2 of the live members plus one. */
#define MEMBER_RETRANSMIT_FACTOR 3
#define MEMBER_RETRANSMIT_FEW 3 /* times that minor changes are sent */
/* With more changes in the queue, each one is sent fewer times. */
#define MEMBER_QUEUE_LONG_LEN 64
#define MEMBER_GOSSIP_PERIOD_MS 100
#define MEMBER_GOSSIP_FANOUT 2
#define MEMBER_LEAVE_FANOUT 24

#define MEMBER_SYNC_PERIOD_MS 30000
#define MEMBER_SYNC_MANY_DELAY_MS 250	   /* after many changes */
#define MEMBER_SYNC_SOME_DELAY_MS 2000	   /* after some changes */
#define MEMBER_SYNC_STARTUP_PERIOD_MS 1000 /* during startup */
#define MEMBER_STARTUP_MS 10000		   /* duration of the startup */
#define MEMBER_SYNC_MANY_CHANGES 16	   /* this many changes are many */
#define MEMBER_SYNC_PAGES_MAX 16	   /* at most, in reply to one sync */
#define MEMBER_BUDGET_BYTES (32 * 1024)
#define MEMBER_BUDGET_STARTUP_BYTES (1024 * 1024) /* for pages, at startup */
#define MEMBER_BUDGET_STARTUP_MS 60000
#define MEMBER_BUDGET_BYTES_PER_S 4000

#define MEMBER_REPROBE_PERIOD_MS 1000 /* period of probes of dead members */
#define MEMBER_DEAD_RETENTION_MS (2 * 3600 * 1000)
#define MEMBER_LEFT_RETENTION_MS (10 * 60 * 1000)

#define MEMBER_MESSAGE_BYTES 1150    /* limit of a message body */
#define MEMBER_MESSAGE_LOW_BYTES 450 /* the same, once the budget is spent */
#define MEMBER_COUNT_MAX 8192	     /* members of a table */
#define MEMBER_PROBES_MAX 64
#define MEMBER_RELAYS_MAX 64
#define MEMBER_VERIFY_MAX 16
#define MEMBER_VERIFY_PERIOD_MS 100 /* period of probes of reported deaths */
#define MEMBER_SEEDS_MAX 64
#define MEMBER_SEED_TRIES 8
#define MEMBER_SEED_DELAY_MS 200 /* retry delay for each try so far */
#define MEMBER_PROBE_WINDOW_S 10 /* time that probe counts cover */
/* The probe counts of this time tell whether this node is isolated. */
#define MEMBER_ISOLATION_WINDOW_S 2
#define MEMBER_TICK_MS 25

/* Callbacks of a table. */
struct member_callbacks {
	void (*send)(void *, uint32_t, uint16_t, const struct member_message *);
	uint64_t (*rand)(void *);
	member_event_fn on_event;
	void *ctx;
};

/* How many times a change is sent. */
enum member_spread {
	MEMBER_SPREAD_FEW,  /* most nodes know it or will detect it */
	MEMBER_SPREAD_SOME, /* a comparison of tables would find it too */
	MEMBER_SPREAD_ALL,
	MEMBER_SPREAD_URGENT, /* like ALL, also when the queue is long */
	MEMBER_SPREAD_MAX
};

/* A member in the table. */
struct member_slot {
	struct member_info info;
	uint64_t deadline_ms; /* a suspect is declared dead then */
	/* Next time to notify a suspect that this node accused. */
	uint64_t next_accuse_ms;
	/*
	 * Times that the queued change was sent.  Starts above 0 for a change
	 * that needs fewer than member_retransmit_limit().
	 */
	uint32_t times_sent;
	/* Number of the last message that contains this member. */
	uint32_t last_message_number;
	int used;
	int accused_by_self; /* this node made it a suspect */
	int queued;	     /* has a change in the queue */
	int full_entry;	     /* the change needs an entry, not only a status */
};

/* An unanswered probe. */
struct member_probe {
	uint64_t sent_ms;
	uint64_t timeout_start_ms; /* sent_ms plus pauses of this process */
	uint64_t incarnation;
	uint32_t nonce;
	uint32_t handle;
	int indirect; /* indirect probes were requested or aren't wanted */
	int used;
};

/* A probe made on behalf of another member. */
struct member_relay {
	struct node_id origin; /* that member; address 0: unused */
	uint32_t nonce;	       /* of the probe to the target */
	uint32_t origin_nonce; /* of the origin's probe */
};

/* An address that may belong to a member. */
struct member_seed {
	uint64_t next_ms;
	uint32_t addr;
	uint16_t port;
	unsigned int tries;
	int fixed; /* from the settings, retried without limit */
};

/* The probe counts of one second. */
struct member_probe_counts {
	uint64_t second;
	uint32_t probed;
	uint32_t answered;
};

/* What this node knows of the members, and the state of the protocol. */
struct member_table {
	struct member_callbacks callbacks;
	struct member_slot *slots;
	uint32_t slots_len;
	uint32_t slots_cap;
	uint32_t self;
	uint32_t count; /* slots in use */
	uint32_t alive; /* in state alive, this node included */
	GHashTable *by_addr;
	uint32_t *probe_order; /* handles in the order of probes */
	uint32_t probe_order_len;
	uint32_t probe_order_pos;
	uint32_t *queue; /* handles of members with changes to send */
	uint32_t queue_len;
	uint32_t refresh_pos; /* last entry that was sent without a change */
	struct member_probe probes[MEMBER_PROBES_MAX];
	/* Handles of live members that were reported dead. */
	uint32_t reported_dead[MEMBER_VERIFY_MAX];
	uint32_t reported_dead_len;
	struct member_relay relays[MEMBER_RELAYS_MAX];
	uint32_t relay_pos;
	struct member_seed seeds[MEMBER_SEEDS_MAX];
	uint32_t seeds_len;
	struct member_probe_counts probe_counts[MEMBER_PROBE_WINDOW_S];
	uint32_t next_nonce;
	uint32_t message_number; /* number of the last message */
	uint32_t sync_changes;	 /* made by pages since the last sync */
	uint32_t probe_period_ms;
	uint64_t log_read_max_age_ms; /* see member_settings */
	uint64_t started_ms;
	uint64_t last_tick_ms;
	uint64_t next_probe_ms;
	uint64_t next_gossip_ms;
	uint64_t next_sync_ms;
	uint64_t last_sync_ms;
	uint64_t next_reprobe_ms;
	uint64_t next_verify_ms;
	uint64_t next_expiry_ms;
	uint64_t budget_refilled_ms; /* time of the last refill */
	int64_t gossip_budget;	     /* bytes for entries in messages */
	int64_t page_budget;	     /* bytes for pages of the table */
	uint64_t log_read_ms;	     /* latest known log read by any node */
	/* Latest log read at which this node's configuration was current. */
	uint64_t config_current_ms;
	uint64_t config_version;	/* latest version known */
	uint64_t next_config_report_ms; /* of that version */
	uint32_t config_addr;		/* of a node that has it */
	uint16_t config_peer_port;
	int merging_page; /* a page of another node's table is being merged */
	int dirty;	  /* the view is out of date */
	int leaving;	  /* this node has announced its shutdown */
};

void member_table_init(struct member_table *, const struct member_settings *,
    const struct member_callbacks *, uint64_t, uint64_t);
void member_table_finish(struct member_table *);
void member_table_add_seed(struct member_table *, uint32_t, uint16_t, int);
void member_table_receive(
    struct member_table *, uint64_t, const struct member_message *);
void member_table_tick(struct member_table *, uint64_t);
void member_table_fail_probes(
    struct member_table *, uint64_t, uint32_t, uint16_t);
void member_table_leave(struct member_table *, uint64_t);
void member_table_publish_self(struct member_table *, uint64_t);

struct member_slot *member_add_slot(struct member_table *, uint32_t, uint16_t);
void member_insert_probe_target(struct member_table *, uint32_t);
int member_is_up(enum member_state);
void member_report_event(
    struct member_table *, enum member_event, const struct member_slot *);
void member_copy_text(char *, size_t, const char *);
struct member_slot *member_table_find(
    struct member_table *, uint32_t, uint16_t);
uint32_t member_slot_handle(
    const struct member_table *, const struct member_slot *);
void member_merge_entry(
    struct member_table *, uint64_t, const struct member_entry *, int);
void member_merge_status(
    struct member_table *, uint64_t, const struct member_status *);
void member_set_state(struct member_table *, uint64_t, struct member_slot *,
    enum member_state, uint32_t);
uint64_t member_suspicion_timeout_ms(const struct member_table *);
uint32_t member_retransmit_limit(const struct member_table *);
int member_server_differs(
    const struct member_server *, const struct member_server *);
void member_remove_expired(struct member_table *, uint64_t);
uint32_t member_random_alive(struct member_table *);

void member_queue_change(
    struct member_table *, struct member_slot *, enum member_spread);
void member_unqueue_change(struct member_table *, uint32_t);
void member_send_changes(struct member_table *, uint64_t, member_kind,
    const struct node_id *, uint32_t);
void member_send_bare_ping(
    struct member_table *, uint64_t, const struct node_id *, uint32_t);
void member_send_ping_req(struct member_table *, uint64_t,
    const struct node_id *, const struct node_id *, uint32_t);
void member_send_digests(
    struct member_table *, uint64_t, member_kind, const struct node_id *);
void member_answer_sync(
    struct member_table *, uint64_t, const struct member_message *);

void member_record_log_read(struct member_table *, uint64_t);
void member_report_later_config(struct member_table *, uint64_t);
void member_count_probe(struct member_table *, uint64_t, int);
void member_sum_probes(
    const struct member_table *, uint64_t, uint32_t, uint32_t *, uint32_t *);

struct member_view *member_view_build(
    const struct member_table *, uint64_t, uint64_t);
void member_view_free(struct member_view *);

/* A member's record in the log, by which others find its address. */
struct member_hello {
	struct node_id id;
	uint16_t peer_port;
	char domain[MEMBER_DOMAIN_TEXT];
};

char *member_hello_format(const struct member_info *);
int member_hello_parse(const char *, size_t, struct member_hello *);
void *member_log_thread(void *);

#endif

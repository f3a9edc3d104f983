#ifndef MEMBER_MEMBER_INT_H
#define MEMBER_MEMBER_INT_H

#include <glib.h>

#include "member/member.h"
#include "member/member_xdr.h"

#define MEMBER_NONE UINT32_MAX /* no handle */

#define MEMBER_DIRECT_MS 250 /* until others are asked to probe */
#define MEMBER_PROBE_FAIL_MS 500
#define MEMBER_SUSPECT_UNIT_MS 125 /* times log2 of the members */
#define MEMBER_SUSPECT_MIN_MS 400
#define MEMBER_HELPERS 3    /* peers asked to probe */
#define MEMBER_STALL_MS 100 /* between ticks: this process was paused */

#define MEMBER_TELL_FACTOR 3 /* times log2 of the members */
#define MEMBER_FEW_TELLS 3
#define MEMBER_QUEUE_LONG 64 /* changes; each is told less often then */
#define MEMBER_GOSSIP_MS 100
#define MEMBER_GOSSIP_FANOUT 2
#define MEMBER_LEAVE_FANOUT 24

#define MEMBER_SYNC_MS 30000
#define MEMBER_SYNC_AGAIN_MS 250  /* after one that brought much news */
#define MEMBER_SYNC_SOON_MS 2000  /* after one that brought any */
#define MEMBER_SYNC_START_MS 1000 /* soon after the start */
#define MEMBER_START_MS 10000
#define MEMBER_SYNC_NEWS 16  /* changes that are much news */
#define MEMBER_SYNC_PAGES 16 /* messages that answer one sync */
#define MEMBER_BUDGET_BYTES (32 * 1024)
#define MEMBER_BUDGET_START (1024 * 1024) /* of pages, at the start */
#define MEMBER_BUDGET_START_MS 60000
#define MEMBER_BUDGET_RATE 4000 /* bytes a second */

#define MEMBER_REPROBE_MS 1000 /* between probes of dead members */
#define MEMBER_DEAD_KEEP_MS (2 * 3600 * 1000)
#define MEMBER_LEFT_KEEP_MS (10 * 60 * 1000)

#define MEMBER_MESSAGE_BYTES 1150 /* of a full message's body */
#define MEMBER_MESSAGE_LOW 450	  /* once the budget is spent */
#define MEMBER_COUNT_MAX 8192	  /* members of a table */
#define MEMBER_PROBES_MAX 64
#define MEMBER_RELAYS_MAX 64
#define MEMBER_VERIFY_MAX 16
#define MEMBER_VERIFY_MS 100 /* between probes of those reported dead */
#define MEMBER_SEEDS_MAX 64
#define MEMBER_SEED_TRIES 8
#define MEMBER_SEED_MS 200 /* times the tries so far */
#define MEMBER_WINDOW_S 10
#define MEMBER_HEARING_S 2 /* of probes that tell how well this node hears */
#define MEMBER_TICK_MS 25

/* What the table needs from outside: sending, chance, and who to tell. */
struct member_port {
	void (*send)(void *, uint32_t, uint16_t, const struct member_message *);
	uint64_t (*rand)(void *);
	member_event_fn event;
	void *ctx;
};

/* How often a change is told. */
enum member_tell {
	MEMBER_TELL_FEW,  /* most know it, or will find out by themselves */
	MEMBER_TELL_SOME, /* comparing tables would find it too */
	MEMBER_TELL_ALL,
	MEMBER_TELL_URGENT, /* also when there is much to tell */
	MEMBER_TELL_MAX
};

struct member_slot {
	struct member_info info;
	uint64_t deadline_ms; /* a suspect is dead from then on */
	uint64_t accuse_ms;   /* when to tell a suspect again that it is one */
	uint32_t told;
	uint32_t stamp; /* the last message that it was put into */
	int used;
	int accused; /* by this node */
	int queued;
	int full; /* what is to be told is more than a state */
};

/* A probe without its answer yet. */
struct member_probe {
	uint64_t sent_ms;
	uint64_t since_ms; /* what its timeouts count from */
	uint64_t incarnation;
	uint32_t nonce;
	uint32_t handle;
	int indirect;
	int used;
};

/* A probe made for another member. */
struct member_relay {
	struct node_id origin;
	uint32_t nonce;
	uint32_t origin_nonce;
};

/* An address where a member may be. */
struct member_seed {
	uint64_t next_ms;
	uint32_t addr;
	uint16_t port;
	unsigned int tries;
	int fixed; /* from settings: never given up */
};

struct member_second {
	uint64_t second;
	uint32_t probed;
	uint32_t answered;
};

struct member_table {
	struct member_port port;
	struct member_slot *slots;
	uint32_t slots_len;
	uint32_t slots_cap;
	uint32_t self;
	uint32_t count; /* slots in use */
	uint32_t alive;
	GHashTable *by_addr;
	uint32_t *ring; /* the order of probes */
	uint32_t ring_len;
	uint32_t ring_pos;
	uint32_t *queue; /* handles with changes to tell */
	uint32_t queue_len;
	uint32_t old_pos; /* next entry that is told again unasked */
	struct member_probe probes[MEMBER_PROBES_MAX];
	uint32_t verify[MEMBER_VERIFY_MAX]; /* reported dead, to be probed */
	uint32_t verify_len;
	struct member_relay relays[MEMBER_RELAYS_MAX];
	uint32_t relay_pos;
	struct member_seed seeds[MEMBER_SEEDS_MAX];
	uint32_t seeds_len;
	struct member_second seconds[MEMBER_WINDOW_S];
	uint32_t next_nonce;
	uint32_t stamp;
	uint32_t news; /* changes that the last sync brought */
	uint32_t probe_ms;
	uint64_t fresh_ms;
	uint64_t started_ms;
	uint64_t last_tick_ms;
	uint64_t next_probe_ms;
	uint64_t next_gossip_ms;
	uint64_t next_sync_ms;
	uint64_t last_sync_ms;
	uint64_t next_dead_ms;
	uint64_t next_verify_ms;
	uint64_t next_forget_ms;
	uint64_t budget_ms;
	int64_t gossip_budget; /* bytes for changes in messages */
	int64_t page_budget;   /* bytes for pages of the table */
	uint64_t log_read_ms;
	uint64_t
	    current_ms; /* latest such read that the own version is as of */
	uint64_t config_version;
	uint64_t config_asked_ms;
	uint32_t config_addr;
	uint16_t config_peer_port;
	int paging; /* the message at hand is a page of a table */
	int dirty;  /* the view is out of date */
	int leaving;
};

void member_table_init(struct member_table *, const struct member_settings *,
    const struct member_port *, uint64_t, uint64_t);
void member_table_finish(struct member_table *);
void member_table_seed(struct member_table *, uint32_t, uint16_t, int);
void member_table_receive(
    struct member_table *, uint64_t, const struct member_message *);
void member_table_tick(struct member_table *, uint64_t);
void member_table_refused(struct member_table *, uint64_t, uint32_t, uint16_t);
void member_table_leave(struct member_table *, uint64_t);
void member_table_changed(struct member_table *, uint64_t);

struct member_slot *member_add_slot(struct member_table *, uint32_t, uint16_t);
void member_insert_probe(struct member_table *, uint32_t);
int member_is_up(enum member_state);
void member_tell(
    struct member_table *, enum member_event, const struct member_slot *);
void member_copy_text(char *, size_t, const char *);
struct member_slot *member_find(struct member_table *, uint32_t, uint16_t);
uint32_t member_handle(const struct member_table *, const struct member_slot *);
void member_merge(
    struct member_table *, uint64_t, const struct member_entry *, int);
void member_merge_status(
    struct member_table *, uint64_t, const struct member_status *);
void member_set_state(struct member_table *, uint64_t, struct member_slot *,
    enum member_state, uint32_t);
uint64_t member_suspect_ms(const struct member_table *);
uint32_t member_tells(const struct member_table *);
int member_server_differs(
    const struct member_server *, const struct member_server *);
void member_forget(struct member_table *, uint64_t);
uint32_t member_random_alive(struct member_table *);

void member_queue(
    struct member_table *, struct member_slot *, enum member_tell);
void member_unqueue(struct member_table *, uint32_t);
void member_send(struct member_table *, uint64_t, member_kind,
    const struct node_id *, uint32_t);
void member_send_bare(
    struct member_table *, uint64_t, const struct node_id *, uint32_t);
void member_send_ping_req(struct member_table *, uint64_t,
    const struct node_id *, const struct node_id *, uint32_t);
void member_sync(
    struct member_table *, uint64_t, member_kind, const struct node_id *);
void member_sync_answer(
    struct member_table *, uint64_t, const struct member_message *);

void member_note_log_read(struct member_table *, uint64_t);
void member_ask_config(struct member_table *, uint64_t);
void member_window_add(struct member_table *, uint64_t, int);
void member_window_sum(
    const struct member_table *, uint64_t, uint32_t, uint32_t *, uint32_t *);

struct member_view *member_view_build(
    const struct member_table *, uint64_t, uint64_t);
void member_view_free(struct member_view *);

struct member_hello {
	struct node_id id;
	uint16_t peer_port;
	char domain[MEMBER_DOMAIN_TEXT];
};

char *member_hello_format(const struct member_info *);
int member_hello_parse(const char *, size_t, struct member_hello *);
void *member_log_thread(void *);

#endif

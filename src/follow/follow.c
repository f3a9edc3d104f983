#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/loopclock.h"
#include "event/event.h"
#include "follow/follow.h"

#define WAIT_MS 1000	   /* for a record: longer leaves keys in doubt */
#define WAIT_LONG_MS 15000 /* where other nodes follow closely */
#define DOUBT_MS 200   /* between two looks whether the store must be asked */
#define LATE_MS 900    /* after which an answer is not awaited any more */
#define NEWEST_MS 1200 /* for an answer */
#define APPEND_MS 1500
#define RETRY_MS 60 /* after a failure, doubled with each more */
#define RETRY_DOUBLINGS 3
#define CALM_DOUBLINGS 5 /* where others tell that there is nothing new */
#define NODES_RETRY_MS 200

static void ask_config(uv_timer_t *);
static void on_newest(void *, const struct store_reply *);
static void on_read(void *, const struct store_reply *);
static void config_failed(struct follow *, const struct store_reply *);
static void config_works(struct follow *);
static void take(struct follow *, const struct store_record *);
static void take_all(struct follow *, const struct store_reply *, uint64_t);
static void on_doubt(uv_timer_t *);
static void on_doubt_read(void *, const struct store_reply *);
static void ask_nodes(uv_timer_t *);
static void on_entered(void *, const struct store_reply *);
static void on_listed(void *, const struct store_reply *);
static void nodes_failed(struct follow *);
static uint64_t pause_ms(uint64_t, uint32_t, uint32_t);
static int is_calm(const struct follow *);

static const char *const status_names[STORE_STATUS_MAX] = {
	[STORE_OK] = "ok",
	[STORE_TRIMMED] = "trimmed",
	[STORE_REFUSED] = "refused",
	[STORE_UNKNOWN] = "no-answer",
};

/*
 * Prepares a follower; configurations stand under a key, and this node is
 * entered under its name.
 */
void
follow_init(struct follow *f, uv_loop_t *loop, const struct store_ops *store,
    void *store_ctx, const struct follow_ops *ops, void *ctx,
    const char *config_key, const char *node)
{
	memset(f, 0, sizeof(*f));
	f->loop = loop;
	f->store = store;
	f->store_ctx = store_ctx;
	f->ops = ops;
	f->ctx = ctx;
	f->config_key = config_key;
	f->node = node;
	uv_timer_init(loop, &f->config_timer);
	f->config_timer.data = f;
	uv_timer_init(loop, &f->doubt_timer);
	f->doubt_timer.data = f;
	uv_timer_init(loop, &f->nodes_timer);
	f->nodes_timer.data = f;
}

/*
 * Begins to follow; this node is at an address (IPv4, host order).
 */
void
follow_start(struct follow *f, uint32_t address)
{
	struct in_addr a;

	a.s_addr = htonl(address);
	inet_ntop(AF_INET, &a, f->address, sizeof(f->address));
	uv_timer_start(&f->config_timer, ask_config, 0, 0);
	uv_timer_start(&f->nodes_timer, ask_nodes, 0, 0);
	uv_timer_start(&f->doubt_timer, on_doubt, DOUBT_MS, DOUBT_MS);
}

/*
 * Asks the store beside the long question, if there is a reason to: that one
 * may hang on a dead connection, or be from before this node had to follow
 * closely.  The owner looks for a reason, and asks other nodes, also while the
 * store doesn't answer.
 */
static void
on_doubt(uv_timer_t *timer)
{
	struct follow *f = timer->data;

	f->doubtful = f->ops->doubt(f->ctx);
	if (f->doubtful && f->lost)
		f->ops->ask(f->ctx);
	if (f->doubting || f->phase != FOLLOW_READ || f->wait_ms == 0)
		return;
	if (!f->doubtful &&
	    (f->wait_ms < WAIT_LONG_MS || !f->ops->close(f->ctx)))
		return;
	f->doubting = 1;
	f->doubt_wait_ms = f->doubtful ? 0 : WAIT_MS;
	f->store->read(f->store_ctx, STORE_CONFIG, f->next, f->doubt_wait_ms,
	    f->doubt_wait_ms + LATE_MS, on_doubt_read, f);
}

/*
 * Takes the answer to a short question.
 */
static void
on_doubt_read(void *ctx, const struct store_reply *rep)
{
	struct follow *f = ctx;

	f->doubting = 0;
	if (rep->status == STORE_OK)
		take_all(f, rep, f->doubt_wait_ms);
}

/*
 * Returns at what time an answer without records was surely true.  The store
 * holds a question back for wait_ms, so an answer that took as long was made
 * at the end of that time; one that came sooner was made after the question.
 */
uint64_t
follow_proof(uint64_t asked_ms, uint64_t wait_ms, uint64_t now_ms)
{
	return now_ms >= asked_ms + wait_ms ? asked_ms + wait_ms : asked_ms;
}

/*
 * Returns how long to pause after so many failures in a row, of which so many
 * double the pause.
 */
static uint64_t
pause_ms(uint64_t first, uint32_t fails, uint32_t doublings)
{
	return first << (fails < doublings ? fails : doublings);
}

/*
 * Tells whether it is of no harm that the store doesn't answer: another node
 * answers for it, and nothing newer is known.
 */
static int
is_calm(const struct follow *f)
{
	return f->version > 0 && f->phase == FOLLOW_READ && !f->doubtful &&
	       !f->ops->close(f->ctx);
}

/*
 * Asks for the newest configuration, or for the next one.
 */
static void
ask_config(uv_timer_t *timer)
{
	struct follow *f = timer->data;

	if (f->phase == FOLLOW_NEWEST) {
		f->store->newest(
		    f->store_ctx, STORE_CONFIG, NULL, NEWEST_MS, on_newest, f);
		return;
	}
	/* After a failure a short question shows sooner that all is well. */
	f->wait_ms = f->config_fails > 0     ? 0
		     : f->ops->close(f->ctx) ? WAIT_MS
					     : WAIT_LONG_MS;
	f->store->read(f->store_ctx, STORE_CONFIG, f->next, f->wait_ms,
	    f->wait_ms + LATE_MS, on_read, f);
}

/*
 * Tries again after a failure.
 */
static void
config_failed(struct follow *f, const struct store_reply *rep)
{
	if (!f->lost) {
		f->lost = 1;
		event_log(EVENT_STORE_LOST, loop_ms(f->loop),
		    "status=%s phase=%d version=%llu next=%llu",
		    status_names[rep->status], (int)f->phase,
		    (unsigned long long)f->version,
		    (unsigned long long)f->next);
	}
	if (rep->status == STORE_TRIMMED)
		f->phase = FOLLOW_NEWEST;
	uv_timer_start(&f->config_timer, ask_config,
	    pause_ms(RETRY_MS, f->config_fails,
		is_calm(f) ? CALM_DOUBLINGS : RETRY_DOUBLINGS),
	    0);
	f->config_fails++;
	f->ops->ask(f->ctx);
}

/*
 * Notes that the store answers, and asks on.
 */
static void
config_works(struct follow *f)
{
	if (f->lost)
		event_log(EVENT_STORE_BACK, loop_ms(f->loop),
		    "version=%llu failures=%u", (unsigned long long)f->version,
		    f->config_fails);
	f->lost = 0;
	f->config_fails = 0;
	uv_timer_start(&f->config_timer, ask_config, 0, 0);
}

/*
 * Takes a record of the configuration's log.  One that can't be read, or is
 * older than what is in force, changes nothing.
 */
static void
take(struct follow *f, const struct store_record *rec)
{
	uint64_t now = loop_ms(f->loop);
	struct finds finds;
	struct config *c;

	if (rec->value == NULL || rec->key_len != strlen(f->config_key) ||
	    memcmp(rec->key, f->config_key, rec->key_len) != 0)
		return;
	finds_init(&finds);
	c = f->ops->decode(f->ctx, rec->value, rec->value_len, &finds);
	if (c == NULL) {
		f->bad_records++;
		event_log(EVENT_CONFIG_BAD, now,
		    "offset=%llu findings=%zu first=\"%s\" at=%s",
		    (unsigned long long)rec->offset, finds.count,
		    finds.count > 0 ? finds.list[0].text : "",
		    finds.count > 0 ? finds.list[0].place : "/");
	} else {
		follow_offer(f, c, "store", rec->offset);
	}
	finds_finish(&finds);
}

/*
 * Takes a configuration if it is newer than what is in force, or frees it.
 * Its source is the store, with its offset there, or a node's name.
 */
void
follow_offer(
    struct follow *f, struct config *c, const char *source, uint64_t offset)
{
	uint64_t now = loop_ms(f->loop);

	if (c->version <= f->version) {
		if (c->version < f->version)
			event_log(EVENT_CONFIG_OLD, now,
			    "source=%s offset=%llu version=%llu in_force=%llu",
			    source, (unsigned long long)offset,
			    (unsigned long long)c->version,
			    (unsigned long long)f->version);
		config_free(c);
		return;
	}
	event_log(EVENT_CONFIG_TAKEN, now,
	    "version=%llu before=%llu source=%s offset=%llu routes=%zu "
	    "workspaces=%zu keys=%zu",
	    (unsigned long long)c->version, (unsigned long long)f->version,
	    source, (unsigned long long)offset, c->route_count, c->ws_count,
	    c->key_count);
	f->version = c->version;
	f->ops->take(f->ctx, c);
}

/*
 * Takes the newest record of each key.
 */
static void
on_newest(void *ctx, const struct store_reply *rep)
{
	struct follow *f = ctx;
	size_t i;

	if (rep->status != STORE_OK) {
		config_failed(f, rep);
		return;
	}
	for (i = 0; i < rep->count; i++)
		take(f, &rep->records[i]);
	f->next = rep->end;
	f->phase = FOLLOW_READ;
	if (f->version > 0)
		f->ops->proved(f->ctx, rep->asked_ms);
	config_works(f);
}

/*
 * Takes records from an answer to a question that waited for so long.
 */
static void
take_all(struct follow *f, const struct store_reply *rep, uint64_t wait_ms)
{
	uint64_t next = f->next;
	size_t i;

	for (i = 0; i < rep->count; i++) {
		take(f, &rep->records[i]);
		next = rep->records[i].offset + 1;
	}
	if (next > f->next)
		f->next = next;
	if (f->version > 0 && f->next >= rep->end)
		f->ops->proved(f->ctx, rep->count > 0
					   ? rep->asked_ms
					   : follow_proof(rep->asked_ms,
						 wait_ms, loop_ms(f->loop)));
}

/*
 * Takes records that came after.
 */
static void
on_read(void *ctx, const struct store_reply *rep)
{
	struct follow *f = ctx;

	if (rep->status != STORE_OK) {
		config_failed(f, rep);
		return;
	}
	take_all(f, rep, f->wait_ms);
	config_works(f);
}

/*
 * Reads the list of nodes.  A node that doesn't stand there is entered, and
 * reads it again: in this order, of two that start together at least the later
 * one sees the other.
 */
static void
ask_nodes(uv_timer_t *timer)
{
	struct follow *f = timer->data;

	if (f->absent)
		f->store->append(f->store_ctx, STORE_NODES, f->node, f->address,
		    strlen(f->address), APPEND_MS, on_entered, f);
	else
		f->store->newest(
		    f->store_ctx, STORE_NODES, NULL, NEWEST_MS, on_listed, f);
}

/*
 * Tries again after a failure.
 */
static void
nodes_failed(struct follow *f)
{
	uv_timer_start(&f->nodes_timer, ask_nodes,
	    pause_ms(NODES_RETRY_MS, f->nodes_fails, RETRY_DOUBLINGS), 0);
	f->nodes_fails++;
}

/*
 * This node is in the list, or the store gave no answer.
 */
static void
on_entered(void *ctx, const struct store_reply *rep)
{
	struct follow *f = ctx;

	if (rep->status != STORE_OK) {
		nodes_failed(f);
		return;
	}
	f->absent = 0;
	f->entered = 1;
	uv_timer_start(&f->nodes_timer, ask_nodes, 0, 0);
}

/*
 * Takes the list of nodes.
 */
static void
on_listed(void *ctx, const struct store_reply *rep)
{
	struct follow *f = ctx;
	char name[CONFIG_NAME_MAX + 1], text[16];
	struct in_addr a;
	size_t i;

	if (rep->status != STORE_OK) {
		nodes_failed(f);
		return;
	}
	for (i = 0; i < rep->count; i++) {
		const struct store_record *rec = &rep->records[i];

		if (rec->value == NULL || rec->value_len >= sizeof(text) ||
		    rec->key_len >= sizeof(name)) {
			f->bad_records++;
			continue;
		}
		snprintf(
		    name, sizeof(name), "%.*s", (int)rec->key_len, rec->key);
		snprintf(text, sizeof(text), "%.*s", (int)rec->value_len,
		    rec->value);
		if (strcmp(name, f->node) == 0)
			f->entered |= strcmp(text, f->address) == 0;
		else if (inet_pton(AF_INET, text, &a) == 1)
			f->ops->node(f->ctx, name, ntohl(a.s_addr));
		else
			f->bad_records++;
	}
	if (rep->more && rep->count > 0) {
		snprintf(name, sizeof(name), "%.*s",
		    (int)rep->records[rep->count - 1].key_len,
		    rep->records[rep->count - 1].key);
		f->store->newest(
		    f->store_ctx, STORE_NODES, name, NEWEST_MS, on_listed, f);
		return;
	}
	if (f->entered) {
		f->ops->listed(f->ctx);
		return;
	}
	f->absent = 1;
	uv_timer_start(&f->nodes_timer, ask_nodes, 0, 0);
}

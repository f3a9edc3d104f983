#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "base/loopclock.h"
#include "follow/follow.h"

/*
 * A follower that has read a store to its end, which is then restored from a
 * copy without its newest records and gives their offsets out again.
 */

#define ALARM_S 20
#define CONFIG_APPLY_MS 2000
#define RECORDS_MAX 16
#define READS_MAX 8
#define OWN_ADDRESS 0x7f000001
#define POLL_MS 5
#define WAIT_MAX_MS 3000

/* A pending read of configurations. */
struct pending_read {
	store_reply_fn reply_fn;
	void *ctx;
	uint64_t from, until_ms, sent_ms;
	int dead; /* its connection has gone with an earlier era */
};

/* The store, a follower and what the follower reported. */
struct world {
	uv_loop_t loop;
	uv_timer_t poll;
	struct follower follower;
	struct follow_schedule schedule;
	uint64_t log[RECORDS_MAX]; /* versions, by offset */
	size_t count;
	uint64_t era;
	struct pending_read reads[READS_MAX];
	size_t read_count;
	int is_reader;
	enum config_need need;
	uint64_t version; /* in force */
	uint64_t proved_ms, proved_version;
	int false_proofs;
	int requests;	/* for configurations */
	int registered; /* the store's list has the follower */
	int registrations;
};

static void
fill_record(struct store_record *rec, char *value, size_t size,
    uint64_t version, uint64_t offset)
{
	memset(rec, 0, sizeof(*rec));
	snprintf(value, size, "%llu", (unsigned long long)version);
	rec->key = "config";
	rec->key_len = strlen(rec->key);
	rec->value = value;
	rec->value_len = strlen(value);
	rec->offset = offset;
}

static void
reply_init(const struct world *w, struct store_reply *rep)
{
	memset(rep, 0, sizeof(*rep));
	rep->era = w->era;
	rep->end_offset = w->count;
	rep->request_sent_ms = loop_ms((uv_loop_t *)&w->loop);
}

static void
store_newest(void *ctx, enum store_log log, const char *after, uint64_t timeout,
    store_reply_fn done, void *done_ctx)
{
	struct world *w = ctx;
	struct store_record rec;
	struct store_reply rep;
	char value[32];

	(void)after;
	(void)timeout;
	reply_init(w, &rep);
	rep.records = &rec;
	if (log == STORE_CONFIG) {
		w->requests++;
		rep.count = w->count > 0;
		if (rep.count > 0)
			fill_record(&rec, value, sizeof(value),
			    w->log[w->count - 1], w->count - 1);
	} else if (w->registered) {
		memset(&rec, 0, sizeof(rec));
		rec.key = "n1";
		rec.key_len = strlen(rec.key);
		rec.value = "127.0.0.1";
		rec.value_len = strlen(rec.value);
		rep.count = 1;
	}
	done(done_ctx, &rep);
}

static void
store_read(void *ctx, enum store_log log, uint64_t from, uint64_t wait,
    uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	struct world *w = ctx;
	struct pending_read *p;

	(void)timeout;
	assert_int_equal(log, STORE_CONFIG);
	assert_true(w->read_count < READS_MAX);
	w->requests++;
	p = &w->reads[w->read_count++];
	memset(p, 0, sizeof(*p));
	p->reply_fn = done;
	p->ctx = done_ctx;
	p->from = from;
	p->sent_ms = loop_ms(&w->loop);
	p->until_ms = p->sent_ms + wait;
}

static void
store_append(void *ctx, enum store_log log, const char *key, const char *value,
    size_t len, uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	struct world *w = ctx;
	struct store_reply rep;

	(void)value;
	(void)len;
	(void)timeout;
	assert_int_equal(log, STORE_NODES);
	assert_string_equal(key, "n1");
	reply_init(w, &rep);
	w->registered = 1;
	w->registrations++;
	done(done_ctx, &rep);
}

static const struct store_ops store_ops = { store_newest, store_read,
	store_append, NULL };

/*
 * Replies to a pending read.
 */
static void
answer_read(struct world *w, const struct pending_read *p)
{
	struct store_record recs[RECORDS_MAX];
	char values[RECORDS_MAX][32];
	struct store_reply rep;
	uint64_t i;

	reply_init(w, &rep);
	rep.request_sent_ms = p->sent_ms;
	rep.records = recs;
	if (p->dead)
		rep.status = STORE_UNKNOWN;
	else if (p->from > w->count)
		rep.status = STORE_TRIMMED;
	if (rep.status == STORE_UNKNOWN)
		rep.era = 0;
	for (i = p->from; rep.status == STORE_OK && i < w->count; i++) {
		fill_record(&recs[rep.count], values[rep.count],
		    sizeof(values[0]), w->log[i], i);
		rep.count++;
	}
	p->reply_fn(p->ctx, &rep);
}

/*
 * Replies to the reads that have records or whose wait time is over.
 */
static void
poll_reads(uv_timer_t *timer)
{
	struct world *w = timer->data;
	struct pending_read p;
	size_t i = 0;

	while (i < w->read_count) {
		p = w->reads[i];
		if (loop_ms(&w->loop) < p.until_ms &&
		    (p.dead || p.from == w->count)) {
			i++;
			continue;
		}
		w->reads[i] = w->reads[--w->read_count];
		answer_read(w, &p);
	}
}

static struct config *
decode(void *ctx, const char *text, size_t len, struct finds *finds)
{
	struct config *c = calloc(1, sizeof(*c));

	(void)ctx;
	(void)len;
	(void)finds;
	assert_non_null(c);
	c->version = strtoull(text, NULL, 10);
	return c;
}

static void
apply_config(void *ctx, struct config *c)
{
	struct world *w = ctx;

	assert_true(c->version > w->version);
	w->version = c->version;
	config_free(c);
}

static void
record_proof(void *ctx, uint64_t proof_ms)
{
	struct world *w = ctx;

	w->proved_ms = proof_ms;
	w->proved_version = w->version;
	if (w->count == 0 || w->log[w->count - 1] != w->version)
		w->false_proofs++;
}

static int
follows_closely(void *ctx)
{
	return ((struct world *)ctx)->is_reader;
}

static enum config_need
config_need(void *ctx)
{
	return ((struct world *)ctx)->need;
}

static void
query_peers(void *ctx)
{
	(void)ctx;
}

static void
add_node(void *ctx, const char *name, uint32_t address)
{
	(void)ctx;
	(void)name;
	(void)address;
}

static void
nodes_listed(void *ctx)
{
	(void)ctx;
}

static int
must_prune(void *ctx)
{
	(void)ctx;
	return 0;
}

static int
is_prunable(void *ctx, const char *name)
{
	(void)ctx;
	(void)name;
	return 0;
}

static void
store_lost(void *ctx, int lost)
{
	(void)ctx;
	(void)lost;
}

static const struct follow_ops follow_ops = { decode, apply_config,
	record_proof, follows_closely, config_need, query_peers, add_node,
	nodes_listed, must_prune, is_prunable, store_lost };

/*
 * Publishes a version.
 */
static void
publish(struct world *w, uint64_t version)
{
	assert_true(w->count < RECORDS_MAX);
	w->log[w->count++] = version;
}

/*
 * Restores the store from a copy with the first so many versions.  Pending
 * reads get no reply.
 */
static void
restore(struct world *w, size_t count)
{
	size_t i;

	for (i = 0; i < w->read_count; i++)
		w->reads[i].dead = 1;
	w->count = count;
	w->era++;
}

/*
 * Runs the loop for a time.
 */
static void
run_for(struct world *w, uint64_t ms)
{
	uint64_t until = uv_now(&w->loop) + ms;

	while (uv_now(&w->loop) < until)
		uv_run(&w->loop, UV_RUN_ONCE);
}

/*
 * Runs the loop until a version is in force and, since then, proved.
 */
static void
await_proof(struct world *w, uint64_t version)
{
	uint64_t until;

	uv_update_time(&w->loop);
	until = uv_now(&w->loop) + WAIT_MAX_MS;
	while (w->proved_version != version && uv_now(&w->loop) < until)
		uv_run(&w->loop, UV_RUN_ONCE);
	assert_int_equal(w->version, version);
	assert_int_equal(w->proved_version, version);
}

/*
 * Starts a follower of a store in its first era that has versions 3, 5 and 7,
 * and runs it until it has read them.
 */
static void
world_init(struct world *w, int is_reader)
{
	memset(w, 0, sizeof(*w));
	uv_loop_init(&w->loop);
	w->era = 1;
	w->is_reader = is_reader;
	publish(w, 3);
	publish(w, 5);
	publish(w, 7);
	follow_init(&w->follower, &w->loop, &store_ops, w, &follow_ops, w,
	    "config", "n1");
	follow_schedule_init(&w->schedule, CONFIG_APPLY_MS);
	follow_set_schedule(&w->follower, &w->schedule);
	follow_start(&w->follower, OWN_ADDRESS);
	uv_timer_init(&w->loop, &w->poll);
	w->poll.data = w;
	uv_timer_start(&w->poll, poll_reads, POLL_MS, POLL_MS);
	await_proof(w, 7);
	run_for(w, 100);
}

static void
close_handle(uv_handle_t *h, void *arg)
{
	(void)arg;
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

static void
world_finish(struct world *w)
{
	uv_walk(&w->loop, close_handle, NULL);
	uv_run(&w->loop, UV_RUN_DEFAULT);
	assert_int_equal(w->false_proofs, 0);
	assert_int_equal(uv_loop_close(&w->loop), 0);
}

/*
 * A version written at an offset that was given out before the store was
 * restored comes into force: operators withdraw keys with it.  Both a reader
 * of the store and a node that reads only without proofs from others get it.
 */
static void
test_restored_offsets_hide_no_version(void **state)
{
	struct world w;
	int is_reader;

	(void)state;
	for (is_reader = 0; is_reader < 2; is_reader++) {
		world_init(&w, is_reader);
		restore(&w, 1);
		publish(&w, 7);
		publish(&w, 9); /* the log ends where it ended before */
		w.need = CONFIG_NEED_STORE;
		await_proof(&w, 9);
		w.need = CONFIG_NEED_NOTHING;
		publish(&w, 11);
		w.need = CONFIG_NEED_STORE;
		await_proof(&w, 11);
		world_finish(&w);
	}
}

/*
 * A read that was sent before the store was restored and is answered after it
 * proves nothing: it began at an offset of the earlier era.
 */
static void
test_read_across_restore_proves_nothing(void **state)
{
	struct world w;
	size_t i;

	(void)state;
	world_init(&w, 1);
	restore(&w, 1);
	for (i = 0; i < w.read_count; i++)
		w.reads[i].dead = 0;
	publish(&w, 7);
	publish(&w, 9);
	await_proof(&w, 9);
	world_finish(&w);
}

/*
 * A restored store without the version in force, or with the one before it,
 * proves nothing until operators have written that again.  It isn't read more
 * often than its readers do at other times.
 */
static void
test_incomplete_store_proves_nothing(void **state)
{
	struct world w;
	uint64_t proved_ms;
	int is_reader, requests;
	size_t kept;

	(void)state;
	for (kept = 0; kept < 3; kept++) {
		is_reader = kept % 2 == 0;
		world_init(&w, is_reader);
		restore(&w, kept);
		w.need = CONFIG_NEED_STORE;
		run_for(&w, 2 * w.schedule.close_wait_ms);
		proved_ms = w.proved_ms;
		requests = w.requests;
		run_for(&w, 3 * w.schedule.close_wait_ms);
		assert_int_equal(w.proved_ms, proved_ms);
		assert_int_equal(w.version, 7);
		/* Two reads in flight at most. */
		assert_true(w.requests - requests <= 2 * (3 + 1));
		publish(&w, 7);
		run_for(&w, w.schedule.close_wait_ms);
		assert_true(w.proved_ms > proved_ms);
		world_finish(&w);
	}
}

/*
 * A node whose entry the store has lost registers again, so that nodes which
 * start later find it.
 */
static void
test_lost_registration_is_repeated(void **state)
{
	struct world w;

	(void)state;
	world_init(&w, 1);
	assert_int_equal(w.registrations, 1);
	restore(&w, 3);
	w.registered = 0;
	run_for(&w, WAIT_MAX_MS);
	assert_int_equal(w.registrations, 2);
	assert_true(w.registered);
	run_for(&w, WAIT_MAX_MS);
	assert_int_equal(w.registrations, 2);
	world_finish(&w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_restored_offsets_hide_no_version),
		cmocka_unit_test(test_read_across_restore_proves_nothing),
		cmocka_unit_test(test_incomplete_store_proves_nothing),
		cmocka_unit_test(test_lost_registration_is_repeated),
	};

	alarm(ALARM_S);
	return cmocka_run_group_tests(tests, NULL, NULL);
}

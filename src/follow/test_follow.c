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
#include "follow/test_follow.h"

/*
 * Tests of the follower.  The first one runs against a store that replies to
 * each request for configurations with the next row of a table.
 */

#define RECORDS_MAX 3

enum query_kind {
	NEWEST,
	READ
};

struct step {
	enum query_kind query;
	enum store_status status;
	uint64_t from; /* expected offset of a READ */
	const char *values[RECORDS_MAX];
	uint64_t end;
	uint64_t version; /* in force after the reply */
	int is_proof;	  /* the reply proves that version newest */
};

static const struct step steps[] = {
	{ NEWEST, STORE_UNKNOWN, 0, { NULL }, 0, 0, 0 }, /* reply lost */
	{ NEWEST, STORE_REFUSED, 0, { NULL }, 0, 4, 0 }, /* from a peer */
	{ NEWEST, STORE_OK, 0, { "5" }, 8, 5, 1 },
	{ READ, STORE_OK, 8, { NULL }, 8, 5, 1 },	/* nothing new */
	{ READ, STORE_OK, 8, { "7", "6" }, 10, 7, 1 },	/* older record late */
	{ READ, STORE_UNKNOWN, 10, { NULL }, 0, 7, 0 }, /* request hangs */
	{ READ, STORE_OK, 10, { "what" }, 11, 7, 1 },	/* not a version */
	{ READ, STORE_OK, 11, { "9" }, 13, 9, 0 },	/* more to come */
	{ READ, STORE_OK, 12, { "10" }, 13, 10, 1 },
	{ READ, STORE_TRIMMED, 13, { NULL }, 0, 11, 0 },
	{ NEWEST, STORE_OK, 0, { "12" }, 40, 12, 1 },
	{ READ, STORE_OK, 40, { NULL }, 40, 12, 1 },
};

/* Version that a peer offers at each failure of the store. */
static const uint64_t peer_versions[] = { 0, 4, 6, 11 };

#define STEP_COUNT (sizeof(steps) / sizeof(steps[0]))

/*
 * Checks the version in force and the proofs after the last reply.
 */
static void
check_step(struct world *w)
{
	if (w->step == 0)
		return;
	assert_int_equal(w->version, steps[w->step - 1].version);
	assert_int_equal(w->proofs, w->proofs_expected);
}

/*
 * Replies to the pending request with the next row of the table.
 */
static void
answer_step(uv_timer_t *timer)
{
	struct world *w = timer->data;
	const struct step *s = &steps[w->step++];
	struct store_record recs[RECORDS_MAX];
	struct store_reply rep;
	int i;

	memset(&rep, 0, sizeof(rep));
	memset(recs, 0, sizeof(recs));
	rep.status = s->status;
	rep.end_offset = s->end;
	rep.request_sent_ms = loop_ms(&w->loop);
	rep.records = recs;
	for (i = 0; i < RECORDS_MAX && s->values[i] != NULL; i++) {
		recs[i].key = "config";
		recs[i].key_len = 6;
		recs[i].value = s->values[i];
		recs[i].value_len = strlen(s->values[i]);
		recs[i].offset = s->from + (uint64_t)i;
		rep.count++;
	}
	w->proofs_expected += s->is_proof;
	w->reply_fn(w->reply_ctx, &rep);
	if (w->step == STEP_COUNT)
		uv_stop(&w->loop);
}

/*
 * Checks that a request is the one of the next row, and schedules the reply.
 */
static void
expect_query(struct world *w, enum query_kind q, uint64_t from,
    store_reply_fn done, void *ctx)
{
	check_step(w);
	if (w->step == STEP_COUNT)
		return;
	assert_int_equal(q, steps[w->step].query);
	if (q == READ)
		assert_int_equal(from, steps[w->step].from);
	w->reply_fn = done;
	w->reply_ctx = ctx;
	uv_timer_start(&w->timer, answer_step, 1, 0);
}

static void
fake_newest(void *ctx, enum store_log log, const char *after, uint64_t timeout,
    store_reply_fn done, void *done_ctx)
{
	struct world *w = ctx;

	(void)after;
	(void)timeout;
	if (log == STORE_NODES) {
		w->list_events++;
		done(done_ctx, &w->nodes);
		return;
	}
	expect_query(w, NEWEST, 0, done, done_ctx);
}

static void
fake_read(void *ctx, enum store_log log, uint64_t from, uint64_t wait,
    uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	assert_int_equal(log, STORE_CONFIG);
	assert_true(timeout > wait);
	expect_query(ctx, READ, from, done, done_ctx);
}

static const struct store_ops store_ops = { fake_newest, fake_read, fake_append,
	NULL };

static void
count_proof(void *ctx, uint64_t proof_ms)
{
	(void)proof_ms;
	((struct world *)ctx)->proofs++;
}

static void
count_list(void *ctx)
{
	struct world *w = ctx;

	assert_true(w->list_events > 100);
	w->lists_completed++;
}

static int
is_close_follower(void *ctx)
{
	(void)ctx;
	return 1;
}

static enum config_need
count_store_check(void *ctx)
{
	((struct world *)ctx)->store_checks++;
	return CONFIG_NEED_NOTHING;
}

/*
 * Offers the configuration of a peer while the store fails.
 */
static void
offer_peer_config(void *ctx)
{
	struct world *w = ctx;
	struct config *c = calloc(1, sizeof(*c));

	c->version = peer_versions[w->peer_queries++];
	follow_offer_config(&w->follower, c, "n2", 0);
}

static const struct follow_ops follow_ops = { decode_version, accept_config,
	count_proof, is_close_follower, count_store_check, offer_peer_config,
	check_node, count_list, prune_nothing, prune_no_node, note_store_lost };

/*
 * Starts a follower with an address on a store that lists two nodes.
 */
static void
world_start(struct world *w, struct store_record *list, uint32_t address)
{
	memset(w, 0, sizeof(*w));
	w->nodes.records = list;
	w->nodes.count = 2;
	uv_loop_init(&w->loop);
	uv_timer_init(&w->loop, &w->timer);
	w->timer.data = w;
	follow_init(&w->follower, &w->loop, &store_ops, w, &follow_ops, w,
	    "config", "n1");
	start_follower(w, address);
}

/*
 * Lost, refused, late, unreadable and trimmed records: the version in force
 * never decreases, and counts as the newest only where a reply proves it.
 */
static void
test_version_never_decreases(void **state)
{
	struct store_record list[2] = {
		{ "n2", 2, "127.0.0.2", 9, 0 },
		{ "n3", 2, "rubbish", 7, 1 },
	};
	struct world w;

	(void)state;
	alarm(ALARM_S);
	world_start(&w, list, 0x7f000001);
	uv_run(&w.loop, UV_RUN_DEFAULT);
	check_step(&w);
	assert_int_equal(w.step, STEP_COUNT);
	assert_int_equal(w.configs_accepted, 7);
	assert_int_equal(
	    w.peer_queries, sizeof(peer_versions) / sizeof(peer_versions[0]));
	assert_int_equal(w.follower.bad_records, 3);
	assert_int_equal(w.appends, 2);
	assert_string_equal(w.appended, "n1=127.0.0.1");
	assert_int_equal(
	    w.list_events, 202); /* before and after registration */
	assert_int_equal(w.lists_completed, 1);
	uv_walk(&w.loop, close_all, NULL);
	uv_run(&w.loop, UV_RUN_DEFAULT);
	uv_loop_close(&w.loop);
}

/*
 * A restarted node finds itself in the list at the first read and appends
 * nothing: appends are slow when many nodes register while the store is slow.
 * A node whose address has changed is registered again.
 */
static void
test_restart_skips_registration(void **state)
{
	static const struct {
		uint32_t address;
		int appends, list_reads;
	} rows[] = {
		{ 0x7f000001, 0, 1 },
		{ 0x7f000009, 2, 2 },
	};
	struct store_record list[2] = {
		{ "n1", 2, "127.0.0.1", 9, 0 },
		{ "n2", 2, "127.0.0.2", 9, 1 },
	};
	struct world w;
	size_t i;

	(void)state;
	alarm(ALARM_S);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		world_start(&w, list, rows[i].address);
		while (w.lists_completed == 0)
			uv_run(&w.loop, UV_RUN_ONCE);
		assert_int_equal(w.appends, rows[i].appends);
		assert_int_equal(w.list_events % 100, rows[i].list_reads);
		uv_walk(&w.loop, close_all, NULL);
		uv_run(&w.loop, UV_RUN_DEFAULT);
		uv_loop_close(&w.loop);
	}
}

static void
refused_newest(void *ctx, enum store_log log, const char *after,
    uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	struct store_reply rep;

	(void)ctx;
	(void)log;
	(void)after;
	(void)timeout;
	memset(&rep, 0, sizeof(rep));
	rep.status = STORE_REFUSED;
	done(done_ctx, &rep);
}

static void
refused_read(void *ctx, enum store_log log, uint64_t from, uint64_t wait,
    uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	(void)from;
	(void)wait;
	refused_newest(ctx, log, NULL, timeout, done, done_ctx);
}

static const struct store_ops refused_store = { refused_newest, refused_read,
	fake_append, NULL };

static void
ignore_peer_query(void *ctx)
{
	(void)ctx;
}

/*
 * While the store refuses the requests of this node, the periodic check goes
 * on.  The owner queries the peers for a configuration proof in that callback.
 */
static void
test_proof_queries_during_outage(void **state)
{
	static const struct follow_ops ops = { decode_version, accept_config,
		count_proof, is_close_follower, count_store_check,
		ignore_peer_query, check_node, count_list, prune_nothing,
		prune_no_node, note_store_lost };
	enum follow_phase phase;
	struct world w;

	(void)state;
	for (phase = 0; phase < FOLLOW_PHASE_MAX; phase++) {
		alarm(ALARM_S);
		memset(&w, 0, sizeof(w));
		uv_loop_init(&w.loop);
		follow_init(&w.follower, &w.loop, &refused_store, &w, &ops, &w,
		    "config", "n1");
		w.follower.phase = phase;
		start_follower(&w, 0x7f000001);
		while (w.store_checks < 3)
			uv_run(&w.loop, UV_RUN_ONCE);
		uv_walk(&w.loop, close_all, NULL);
		uv_run(&w.loop, UV_RUN_DEFAULT);
		uv_loop_close(&w.loop);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_version_never_decreases),
		cmocka_unit_test(test_restart_skips_registration),
		cmocka_unit_test(test_proof_queries_during_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

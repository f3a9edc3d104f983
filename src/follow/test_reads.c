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
 * Which reads a node makes of the store, and when.
 */

/* A store that never replies to long reads, and counts all reads. */
struct read_counts {
	struct world w;
	int close_follower;
	enum config_need need;
	int long_reads, close_reads, short_reads, peer_queries;
	int refuse_reads, refusing;
	int lost_reads;		/* the next reads without a wait get no reply */
	int no_config;		/* the store has none */
	int queries_while_idle; /* peer queries outside a refused read */
	uint64_t retry_delay_ms; /* set by the last refused read */
};

static void
counted_newest(void *ctx, enum store_log log, const char *after,
    uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	struct store_record rec = { "config", 6, "5", 1, 0 };
	struct store_reply rep;

	(void)after;
	(void)timeout;
	memset(&rep, 0, sizeof(rep));
	if (log == STORE_CONFIG && !((struct read_counts *)ctx)->no_config) {
		rep.records = &rec;
		rep.count = rep.end_offset = 1;
	}
	done(done_ctx, &rep);
}

/*
 * Replies to a close read that there is nothing new.
 */
static void
answer_close_read(uv_timer_t *timer)
{
	struct read_counts *c = timer->data;
	struct store_reply rep;

	memset(&rep, 0, sizeof(rep));
	rep.end_offset = 1;
	rep.request_sent_ms = loop_ms(&c->w.loop);
	c->w.reply_fn(c->w.reply_ctx, &rep);
}

static void
counted_read(void *ctx, enum store_log log, uint64_t from, uint64_t wait,
    uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	struct read_counts *c = ctx;
	struct store_reply rep;

	(void)log;
	(void)from;
	(void)timeout;
	memset(&rep, 0, sizeof(rep));
	rep.end_offset = 1;
	rep.request_sent_ms = loop_ms(&c->w.loop);
	c->long_reads += wait > 1000;
	c->close_reads += wait > 0 && wait <= 1000;
	c->short_reads += wait == 0;
	if (c->refuse_reads)
		rep.status = STORE_REFUSED;
	c->refusing = c->refuse_reads;
	if (wait == 0 && c->lost_reads > 0) {
		c->lost_reads--;
		return;
	}
	if (wait > 0 && wait <= 1000 && !c->refuse_reads) {
		c->w.reply_fn = done;
		c->w.reply_ctx = done_ctx;
		uv_timer_start(&c->w.timer, answer_close_read, 10, 0);
	} else if (c->refuse_reads || wait == 0) {
		done(done_ctx, &rep);
	}
	c->refusing = 0;
}

static int
counted_is_close(void *ctx)
{
	return ((struct read_counts *)ctx)->close_follower;
}

static enum config_need
counted_need(void *ctx)
{
	return ((struct read_counts *)ctx)->need;
}

static void
counted_peer_query(void *ctx)
{
	struct read_counts *c = ctx;

	c->peer_queries++;
	c->queries_while_idle += !c->refusing;
	/* The retry timer was started just before this callback. */
	if (c->refusing)
		c->retry_delay_ms =
		    uv_timer_get_due_in(&c->w.follower.config_timer);
}

static void
counted_proof(void *ctx, uint64_t proof_ms)
{
	(void)proof_ms;
	((struct read_counts *)ctx)->w.proofs++;
}

static void
counted_config(void *ctx, struct config *c)
{
	accept_config(&((struct read_counts *)ctx)->w, c);
}

static void
counted_list(void *ctx)
{
	(void)ctx;
}

static const struct store_ops counted_store = { counted_newest, counted_read,
	fake_append, NULL };
static const struct follow_ops counted_ops = { decode_version, counted_config,
	counted_proof, counted_is_close, counted_need, counted_peer_query,
	check_node, counted_list, prune_nothing, prune_no_node,
	note_store_lost };

/*
 * Starts a follower on a new loop.
 */
static void
run_follower(struct read_counts *c)
{
	alarm(ALARM_S);
	uv_loop_init(&c->w.loop);
	uv_timer_init(&c->w.loop, &c->w.timer);
	c->w.timer.data = c;
	follow_init(&c->w.follower, &c->w.loop, &counted_store, c, &counted_ops,
	    c, "config", "n1");
	start_follower(&c->w, 0x7f000001);
}

/*
 * Starts a follower and runs the loop until it has a configuration and reads no
 * more.
 */
static void
count_start(struct read_counts *c)
{
	memset(c, 0, sizeof(*c));
	run_follower(c);
	while (!c->w.follower.idle)
		uv_run(&c->w.loop, UV_RUN_ONCE);
}

/*
 * Resets the counts of short and close reads and peer queries, and runs the
 * loop for some time.
 */
static void
count_during(struct read_counts *c, uint64_t ms)
{
	uint64_t end = loop_ms(&c->w.loop) + ms;

	c->peer_queries = c->short_reads = c->close_reads = 0;
	while (loop_ms(&c->w.loop) < end)
		uv_run(&c->w.loop, UV_RUN_ONCE);
}

static void
count_end(struct read_counts *c)
{
	uv_walk(&c->w.loop, close_all, NULL);
	uv_run(&c->w.loop, UV_RUN_DEFAULT);
	uv_loop_close(&c->w.loop);
}

/*
 * A node that becomes a close reader starts close reads at once.  If it waited,
 * all other nodes would read the store themselves.  Before, it reads nothing.
 */
static void
test_close_reads_when_needed(void **state)
{
	struct read_counts c;

	(void)state;
	count_start(&c);
	count_during(&c, 1100);
	assert_int_equal(c.close_reads + c.short_reads + c.long_reads, 0);
	c.close_follower = 1;
	c.w.proofs = 0;
	while (c.close_reads < 2 || c.w.proofs < 3)
		uv_run(&c.w.loop, UV_RUN_ONCE);
	/* The first read doesn't wait: the others need its proof at once. */
	assert_int_equal(c.short_reads, 1);
	assert_int_equal(c.long_reads, 0);
	count_end(&c);
}

/*
 * A reader that waits for the first configuration lets the store hold its
 * reads.
 */
static void
test_reads_without_config_wait(void **state)
{
	struct read_counts c;

	(void)state;
	memset(&c, 0, sizeof(c));
	c.no_config = c.close_follower = 1;
	run_follower(&c);
	count_during(&c, 300);
	assert_true(c.close_reads > 1);
	assert_int_equal(c.short_reads + c.long_reads, 0);
	count_end(&c);
}

/*
 * Store calls at each change: a newer version is requested from the node that
 * has it.  The store is read where other nodes don't help, and after a long
 * time; a failure is retried.
 */
static void
test_idle_node_asks_peers_first(void **state)
{
	struct read_counts c;

	(void)state;
	count_start(&c);
	c.need = CONFIG_NEED_PEER;
	count_during(&c, 500);
	assert_true(c.peer_queries >= 2);
	assert_int_equal(c.close_reads + c.short_reads + c.long_reads, 0);
	c.need = CONFIG_NEED_STORE;
	c.w.proofs = 0;
	count_during(&c, 500);
	assert_true(c.short_reads >= 2);
	assert_int_equal(c.w.proofs, c.short_reads);
	assert_int_equal(c.peer_queries, 0);
	c.need = CONFIG_NEED_NOTHING;
	c.w.follower.replied_ms -= 60000;
	count_during(&c, 500);
	assert_int_equal(c.short_reads, 1);
	c.need = CONFIG_NEED_STORE;
	c.refuse_reads = 1;
	count_during(&c, 500);
	assert_true(c.w.follower.store_lost);
	assert_true(c.w.store_lost);
	assert_true(c.short_reads > 0 && c.peer_queries > 0);
	c.refuse_reads = 0;
	c.need = CONFIG_NEED_NOTHING;
	while (!c.w.follower.idle)
		uv_run(&c.w.loop, UV_RUN_ONCE);
	assert_false(c.w.follower.store_lost);
	assert_false(c.w.store_lost);
	assert_int_equal(c.w.store_losses, 1);
	count_end(&c);
}

/*
 * Runs the loop until the next read and returns the retry delay after it.
 */
static uint64_t
next_retry_delay(struct read_counts *c)
{
	int before = c->short_reads;

	while (c->short_reads == before)
		uv_run(&c->w.loop, UV_RUN_ONCE);
	return c->retry_delay_ms;
}

/*
 * A store that fails is retried rarely while peers prove the configuration,
 * and often when they do not.  In that case the peers are also queried for a
 * newer configuration.
 */
static void
test_retry_delay_during_outage(void **state)
{
	struct read_counts c;

	(void)state;
	count_start(&c);
	c.refuse_reads = 1;
	c.w.follower.read_wait_ms = 0;
	c.w.follower.version = 5;
	c.w.follower.config_failures = 5;
	c.w.follower.store_lost = 1;
	uv_timer_start(&c.w.follower.config_timer,
	    c.w.follower.config_timer.timer_cb, 0, 0);
	assert_int_equal(next_retry_delay(&c), 1920);
	assert_int_equal(next_retry_delay(&c), 1920);
	assert_int_equal(c.queries_while_idle, 0);
	c.need = CONFIG_NEED_STORE;
	while (c.queries_while_idle < 3)
		uv_run(&c.w.loop, UV_RUN_ONCE);
	assert_int_equal(next_retry_delay(&c), 480);
	assert_int_equal(next_retry_delay(&c), 480);
	count_end(&c);
}

/*
 * A reply without records proves the version only up to the time at which the
 * store can have made the reply.
 */
static void
test_proof_time(void **state)
{
	static const struct {
		uint64_t sent_ms, wait_ms, now_ms, proof_ms;
	} rows[] = {
		{ 1000, 1500, 2510, 2500 }, /* reply after the whole wait */
		{ 1000, 1500, 4000, 2500 }, /* and the reply was late */
		{ 1000, 1500, 1010, 1000 }, /* reply before the wait ended */
		{ 1000, 0, 1004, 1000 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		assert_int_equal(follow_proof_ms(rows[i].sent_ms,
				     rows[i].wait_ms, rows[i].now_ms),
		    rows[i].proof_ms);
}

/*
 * A connection to the store that has died without a reset costs one short
 * timeout, and a store that is slow still answers.
 */
static void
test_read_timeout_adapts(void **state)
{
	struct follow_schedule s;
	uint64_t ms;

	(void)state;
	follow_schedule_init(&s, 2000);
	ms = s.read_timeout_ms;
	assert_int_equal(ms, 400);
	ms = follow_read_timeout_ms(&s, ms, 400, 1);
	assert_int_equal(ms, 800);
	ms = follow_read_timeout_ms(&s, ms, 800, 1);
	assert_int_equal(ms, 1600);
	ms = follow_read_timeout_ms(&s, ms, 1600, 1);
	assert_int_equal(ms, 1600);
	/* The store takes 700 ms: the next reads are not given up. */
	ms = follow_read_timeout_ms(&s, ms, 700, 0);
	assert_int_equal(ms, 1400);
	ms = follow_read_timeout_ms(&s, ms, 4, 0);
	assert_int_equal(ms, 400);
}

/*
 * Runs the loop until the store has proved the version, and returns how long
 * that took.
 */
static uint64_t
await_proof_ms(struct read_counts *c)
{
	uint64_t began = loop_ms(&c->w.loop);

	c->w.proofs = 0;
	while (c->w.proofs == 0)
		uv_run(&c->w.loop, UV_RUN_ONCE);
	return loop_ms(&c->w.loop) - began;
}

/*
 * Late configurations in a series of outages: the delay of retries had grown
 * while no read was needed, and a read that then was needed waited for it.
 */
static void
test_grown_retry_delay_is_cut(void **state)
{
	struct read_counts c;

	(void)state;
	count_start(&c);
	c.need = CONFIG_NEED_STORE;
	c.refuse_reads = 1;
	count_during(&c, 300);
	c.need = CONFIG_NEED_NOTHING;
	while (c.retry_delay_ms <= CONFIG_APPLY_MS / 4)
		uv_run(&c.w.loop, UV_RUN_ONCE);
	count_during(&c, c.w.schedule.retry_max_ms);
	c.refuse_reads = 0;
	c.need = CONFIG_NEED_STORE;
	assert_true(await_proof_ms(&c) <= 2 * c.w.schedule.check_ms);
	count_end(&c);
}

/*
 * Late configurations in a series of outages: after timeouts the next read had
 * a longer one, and if it was sent on a dead connection, nothing else was tried
 * meanwhile.
 */
static void
test_unanswered_read_is_repeated(void **state)
{
	struct read_counts c;

	(void)state;
	count_start(&c);
	c.w.follower.read_timeout_ms = 4 * c.w.schedule.read_timeout_ms;
	c.lost_reads = 1;
	c.need = CONFIG_NEED_STORE;
	assert_true(await_proof_ms(&c) <=
		    c.w.schedule.read_timeout_ms + 3 * c.w.schedule.check_ms);
	assert_int_equal(c.short_reads, 2);
	count_end(&c);
}

/*
 * A node that took its version from another node doesn't wait for records when
 * it reads the store: that has the version, as far as it knows.
 */
static void
test_read_after_copy_does_not_wait(void **state)
{
	struct read_counts c;
	struct config *copy = calloc(1, sizeof(*copy));

	(void)state;
	assert_non_null(copy);
	count_start(&c);
	copy->version = 7;
	follow_offer_config(&c.w.follower, copy, "n2", 0);
	c.need = CONFIG_NEED_STORE;
	while (c.short_reads + c.close_reads == 0)
		uv_run(&c.w.loop, UV_RUN_ONCE);
	assert_int_equal(c.short_reads, 1);
	count_end(&c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_close_reads_when_needed),
		cmocka_unit_test(test_reads_without_config_wait),
		cmocka_unit_test(test_idle_node_asks_peers_first),
		cmocka_unit_test(test_retry_delay_during_outage),
		cmocka_unit_test(test_proof_time),
		cmocka_unit_test(test_read_timeout_adapts),
		cmocka_unit_test(test_grown_retry_delay_is_cut),
		cmocka_unit_test(test_unanswered_read_is_repeated),
		cmocka_unit_test(test_read_after_copy_does_not_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

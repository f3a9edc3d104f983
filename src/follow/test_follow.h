#ifndef FOLLOW_TEST_FOLLOW_H
#define FOLLOW_TEST_FOLLOW_H

/*
 * A follower on a loop, and callbacks that the tests of followers share.
 */

#define ALARM_S 20

/* Close reads of 1000 ms. */
#define CONFIG_APPLY_MS 4000

/* The store that replies from the table, and counts of callbacks. */
struct world {
	uv_loop_t loop;
	uv_timer_t timer;
	struct follower follower;
	struct follow_schedule schedule;
	size_t step;
	store_reply_fn reply_fn;
	void *reply_ctx;
	uint64_t version;
	int proofs, proofs_expected;
	int configs_accepted;
	size_t peer_queries;
	int appends;
	char appended[32];
	int store_checks;
	int list_events; /* 1 for each list request, 100 for each node */
	int lists_completed;
	int store_lost, store_losses;
	struct store_reply nodes;
};

static void
fake_append(void *ctx, enum store_log log, const char *key, const char *value,
    size_t len, uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	struct world *w = ctx;
	struct store_reply rep;

	(void)timeout;
	assert_int_equal(log, STORE_NODES);
	snprintf(
	    w->appended, sizeof(w->appended), "%s=%.*s", key, (int)len, value);
	memset(&rep, 0, sizeof(rep));
	rep.status = w->appends++ == 0 ? STORE_UNKNOWN : STORE_OK;
	done(done_ctx, &rep);
}

/*
 * Starts the follower of a world.
 */
static void
start_follower(struct world *w, uint32_t address)
{
	follow_schedule_init(&w->schedule, CONFIG_APPLY_MS);
	follow_set_schedule(&w->follower, &w->schedule);
	follow_start(&w->follower, address);
}

static struct config *
decode_version(void *ctx, const char *text, size_t len, struct finds *finds)
{
	struct config *c;

	(void)ctx;
	(void)finds;
	if (len == 0 || text[0] < '0' || text[0] > '9')
		return NULL;
	c = calloc(1, sizeof(*c));
	c->version = strtoull(text, NULL, 10);
	return c;
}

static void
accept_config(void *ctx, struct config *c)
{
	struct world *w = ctx;

	assert_true(c->version > w->version);
	w->version = c->version;
	w->configs_accepted++;
	config_free(c);
}

static void
check_node(void *ctx, const char *name, uint32_t address)
{
	struct world *w = ctx;

	assert_string_equal(name, "n2");
	assert_int_equal(address, 0x7f000002);
	w->list_events += 100;
}

static int
prune_nothing(void *ctx)
{
	(void)ctx;
	return 0;
}

static int
prune_no_node(void *ctx, const char *name)
{
	(void)ctx;
	(void)name;
	return 0;
}

static void
note_store_lost(void *ctx, int lost)
{
	struct world *w = ctx;

	assert_int_not_equal(w->store_lost, lost);
	w->store_lost = lost;
	w->store_losses += lost;
}

static void
close_all(uv_handle_t *h, void *arg)
{
	(void)arg;
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

#endif

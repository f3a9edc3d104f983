#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "follow/follow.h"

/*
 * Tests of the store's list of nodes against a store in memory, which replies
 * in pages and may refuse appends.
 */

#define CONFIG_APPLY_MS 2000
#define ALARM_S 20
#define ENTRIES_MAX 48
#define PAGE_ENTRIES 10
#define OWN_ADDRESS 0x7f000001

struct entry {
	char name[16];
	char value[16]; /* empty: removed */
};

struct world {
	uv_loop_t loop;
	struct follower follower;
	struct follow_schedule schedule;
	struct entry entries[ENTRIES_MAX];
	size_t count;
	char gone_prefix; /* names of nodes that have gone begin so; 0: none */
	int must_prune;
	int refused_appends; /* refuse so many appends from now on */
	int appends, list_reads, added, lists_completed;
};

static struct entry *
find_entry(struct world *w, const char *name)
{
	size_t i;

	for (i = 0; i < w->count; i++)
		if (strcmp(w->entries[i].name, name) == 0)
			return &w->entries[i];
	return NULL;
}

static void
put_entry(struct world *w, const char *name, const char *value, size_t len)
{
	struct entry *e = find_entry(w, name);

	if (e == NULL) {
		assert_true(w->count < ENTRIES_MAX);
		e = &w->entries[w->count++];
	}
	snprintf(e->name, sizeof(e->name), "%s", name);
	snprintf(e->value, sizeof(e->value), "%.*s", (int)len, value);
}

/*
 * Returns the number of entries with a value.
 */
static int
listed_count(const struct world *w)
{
	size_t i;
	int n = 0;

	for (i = 0; i < w->count; i++)
		n += w->entries[i].value[0] != '\0';
	return n;
}

static void
list_newest(void *ctx, enum store_log log, const char *after, uint64_t timeout,
    store_reply_fn done, void *done_ctx)
{
	struct store_record page[PAGE_ENTRIES];
	struct world *w = ctx;
	struct store_reply rep;
	struct entry *e;
	size_t i = 0;

	(void)timeout;
	memset(&rep, 0, sizeof(rep));
	memset(page, 0, sizeof(page));
	rep.records = page;
	if (log == STORE_CONFIG) {
		done(done_ctx, &rep);
		return;
	}
	w->list_reads += after == NULL;
	if (after != NULL)
		i = (size_t)(find_entry(w, after) - w->entries) + 1;
	for (; i < w->count && rep.count < PAGE_ENTRIES; i++) {
		e = &w->entries[i];
		if (e->value[0] == '\0')
			continue;
		page[rep.count].key = e->name;
		page[rep.count].key_len = strlen(e->name);
		page[rep.count].value = e->value;
		page[rep.count++].value_len = strlen(e->value);
	}
	rep.more_keys = i < w->count;
	done(done_ctx, &rep);
}

static void
ignore_read(void *ctx, enum store_log log, uint64_t from, uint64_t wait,
    uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	(void)ctx;
	(void)log;
	(void)from;
	(void)wait;
	(void)timeout;
	(void)done;
	(void)done_ctx;
}

static void
list_append(void *ctx, enum store_log log, const char *key, const char *value,
    size_t len, uint64_t timeout, store_reply_fn done, void *done_ctx)
{
	struct store_reply rep;
	struct world *w = ctx;

	(void)timeout;
	assert_int_equal(log, STORE_NODES);
	memset(&rep, 0, sizeof(rep));
	w->appends++;
	if (w->refused_appends > 0) {
		w->refused_appends--;
		rep.status = STORE_REFUSED;
	} else {
		put_entry(w, key, value != NULL ? value : "", len);
	}
	done(done_ctx, &rep);
}

static const struct store_ops list_store = { list_newest, ignore_read,
	list_append, NULL };

static struct config *
decode_nothing(void *ctx, const char *text, size_t len, struct finds *finds)
{
	(void)ctx;
	(void)text;
	(void)len;
	(void)finds;
	return NULL;
}

static void
ignore_config(void *ctx, struct config *c)
{
	(void)ctx;
	config_free(c);
}

static void
ignore_proof(void *ctx, uint64_t proof_ms)
{
	(void)ctx;
	(void)proof_ms;
}

static int
answer_no(void *ctx)
{
	(void)ctx;
	return 0;
}

static enum config_need
need_nothing(void *ctx)
{
	(void)ctx;
	return CONFIG_NEED_NOTHING;
}

static void
ignore_query(void *ctx)
{
	(void)ctx;
}

static void
count_node(void *ctx, const char *name, uint32_t address)
{
	(void)name;
	(void)address;
	((struct world *)ctx)->added++;
}

static void
count_list(void *ctx)
{
	struct world *w = ctx;

	w->lists_completed++;
	w->must_prune = 0;
}

static int
must_prune(void *ctx)
{
	return ((struct world *)ctx)->must_prune;
}

static int
is_gone(void *ctx, const char *name)
{
	return name[0] == ((struct world *)ctx)->gone_prefix;
}

static void
ignore_store_lost(void *ctx, int lost)
{
	(void)ctx;
	(void)lost;
}

static const struct follow_ops follow_ops = { decode_nothing, ignore_config,
	ignore_proof, answer_no, need_nothing, ignore_query, count_node,
	count_list, must_prune, is_gone, ignore_store_lost };

static void
close_all(uv_handle_t *h, void *arg)
{
	(void)arg;
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

/*
 * Starts a node on a store that lists old and new nodes, and runs the loop
 * until the node has read the list.
 */
static void
world_start(struct world *w, int old_nodes, int new_nodes)
{
	char name[16];
	int i;

	alarm(ALARM_S);
	memset(w, 0, sizeof(*w));
	for (i = 0; i < old_nodes; i++) {
		snprintf(name, sizeof(name), "old%d", i);
		put_entry(w, name, "127.0.0.9", 9);
	}
	for (i = 0; i < new_nodes; i++) {
		snprintf(name, sizeof(name), "new%d", i);
		put_entry(w, name, "127.0.0.8", 9);
	}
	uv_loop_init(&w->loop);
	follow_init(&w->follower, &w->loop, &list_store, w, &follow_ops, w,
	    "config", "self");
	follow_schedule_init(&w->schedule, CONFIG_APPLY_MS);
	follow_set_schedule(&w->follower, &w->schedule);
	follow_start(&w->follower, OWN_ADDRESS);
	while (w->lists_completed == 0)
		uv_run(&w->loop, UV_RUN_ONCE);
}

static void
world_finish(struct world *w)
{
	uv_walk(&w->loop, close_all, NULL);
	uv_run(&w->loop, UV_RUN_DEFAULT);
	uv_loop_close(&w->loop);
}

/*
 * Restart without a quorum: the list keeps nodes that no longer exist.  The
 * node that prunes removes all of them, also more than one pass can remove,
 * and in spite of refused appends.  All others stay listed.
 */
static void
test_gone_nodes_leave_list(void **state)
{
	struct world w;

	(void)state;
	world_start(&w, 20, 14);
	assert_int_equal(listed_count(&w), 35);
	w.gone_prefix = 'o';
	w.must_prune = 1;
	w.refused_appends = 1;
	w.lists_completed = 0;
	while (w.lists_completed == 0)
		uv_run(&w.loop, UV_RUN_ONCE);
	assert_int_equal(listed_count(&w), 15);
	assert_string_equal(find_entry(&w, "self")->value, "127.0.0.1");
	assert_string_equal(find_entry(&w, "new13")->value, "127.0.0.8");
	world_finish(&w);
}

/*
 * A node that has nothing to remove doesn't read the list again soon, and
 * appends nothing.
 */
static void
test_list_is_read_once(void **state)
{
	struct world w;
	int reads, appends;
	uint64_t end_ms;

	(void)state;
	world_start(&w, 2, 3);
	reads = w.list_reads;
	appends = w.appends;
	end_ms = uv_now(&w.loop) + 2500;
	while (uv_now(&w.loop) < end_ms)
		uv_run(&w.loop, UV_RUN_ONCE);
	assert_int_equal(w.list_reads, reads);
	assert_int_equal(w.appends, appends);
	world_finish(&w);
}

/*
 * A node that was removed from the list although it lives registers again when
 * it next reads the list.
 */
static void
test_removed_node_registers_again(void **state)
{
	struct world w;

	(void)state;
	world_start(&w, 0, 3);
	put_entry(&w, "self", "", 0);
	w.lists_completed = 0;
	w.follower.nodes_listed_ms -= 60000;
	while (w.lists_completed == 0)
		uv_run(&w.loop, UV_RUN_ONCE);
	assert_string_equal(find_entry(&w, "self")->value, "127.0.0.1");
	assert_int_equal(listed_count(&w), 4);
	world_finish(&w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gone_nodes_leave_list),
		cmocka_unit_test(test_list_is_read_once),
		cmocka_unit_test(test_removed_node_registers_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

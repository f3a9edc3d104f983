#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "base/loopclock.h"
#include "event/event.h"
#include "follow/follow_int.h"

/*
 * The store's list of nodes.  A node reads it at its start and registers there.
 * Later it reads the list again at long intervals, for nodes that it has
 * missed and in case it was removed itself, and when it has to remove others.
 */

#define APPEND_TIMEOUT_MS 1500
#define NODES_RETRY_MS 200     /* first delay, doubled with each failure */
#define CHECK_INTERVAL_MS 1000 /* between checks whether to read the list */
#define REREAD_INTERVAL_MS 60000

static void request_list(uv_timer_t *);
static void check_list(uv_timer_t *);
static void on_register_reply(void *, const struct store_reply *);
static void on_list_reply(void *, const struct store_reply *);
static void on_remove_reply(void *, const struct store_reply *);
static void apply_entry(struct follower *, const struct store_record *);
static void finish_list(struct follower *);
static void remove_next(struct follower *);
static void retry_list(struct follower *);

/*
 * Starts to read the list.
 */
void
node_list_start(struct follower *f)
{
	uv_timer_start(&f->nodes_timer, request_list, 0, 0);
}

/*
 * Reads the list of nodes, or registers this node if the list lacks it.  The
 * list is read again after the registration: in this order, of two nodes that
 * start together at least the later one sees the other.
 */
static void
request_list(uv_timer_t *timer)
{
	struct follower *f = timer->data;

	f->removal_count = 0;
	if (f->registration_needed)
		f->store->append(f->store_ctx, STORE_NODES, f->node_name,
		    f->address, strlen(f->address), APPEND_TIMEOUT_MS,
		    on_register_reply, f);
	else
		f->store->read_newest(f->store_ctx, STORE_NODES, NULL,
		    FOLLOW_NEWEST_TIMEOUT_MS, on_list_reply, f);
}

/*
 * Reads the list again if nodes must be removed from it, if the store may have
 * lost entries, or after a long time.
 */
static void
check_list(uv_timer_t *timer)
{
	struct follower *f = timer->data;

	if (loop_ms(f->loop) - f->nodes_listed_ms < REREAD_INTERVAL_MS &&
	    f->nodes_era == f->store_era && !f->ops->must_prune(f->ctx)) {
		uv_timer_start(timer, check_list, CHECK_INTERVAL_MS, 0);
		return;
	}
	f->registered = 0;
	request_list(timer);
}

/*
 * Schedules a retry after a failed request for the list of nodes.
 */
static void
retry_list(struct follower *f)
{
	uv_timer_start(&f->nodes_timer, request_list,
	    follow_retry_delay_ms(
		NODES_RETRY_MS, f->nodes_failures, FOLLOW_RETRY_DOUBLINGS),
	    0);
	f->nodes_failures++;
}

/*
 * Reads the list of nodes again if the registration succeeded, or else
 * retries.
 */
static void
on_register_reply(void *ctx, const struct store_reply *reply)
{
	struct follower *f = ctx;

	follow_note_era(f, reply);
	if (reply->status != STORE_OK) {
		retry_list(f);
		return;
	}
	f->registration_needed = 0;
	f->registered = 1;
	node_list_start(f);
}

/*
 * Reports a listed node, or notes that it must be removed.  Ignores an invalid
 * entry.
 */
static void
apply_entry(struct follower *f, const struct store_record *record)
{
	char name[CONFIG_NAME_MAX + 1], text[sizeof(f->address)];
	struct in_addr a;

	if (record->value == NULL || record->value_len >= sizeof(text) ||
	    record->key_len >= sizeof(name)) {
		f->bad_records++;
		return;
	}
	snprintf(name, sizeof(name), "%.*s", (int)record->key_len, record->key);
	snprintf(
	    text, sizeof(text), "%.*s", (int)record->value_len, record->value);
	if (strcmp(name, f->node_name) == 0) {
		f->registered |= strcmp(text, f->address) == 0;
	} else if (inet_pton(AF_INET, text, &a) != 1) {
		f->bad_records++;
	} else if (f->ops->is_prunable(f->ctx, name)) {
		if (f->removal_count < FOLLOW_REMOVALS_MAX)
			memcpy(f->removals[f->removal_count++], name,
			    sizeof(name));
	} else {
		f->ops->add_node(f->ctx, name, ntohl(a.s_addr));
	}
}

/*
 * Applies a part of the list and requests the next part.  At the end of the
 * list, registers this node if it is not listed with its address, and removes
 * the nodes that have gone.
 */
static void
on_list_reply(void *ctx, const struct store_reply *reply)
{
	struct follower *f = ctx;
	const struct store_record *last;
	char name[CONFIG_NAME_MAX + 1];
	size_t i;

	follow_note_era(f, reply);
	if (reply->status != STORE_OK) {
		retry_list(f);
		return;
	}
	/* What was written in an earlier era may be lost. */
	if (f->nodes_era != f->store_era) {
		f->nodes_era = f->store_era;
		f->registered = 0;
	}
	for (i = 0; i < reply->count; i++)
		apply_entry(f, &reply->records[i]);
	if (reply->more_keys && reply->count > 0) {
		last = &reply->records[reply->count - 1];
		snprintf(
		    name, sizeof(name), "%.*s", (int)last->key_len, last->key);
		f->store->read_newest(f->store_ctx, STORE_NODES, name,
		    FOLLOW_NEWEST_TIMEOUT_MS, on_list_reply, f);
		return;
	}
	if (!f->registered) {
		f->registration_needed = 1;
		node_list_start(f);
	} else if (f->removal_count > 0) {
		remove_next(f);
	} else {
		finish_list(f);
	}
}

/*
 * Reports that the list is complete and schedules the next check.
 */
static void
finish_list(struct follower *f)
{
	f->nodes_failures = 0;
	f->nodes_listed_ms = loop_ms(f->loop);
	f->ops->nodes_listed(f->ctx);
	uv_timer_start(&f->nodes_timer, check_list, CHECK_INTERVAL_MS, 0);
}

/*
 * Removes the next node from the list: an entry without a value.
 */
static void
remove_next(struct follower *f)
{
	f->store->append(f->store_ctx, STORE_NODES,
	    f->removals[f->removal_count - 1], NULL, 0, APPEND_TIMEOUT_MS,
	    on_remove_reply, f);
}

/*
 * Removes the next node, or reads the list again to see what is left.
 */
static void
on_remove_reply(void *ctx, const struct store_reply *reply)
{
	struct follower *f = ctx;

	follow_note_era(f, reply);
	if (reply->status != STORE_OK) {
		retry_list(f);
		return;
	}
	event_log(EVENT_NODE_DELISTED, loop_ms(f->loop), "peer=%s",
	    f->removals[--f->removal_count]);
	if (f->removal_count > 0)
		remove_next(f);
	else
		node_list_start(f);
}

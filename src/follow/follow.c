#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/loopclock.h"
#include "event/event.h"
#include "follow/follow_int.h"

#define LONG_READ_WAIT_MS 15000 /* until there is a configuration */
#define IDLE_READ_MS 60000	/* longest time without any read */
/* The timeout of reads is doubled as often while the store is slow. */
#define READ_TIMEOUT_DOUBLINGS 2
#define OUTAGE_RETRY_DOUBLINGS 5 /* while an outage does no harm */

static void request_config(uv_timer_t *);
static void on_newest_reply(void *, const struct store_reply *);
static void on_short_newest_reply(void *, const struct store_reply *);
static void on_read_reply(void *, const struct store_reply *);
static void retry_config(struct follower *, const struct store_reply *);
static void resume_config(struct follower *);
static void apply_record(struct follower *, const struct store_record *);
static void apply_newest(struct follower *, const struct store_reply *);
static void apply_records(
    struct follower *, const struct store_reply *, uint64_t);
static void on_short_read_timer(uv_timer_t *);
static void on_short_read_reply(void *, const struct store_reply *);
static void adapt_read_timeout(
    struct follower *, const struct store_reply *, uint64_t);
static int is_outage_tolerable(const struct follower *);
static struct follow_short_read *find_unused_read(struct follower *);
static int is_short_read_due(const struct follower *);
static void send_short_read(struct follower *, struct follow_short_read *);

static const char *const status_names[STORE_STATUS_MAX] = {
	[STORE_OK] = "ok",
	[STORE_TRIMMED] = "trimmed",
	[STORE_REFUSED] = "refused",
	[STORE_UNKNOWN] = "no-answer",
};

/*
 * Initializes a follower.  config_key is the key of configurations in the
 * store, and node is the name under which this node is registered.  Both must
 * outlive the follower.
 */
void
follow_init(struct follower *f, uv_loop_t *loop, const struct store_ops *store,
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
	f->node_name = node;
	uv_timer_init(loop, &f->config_timer);
	f->config_timer.data = f;
	uv_timer_init(loop, &f->short_read_timer);
	f->short_read_timer.data = f;
	uv_timer_init(loop, &f->nodes_timer);
	f->nodes_timer.data = f;
}

/*
 * Sets when the store is read.  The schedule must outlive the follower; its
 * times may change.
 */
void
follow_set_schedule(struct follower *f, const struct follow_schedule *schedule)
{
	f->schedule = schedule;
	f->read_timeout_ms = schedule->read_timeout_ms;
}

/*
 * Starts to follow the store.  address is the IPv4 address of this node in
 * host order.
 */
void
follow_start(struct follower *f, uint32_t address)
{
	struct in_addr a;

	a.s_addr = htonl(address);
	inet_ntop(AF_INET, &a, f->address, sizeof(f->address));
	uv_timer_start(&f->config_timer, request_config, 0, 0);
	node_list_start(f);
	uv_timer_start(&f->short_read_timer, on_short_read_timer,
	    f->schedule->check_ms, f->schedule->check_ms);
}

/*
 * Notes the era in a reply of the store.  A new one means that the store has
 * been restored without its newest records, so that offsets and the list of
 * nodes from an earlier era are invalid.
 */
void
follow_note_era(struct follower *f, const struct store_reply *reply)
{
	if (reply->era == 0 || reply->era == f->store_era)
		return;
	if (f->store_era != 0)
		event_log(EVENT_STORE_RESTORED, loop_ms(f->loop),
		    "era=%llu before=%llu version=%llu next=%llu",
		    (unsigned long long)reply->era,
		    (unsigned long long)f->store_era,
		    (unsigned long long)f->version,
		    (unsigned long long)f->next_offset);
	f->store_era = reply->era;
}

/*
 * Returns 1 if the next offset is one of an earlier era of the store.
 */
static int
is_offset_outdated(const struct follower *f)
{
	return f->config_era != f->store_era;
}

/*
 * Records whether the store, which has been read to its end, lacks the version
 * in force.  Such a store has lost records, and can't prove which version is
 * the newest before operators have written that again.
 */
static void
note_end_of_log(struct follower *f)
{
	f->store_behind = f->stored_version < f->version;
}

/*
 * Returns 1 if the records of a reply continue those read so far.  read_era is
 * the era of the offset from which they were read.
 */
static int
continues_log(const struct follower *f, uint64_t read_era)
{
	return !is_offset_outdated(f) && read_era == f->config_era;
}

/*
 * Checks whether the store must be read at once, and starts a short read if so,
 * also beside a long one: that may hang on a dead connection, or may have
 * started before this node became a close reader.  The check also runs during
 * an outage of the store, because the owner queries its peers in that callback.
 */
static void
on_short_read_timer(uv_timer_t *timer)
{
	struct follower *f = timer->data;
	enum config_need need = f->ops->config_need(f->ctx);
	uint64_t now = loop_ms(f->loop);
	struct follow_short_read *r;

	uv_timer_set_repeat(timer, f->schedule->check_ms);
	f->query_needed = need == CONFIG_NEED_STORE ||
			  (f->idle && now - f->replied_ms >= IDLE_READ_MS);
	if (need == CONFIG_NEED_PEER || (f->query_needed && f->store_lost))
		f->ops->query_peers(f->ctx);
	if (f->idle && f->ops->follows_closely(f->ctx)) {
		f->idle = 0;
		uv_timer_start(&f->config_timer, request_config, 0, 0);
		return;
	}
	/* The retry was delayed while no read was needed. */
	if (f->query_needed && uv_is_active((uv_handle_t *)&f->config_timer) &&
	    now - f->config_failed_ms >= f->schedule->retry_max_ms)
		uv_timer_start(&f->config_timer, request_config, 0, 0);
	r = find_unused_read(f);
	if (r != NULL && is_short_read_due(f))
		send_short_read(f, r);
}

/*
 * Returns an unused short read, or NULL.
 */
static struct follow_short_read *
find_unused_read(struct follower *f)
{
	size_t i;

	for (i = 0; i < FOLLOW_SHORT_READS_MAX; i++)
		if (f->short_reads[i].follower == NULL)
			return &f->short_reads[i];
	return NULL;
}

/*
 * Returns 1 if a short read must be sent now.  One without a reply is repeated,
 * and so is a main read that should have been answered at once.
 */
static int
is_short_read_due(const struct follower *f)
{
	uint64_t now = loop_ms(f->loop);

	if (now < f->short_read_due_ms ||
	    uv_is_active((const uv_handle_t *)&f->config_timer))
		return 0;
	if (f->query_needed || is_offset_outdated(f))
		return f->idle ||
		       (f->phase == FOLLOW_READ && f->read_wait_ms > 0) ||
		       now - f->read_sent_ms >= f->schedule->read_timeout_ms;
	return f->phase == FOLLOW_READ &&
	       f->read_wait_ms >= LONG_READ_WAIT_MS &&
	       f->ops->follows_closely(f->ctx);
}

/*
 * Sends a short read.  Connections that are idle may be as dead as that of a
 * read in flight.
 */
static void
send_short_read(struct follower *f, struct follow_short_read *r)
{
	r->follower = f;
	r->era = f->config_era;
	r->wait_ms = f->query_needed && !f->store_behind
			 ? 0
			 : f->schedule->close_wait_ms;
	f->short_read_due_ms =
	    loop_ms(f->loop) + r->wait_ms + f->schedule->read_timeout_ms;
	if (f->store->drop_idle != NULL &&
	    (!f->idle || find_unused_read(f) == NULL))
		f->store->drop_idle(f->store_ctx);
	if (f->phase == FOLLOW_NEWEST || is_offset_outdated(f))
		f->store->read_newest(f->store_ctx, STORE_CONFIG, NULL,
		    FOLLOW_NEWEST_TIMEOUT_MS, on_short_newest_reply, r);
	else
		f->store->read(f->store_ctx, STORE_CONFIG, f->next_offset,
		    r->wait_ms, r->wait_ms + f->read_timeout_ms,
		    on_short_read_reply, r);
}

/*
 * Ends a short read.  The next one may be sent at once if it succeeded.
 * Otherwise the main read is repeated, unless it is still in flight.
 */
static struct follower *
end_short_read(struct follow_short_read *r, const struct store_reply *reply)
{
	struct follower *f = r->follower;

	r->follower = NULL;
	follow_note_era(f, reply);
	if (reply->status == STORE_OK) {
		f->short_read_due_ms = 0;
	} else if (f->idle) {
		f->idle = 0;
		retry_config(f, reply);
	}
	return f;
}

/*
 * Handles the reply to a short read.
 */
static void
on_short_read_reply(void *ctx, const struct store_reply *reply)
{
	struct follow_short_read *r = ctx;
	struct follower *f = end_short_read(r, reply);

	adapt_read_timeout(f, reply, r->wait_ms);
	if (reply->status == STORE_OK && continues_log(f, r->era))
		apply_records(f, reply, r->wait_ms);
}

/*
 * Handles the reply to a short read of the newest record of each key.
 */
static void
on_short_newest_reply(void *ctx, const struct store_reply *reply)
{
	struct follower *f = end_short_read(ctx, reply);

	if (reply->status == STORE_OK)
		apply_newest(f, reply);
}

/*
 * Returns the latest time at which a reply without records was certainly true.
 * The store delays an empty reply by wait_ms.  A reply that took at least as
 * long was made at the end of that time; one that came sooner was made after
 * the request was sent.
 */
uint64_t
follow_proof_ms(uint64_t asked_ms, uint64_t wait_ms, uint64_t now_ms)
{
	return now_ms >= asked_ms + wait_ms ? asked_ms + wait_ms : asked_ms;
}

/*
 * Returns the timeout of the next read, beyond its wait time, from that of the
 * last one.  It doubles with each timeout and falls again as the store responds
 * faster.  took_ms is how long the response took beyond the wait time.
 */
uint64_t
follow_read_timeout_ms(const struct follow_schedule *schedule, uint64_t last_ms,
    uint64_t took_ms, int timed_out)
{
	uint64_t max = schedule->read_timeout_ms << READ_TIMEOUT_DOUBLINGS;
	uint64_t ms = 2 * (timed_out ? last_ms : took_ms);

	if (ms < schedule->read_timeout_ms)
		return schedule->read_timeout_ms;
	return ms < max ? ms : max;
}

/*
 * Adapts the timeout of reads to a reply to a read with the given wait time.
 */
static void
adapt_read_timeout(
    struct follower *f, const struct store_reply *reply, uint64_t wait_ms)
{
	uint64_t took_ms = loop_ms(f->loop) - reply->request_sent_ms;

	f->read_timeout_ms = follow_read_timeout_ms(f->schedule,
	    f->read_timeout_ms, took_ms > wait_ms ? took_ms - wait_ms : 0,
	    reply->status == STORE_UNKNOWN);
}

/*
 * Returns the delay before the next retry.  The delay doubles with each of the
 * first failures, as often as doublings says.
 */
uint64_t
follow_retry_delay_ms(uint64_t first_ms, uint32_t failures, uint32_t doublings)
{
	return first_ms << (failures < doublings ? failures : doublings);
}

/*
 * Returns 1 if an outage of the store does no harm: other nodes read the store
 * closely, this node has a configuration, and no reason to read the store is
 * known.
 */
static int
is_outage_tolerable(const struct follower *f)
{
	return f->version > 0 && f->phase == FOLLOW_READ && !f->query_needed &&
	       !f->ops->follows_closely(f->ctx);
}

/*
 * Returns the wait time of a reader's next read.  It ends as soon as the last
 * proof is as old as the schedule allows: a read that returned records proves
 * nothing later than its start, and a new reader has no proof yet.  A read that
 * can prove nothing waits for a record.
 */
static uint64_t
close_wait_ms(const struct follower *f)
{
	uint64_t age_ms = loop_ms(f->loop) - f->proved_ms;

	if (f->version == 0 || f->store_behind)
		return f->schedule->close_wait_ms;
	return age_ms < f->schedule->close_wait_ms
		   ? f->schedule->close_wait_ms - age_ms
		   : 0;
}

/*
 * Records a proof that the configuration in force is the newest.
 */
static void
record_proof(struct follower *f, uint64_t proof_ms)
{
	f->proved_ms = proof_ms;
	f->ops->record_proof(f->ctx, proof_ms);
}

/*
 * Requests the newest configuration or, once that is known, the next records.
 * While other nodes read the store closely, this one reads nothing: it hears
 * from them of a newer version, and that they know of none.
 */
static void
request_config(uv_timer_t *timer)
{
	struct follower *f = timer->data;

	f->read_sent_ms = loop_ms(f->loop);
	if (is_offset_outdated(f))
		f->phase = FOLLOW_NEWEST;
	if (f->phase == FOLLOW_NEWEST) {
		f->store->read_newest(f->store_ctx, STORE_CONFIG, NULL,
		    FOLLOW_NEWEST_TIMEOUT_MS, on_newest_reply, f);
		return;
	}
	if (f->config_failures == 0 && f->version > 0 &&
	    !f->ops->follows_closely(f->ctx)) {
		f->idle = 1;
		f->read_wait_ms = LONG_READ_WAIT_MS;
		return;
	}
	/* After a failure a read without a wait detects recovery sooner. */
	f->read_wait_ms = f->config_failures > 0	    ? 0
			  : f->ops->follows_closely(f->ctx) ? close_wait_ms(f)
							    : LONG_READ_WAIT_MS;
	f->read_era = f->config_era;
	f->store->read(f->store_ctx, STORE_CONFIG, f->next_offset,
	    f->read_wait_ms, f->read_wait_ms + f->read_timeout_ms,
	    on_read_reply, f);
}

/*
 * Returns the delay before the next retry.
 */
static uint64_t
config_retry_delay_ms(const struct follower *f)
{
	uint64_t ms;

	if (is_outage_tolerable(f))
		return follow_retry_delay_ms(FOLLOW_RETRY_MS,
		    f->config_failures, OUTAGE_RETRY_DOUBLINGS);
	ms = follow_retry_delay_ms(
	    FOLLOW_RETRY_MS, f->config_failures, FOLLOW_RETRY_DOUBLINGS);
	return ms < f->schedule->retry_max_ms ? ms : f->schedule->retry_max_ms;
}

/*
 * Logs the start of an outage, schedules a retry, and queries the peers.
 */
static void
retry_config(struct follower *f, const struct store_reply *reply)
{
	if (!f->store_lost) {
		f->store_lost = 1;
		f->ops->store_lost(f->ctx, 1);
		event_log(EVENT_STORE_LOST, loop_ms(f->loop),
		    "status=%s phase=%d version=%llu next=%llu",
		    status_names[reply->status], (int)f->phase,
		    (unsigned long long)f->version,
		    (unsigned long long)f->next_offset);
	}
	if (reply->status == STORE_TRIMMED)
		f->phase = FOLLOW_NEWEST;
	uv_timer_start(
	    &f->config_timer, request_config, config_retry_delay_ms(f), 0);
	f->config_failed_ms = loop_ms(f->loop);
	f->config_failures++;
	f->ops->query_peers(f->ctx);
}

/*
 * Logs the end of an outage and sends the next request.
 */
static void
resume_config(struct follower *f)
{
	if (f->store_lost) {
		event_log(EVENT_STORE_REGAINED, loop_ms(f->loop),
		    "version=%llu failures=%u", (unsigned long long)f->version,
		    f->config_failures);
		f->ops->store_lost(f->ctx, 0);
	}
	f->store_lost = 0;
	f->config_failures = 0;
	uv_timer_start(&f->config_timer, request_config, 0, 0);
}

/*
 * Offers the configuration in a record of the log.  A record with another key,
 * an invalid one, or one that is not newer than the version in force changes
 * nothing.
 */
static void
apply_record(struct follower *f, const struct store_record *record)
{
	uint64_t now = loop_ms(f->loop);
	struct finds finds;
	struct config *c;

	if (record->value == NULL || record->key_len != strlen(f->config_key) ||
	    memcmp(record->key, f->config_key, record->key_len) != 0)
		return;
	finds_init(&finds);
	c = f->ops->decode(f->ctx, record->value, record->value_len, &finds);
	if (c == NULL) {
		f->bad_records++;
		event_log(EVENT_CONFIG_INVALID, now,
		    "offset=%llu findings=%zu first=\"%s\" at=%s",
		    (unsigned long long)record->offset, finds.count,
		    finds.count > 0 ? finds.list[0].text : "",
		    finds.count > 0 ? finds.list[0].place : "/");
		/* Without a version it can't show that the store is behind. */
		if (f->stored_version < f->version)
			f->stored_version = f->version;
	} else {
		if (f->stored_version < c->version)
			f->stored_version = c->version;
		follow_offer_config(f, c, "store", record->offset);
	}
	finds_finish(&finds);
}

/*
 * Puts a configuration into force if it is newer than the current one, or else
 * frees it.  source is "store", with the offset of the record, or the name of
 * the node that sent it.
 */
void
follow_offer_config(
    struct follower *f, struct config *c, const char *source, uint64_t offset)
{
	uint64_t now = loop_ms(f->loop);

	if (c->version <= f->version) {
		if (c->version < f->version)
			event_log(EVENT_CONFIG_OUTDATED, now,
			    "source=%s offset=%llu version=%llu in_force=%llu",
			    source, (unsigned long long)offset,
			    (unsigned long long)c->version,
			    (unsigned long long)f->version);
		config_free(c);
		return;
	}
	event_log(EVENT_CONFIG_IN_FORCE, now,
	    "version=%llu before=%llu source=%s offset=%llu routes=%zu "
	    "workspaces=%zu keys=%zu",
	    (unsigned long long)c->version, (unsigned long long)f->version,
	    source, (unsigned long long)offset, c->route_count, c->ws_count,
	    c->key_count);
	f->version = c->version;
	f->ops->apply_config(f->ctx, c);
}

/*
 * Applies the newest record of each key.  Later reads go on after them.
 */
static void
apply_newest(struct follower *f, const struct store_reply *reply)
{
	size_t i;

	f->stored_version = 0;
	for (i = 0; i < reply->count; i++)
		apply_record(f, &reply->records[i]);
	f->next_offset = reply->end_offset;
	f->config_era = f->store_era;
	f->replied_ms = loop_ms(f->loop);
	note_end_of_log(f);
	if (f->version > 0 && !f->store_behind)
		record_proof(f, reply->request_sent_ms);
}

/*
 * Applies the newest record of each key and sends the next request.
 */
static void
on_newest_reply(void *ctx, const struct store_reply *reply)
{
	struct follower *f = ctx;

	follow_note_era(f, reply);
	if (reply->status != STORE_OK) {
		retry_config(f, reply);
		return;
	}
	apply_newest(f, reply);
	f->phase = FOLLOW_READ;
	resume_config(f);
}

/*
 * Applies the records of a reply to a read with the given wait time.
 */
static void
apply_records(
    struct follower *f, const struct store_reply *reply, uint64_t wait_ms)
{
	uint64_t next = f->next_offset;
	size_t i;

	f->replied_ms = loop_ms(f->loop);
	for (i = 0; i < reply->count; i++) {
		apply_record(f, &reply->records[i]);
		next = reply->records[i].offset + 1;
	}
	if (next > f->next_offset)
		f->next_offset = next;
	if (f->next_offset < reply->end_offset)
		return;
	note_end_of_log(f);
	if (f->version > 0 && !f->store_behind)
		record_proof(f, reply->count > 0
				    ? reply->request_sent_ms
				    : follow_proof_ms(reply->request_sent_ms,
					  wait_ms, loop_ms(f->loop)));
}

/*
 * Applies the records of a reply and sends the next request.  Records that
 * don't continue the log are left to that request.
 */
static void
on_read_reply(void *ctx, const struct store_reply *reply)
{
	struct follower *f = ctx;

	follow_note_era(f, reply);
	adapt_read_timeout(f, reply, f->read_wait_ms);
	if (reply->status != STORE_OK) {
		retry_config(f, reply);
		return;
	}
	if (continues_log(f, f->read_era))
		apply_records(f, reply, f->read_wait_ms);
	resume_config(f);
}

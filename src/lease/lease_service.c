#include <err.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/logline.h"
#include "lease/lease_service.h"

/* Intervals between two reads of the stream, by the role of the node. */
#define POLL_MS 500	    /* nodes that are or may become owner or standby */
#define POLL_URGENT_MS 50   /* stopping nodes; standbys asked as owner */
#define POLL_WATCH_MS 1000  /* other nodes while an owner is unreachable */
#define POLL_IDLE_MS 5000   /* other nodes */
#define POLL_JITTER_MS 1000 /* spreads the reads of other nodes */
#define HEARTBEAT_INTERVAL_MS 500
#define READ_RECORDS_MAX 500 /* records per read */
#define READ_TIMEOUT_MS 3000 /* long, to tolerate a slow log */
#define APPEND_TIMEOUT_MS 3000
#define CLAIMS_MAX 8 /* appended per round */
/* The interval between snapshots is 1/4 of the log's retention or longer. */
#define SNAPSHOT_RETENTION_DIVISOR 4
#define SNAPSHOT_INTERVAL_MIN_MS 10000 /* with a short retention */
#define SNAPSHOT_STEP_MS 1000	       /* between turns of nodes to write one */

static void *run_log_thread(void *);
static void *run_heartbeat_thread(void *);
static void sleep_ms(struct lease_service *, uint64_t);
static int may_hold_lease(struct lease_service *);
static uint64_t poll_ms(struct lease_service *);
static int wait_poll(struct lease_service *, uint64_t);
static void log_apply_result(const struct lease_service *, enum lease_result,
    const struct logsvc_record *);
static int apply_batch(
    struct lease_service *, const struct logsvc_batch *, uint64_t);
static int read_stream(struct lease_service *);
static int append_record(struct lease_service *, const char *);
static int append_claim(struct lease_service *, const struct lease_claim *);
static size_t decide_and_append(struct lease_service *);
static int snapshot_due(struct lease_service *, uint64_t);
static int write_table_record(struct lease_service *);
static size_t count_held(struct lease_service *);
static size_t count_owned(const struct lease_table *);

/*
 * Starts the threads that read the stream and maintain this node's leases.
 * Returns 0, or -1 if a thread can't be started.
 */
int
lease_service_init(struct lease_service *s, const struct lease_config *cfg)
{
	pthread_condattr_t attr;

	memset(s, 0, sizeof(*s));
	s->cfg = *cfg;
	pthread_mutex_init(&s->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&s->wake, &attr);
	pthread_condattr_destroy(&attr);
	lease_init(&s->table, &cfg->self,
	    cfg->long_ms != 0 ? cfg->long_ms : LEASE_LONG_MS);
	lease_decider_init(&s->decider);
	s->members = calloc(LEASE_MEMBERS_MAX, sizeof(*s->members));
	s->published = malloc(sizeof(*s->published));
	if (s->members == NULL || s->published == NULL)
		err(1, "lease: cannot allocate the service");
	*s->published = s->table;
	s->started_ms = clock_ms();
	s->jitter_ms = rand_u64() % (LEASE_PARTS * SNAPSHOT_STEP_MS);
	if (pthread_create(&s->log_thread, NULL, run_log_thread, s) != 0)
		return -1;
	if (pthread_create(
		&s->heartbeat_thread, NULL, run_heartbeat_thread, s) != 0)
		return -1;
	return 0;
}

/*
 * Stops the threads and frees the service.  The RPC server must no longer call
 * its procedures.
 */
void
lease_service_finish(struct lease_service *s)
{
	pthread_mutex_lock(&s->lock);
	s->stop = 1;
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
	pthread_join(s->log_thread, NULL);
	pthread_join(s->heartbeat_thread, NULL);
	synchronize_rcu();
	free(s->published);
	free(s->members);
	lease_finish(&s->table);
	pthread_cond_destroy(&s->wake);
	pthread_mutex_destroy(&s->lock);
}

/*
 * Publishes a copy of the table to the request threads.  On return no thread
 * uses an older copy.
 */
void
lease_publish(struct lease_service *s)
{
	struct lease_table *fresh = malloc(sizeof(*fresh)), *old;

	if (fresh == NULL)
		err(1, "lease: cannot allocate a copy of the table");
	pthread_mutex_lock(&s->lock);
	*fresh = s->table;
	fresh->pending = NULL;
	old = s->published;
	rcu_assign_pointer(s->published, fresh);
	pthread_mutex_unlock(&s->lock);
	synchronize_rcu();
	free(old);
}

/*
 * Describes a partition (lease_lookup_fn).  Takes no lock; the calling thread
 * must be registered with RCU.
 */
void
lease_service_lookup(
    void *ctx, uint32_t part, uint64_t now_ms, struct lease_view *v)
{
	struct lease_service *s = ctx;

	rcu_read_lock();
	lease_view(rcu_dereference(s->published), part, now_ms, v);
	rcu_read_unlock();
}

/*
 * Requests an early read of the stream.  Called when an owner is unreachable.
 */
void
lease_service_poll_soon(struct lease_service *s)
{
	pthread_mutex_lock(&s->lock);
	s->poll_soon = 1;
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Requests an immediate read of the stream.  Called when a request for the
 * owner reaches this node, the standby: a claim that makes it the owner may be
 * in the log.
 */
void
lease_service_poll_now(struct lease_service *s)
{
	pthread_mutex_lock(&s->lock);
	s->poll_now = 1;
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Hands all partitions over before a planned stop.  Waits up to timeout_ms.
 * Returns 0, or -1 if this node still owns partitions.
 */
int
lease_service_hand_over(struct lease_service *s, uint32_t timeout_ms)
{
	uint64_t end = clock_ms() + timeout_ms;
	size_t n;

	pthread_mutex_lock(&s->lock);
	s->decider.stopping = 1;
	s->poll_soon = 1;
	pthread_cond_broadcast(&s->wake);
	while ((n = count_owned(&s->table)) > 0 && clock_ms() < end)
		sleep_ms(s, POLL_MS / 10);
	pthread_mutex_unlock(&s->lock);
	return n == 0 ? 0 : -1;
}

/*
 * Waits up to timeout_ms until this leaving node is neither owner nor standby
 * of any partition.  Returns 0, or -1 if it still is.
 */
int
lease_service_wait_released(struct lease_service *s, uint32_t timeout_ms)
{
	uint64_t end = clock_ms() + timeout_ms;
	size_t n;

	pthread_mutex_lock(&s->lock);
	while ((n = count_held(s)) > 0 && clock_ms() < end)
		sleep_ms(s, POLL_URGENT_MS);
	pthread_mutex_unlock(&s->lock);
	return n == 0 ? 0 : -1;
}

/*
 * Returns 1 if requests can be routed to the owners of partitions: the table is
 * complete and a read has reached the end of the log, or a peer has reported
 * its table.  Returns 0 if not.
 */
int
lease_service_ready(struct lease_service *s)
{
	int ready;

	pthread_mutex_lock(&s->lock);
	ready = (s->table.complete && s->table.has_read_proof) ||
		s->peer_table_read;
	pthread_mutex_unlock(&s->lock);
	return ready;
}

/*
 * Prints one line per partition: its term, owner and standby, for how long
 * (ms) this node's authority lasts, and the time (ms) until the lease takes
 * effect.
 */
void
lease_service_dump(struct lease_service *s, FILE *out)
{
	char owner[NODE_ID_TEXT], standby[NODE_ID_TEXT];
	uint64_t now = clock_ms();
	struct lease_view v;
	uint32_t i;

	for (i = 0; i < LEASE_PARTS; i++) {
		lease_service_lookup(s, i, now, &v);
		nodeid_format(&v.owner, owner);
		nodeid_format(&v.standby, standby);
		fprintf(out,
		    "lease part=%u term=%" PRIu64 " owner=%s standby=%s "
		    "held_ms=%" PRIu64 " effective_in_ms=%" PRIu64 "\n",
		    i, v.term, owner, standby,
		    v.valid_until_ms > now ? v.valid_until_ms - now : 0,
		    v.effective_ms > now ? v.effective_ms - now : 0);
	}
}

/*
 * Returns the number of partitions that the table's own node owns.
 */
static size_t
count_owned(const struct lease_table *t)
{
	size_t n = 0;
	int i;

	for (i = 0; i < LEASE_PARTS; i++)
		if (nodeid_equal(&t->part[i].owner, &t->self))
			n++;
	return n;
}

/*
 * Returns the number of partitions that this node is the owner or standby of.
 * The lock must be held.
 */
static size_t
count_held(struct lease_service *s)
{
	const struct lease_entry *e;
	size_t n = 0;
	int i;

	for (i = 0; i < LEASE_PARTS; i++) {
		e = &s->table.part[i];
		n += nodeid_equal(&e->owner, &s->cfg.self) ||
		     nodeid_equal(&e->standby, &s->cfg.self);
	}
	return n;
}

/*
 * Waits until the service is woken up, at most ms milliseconds.  The lock must
 * be held.
 */
static void
sleep_ms(struct lease_service *s, uint64_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += (time_t)(ms / 1000);
	ts.tv_nsec += (long)(ms % 1000) * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&s->wake, &s->lock, &ts);
}

/*
 * Returns 1 if this node is an owner or standby, or may become one because a
 * partition has no owner; 0 if not.  The lock must be held.
 */
static int
may_hold_lease(struct lease_service *s)
{
	int i;

	if (count_held(s) > 0)
		return 1;
	for (i = 0; i < LEASE_PARTS; i++)
		if (nodeid_is_none(&s->table.part[i].owner))
			return 1;
	return 0;
}

/*
 * Returns the interval (ms) between two reads.  The lock must be held.  Nodes
 * without leases poll less often, also when an owner is unreachable, to limit
 * the load on the log.
 */
static uint64_t
poll_ms(struct lease_service *s)
{
	uint64_t jitter = s->jitter_ms % POLL_JITTER_MS;
	int i;

	if (s->poll_now || (s->decider.stopping && count_held(s) > 0))
		return POLL_URGENT_MS;
	if (!s->table.complete || may_hold_lease(s))
		return POLL_MS;
	if (s->poll_soon)
		return POLL_WATCH_MS + jitter;
	for (i = 0; i < LEASE_PARTS; i++)
		if (s->decider.owner_dead_since_ms[i] != 0)
			return POLL_WATCH_MS + jitter;
	return POLL_IDLE_MS + jitter;
}

/*
 * Waits until the next read is due; last_ms is the time of the last one.
 * Returns 1 if the service is to stop, 0 if not.
 */
static int
wait_poll(struct lease_service *s, uint64_t last_ms)
{
	uint64_t now, due;
	int stop;

	pthread_mutex_lock(&s->lock);
	for (;;) {
		now = clock_ms();
		due = last_ms + poll_ms(s);
		if (s->stop || now >= due)
			break;
		sleep_ms(s, due - now);
	}
	s->poll_soon = 0;
	s->poll_now = 0;
	stop = s->stop;
	pthread_mutex_unlock(&s->lock);
	return stop;
}

/*
 * Logs the result of applying a record.
 */
static void
log_apply_result(const struct lease_service *s, enum lease_result res,
    const struct logsvc_record *rec)
{
	if (res == LEASE_MALFORMED) {
		counter_add(CTR_LOG_BAD_RECORDS, 1);
		logline(LOG_WARNING, "lease-bad-record", "offset=%" PRIu64,
		    rec->offset);
	} else if (res == LEASE_RESET)
		logline(LOG_ERR, "lease-reset",
		    "offset=%" PRIu64 " wait_ms=%" PRIu64, rec->offset,
		    s->table.long_ms);
	else if (res == LEASE_ACCEPTED)
		logline(LOG_DEBUG, "lease-claim", "offset=%" PRIu64 " %.*s",
		    rec->offset, (int)rec->len, rec->data);
}

/*
 * Applies the records of a read that was sent at sent_ms.  Returns 1 if the end
 * of the stream was reached, 0 if there are more records, or -1 if the end of
 * the log is before records that were already applied.
 */
static int
apply_batch(
    struct lease_service *s, const struct logsvc_batch *b, uint64_t sent_ms)
{
	uint64_t now = clock_ms();
	size_t i;
	int end;

	if (b->next < s->table.next) {
		logline(LOG_CRIT, "lease-log-regressed",
		    "had=%" PRIu64 " next=%" PRIu64, s->table.next, b->next);
		return -1;
	}
	s->log_start = b->first;
	lease_set_log_start(&s->table, b->first);
	for (i = 0; i < b->count; i++)
		log_apply_result(s,
		    lease_apply(&s->table, b->list[i].data, b->list[i].len,
			b->list[i].offset, now),
		    &b->list[i]);
	end = s->table.next >= b->next;
	if (end)
		lease_confirm_read(&s->table, sent_ms);
	return end;
}

/*
 * Reads the stream to its end.  Returns 0, or -1 if a read failed.
 */
static int
read_stream(struct lease_service *s)
{
	struct logsvc_batch b;
	uint64_t sent, next;
	size_t count;
	int end;

	do {
		pthread_mutex_lock(&s->lock);
		next = s->table.next;
		pthread_mutex_unlock(&s->lock);
		memset(&b, 0, sizeof(b));
		sent = clock_ms();
		if (s->cfg.log.read(s->cfg.log.ctx, LEASE_STREAM, next,
			READ_RECORDS_MAX, 0, READ_TIMEOUT_MS, &b) != LOGSVC_OK)
			return -1;
		pthread_mutex_lock(&s->lock);
		end = apply_batch(s, &b, sent);
		if (s->table.next == next)
			b.count = 0;
		pthread_mutex_unlock(&s->lock);
		count = b.count;
		logsvc_batch_finish(&b);
	} while (end == 0 && count > 0);
	return end == 1 ? 0 : -1;
}

/*
 * Appends a record.  Returns 1 if the record is or may still be written to the
 * log, 0 if it can't be.
 */
static int
append_record(struct lease_service *s, const char *text)
{
	enum logsvc_status st;
	uint64_t offset;

	st = s->cfg.log.append(s->cfg.log.ctx, LEASE_STREAM, text, strlen(text),
	    APPEND_TIMEOUT_MS, &offset);
	return st == LOGSVC_OK || st == LOGSVC_UNKNOWN;
}

/*
 * Appends a claim.  The request threads see that the append has begun before
 * the claim is sent.  Returns 1 if it is or may still be written, 0 if not.
 */
static int
append_claim(struct lease_service *s, const struct lease_claim *c)
{
	char owner[NODE_ID_TEXT];
	char *text;
	int written;

	pthread_mutex_lock(&s->lock);
	if (lease_append_begin(&s->table, c) == -1) {
		pthread_mutex_unlock(&s->lock);
		return 0;
	}
	pthread_mutex_unlock(&s->lock);
	lease_publish(s);
	text = lease_claim_encode(c);
	written = append_record(s, text);
	free(text);
	pthread_mutex_lock(&s->lock);
	lease_append_end(&s->table, c, written);
	pthread_mutex_unlock(&s->lock);
	nodeid_format(&c->owner, owner);
	logline(LOG_NOTICE, "lease-append",
	    "part=%u term=%" PRIu64 " owner=%s written=%d", c->part, c->term,
	    owner, written);
	return written;
}

/*
 * Decides on claims and appends them.  Returns the number of claims that may
 * have been written.
 */
static size_t
decide_and_append(struct lease_service *s)
{
	struct lease_claim claims[CLAIMS_MAX];
	struct lease_inputs in;
	size_t i, n, done = 0;

	pthread_mutex_lock(&s->lock);
	in.members = s->members;
	in.count =
	    s->cfg.members(s->cfg.members_ctx, s->members, LEASE_MEMBERS_MAX);
	in.ready = s->cfg.ready;
	in.ready_ctx = s->cfg.ready_ctx;
	in.now_ms = clock_ms();
	n = lease_decide(&s->decider, &s->table, &in, claims, CLAIMS_MAX);
	pthread_mutex_unlock(&s->lock);
	for (i = 0; i < n; i++) {
		if (!append_claim(s, &claims[i]))
			break;
		done++;
	}
	return done;
}

/*
 * Returns 1 if this node should write a snapshot now, 0 if not.  The lock must
 * be held.  To avoid duplicates, nodes wait for different times: owners by the
 * number of their first partition, other nodes longer and at random.
 */
static int
snapshot_due(struct lease_service *s, uint64_t now_ms)
{
	const struct lease_table *t = &s->table;
	uint64_t since = t->snapshot_seen ? t->snapshot_read_ms : s->started_ms;
	uint64_t due, turn = LEASE_PARTS * SNAPSHOT_STEP_MS + s->jitter_ms;
	uint64_t i;

	if (!t->complete || !t->has_read_proof || t->next == 0)
		return 0;
	if (s->log_start <= (t->snapshot_seen ? t->snapshot_next_offset : 0))
		s->unreadable_since_ms = 0;
	else if (s->unreadable_since_ms == 0)
		s->unreadable_since_ms = now_ms;
	for (i = LEASE_PARTS; i > 0; i--)
		if (nodeid_equal(&t->part[i - 1].owner, &t->self))
			turn = (i - 1) * SNAPSHOT_STEP_MS;
	due = s->cfg.retention_ms / SNAPSHOT_RETENTION_DIVISOR;
	due = since +
	      (due > SNAPSHOT_INTERVAL_MIN_MS ? due : SNAPSHOT_INTERVAL_MIN_MS);
	if (s->unreadable_since_ms != 0 && s->unreadable_since_ms < due)
		due = s->unreadable_since_ms;
	return now_ms >= due + turn;
}

/*
 * Writes a snapshot of the table, or a reset, if one is due.  Returns 1 if a
 * record may have been written, 0 if not.
 */
static int
write_table_record(struct lease_service *s)
{
	uint64_t now = clock_ms();
	char *text = NULL;
	int written;

	pthread_mutex_lock(&s->lock);
	if (now > s->jitter_ms &&
	    lease_reset_due(&s->table, now - s->jitter_ms))
		text = lease_reset_encode();
	else if (snapshot_due(s, now))
		text = lease_snapshot_encode(&s->table, now);
	pthread_mutex_unlock(&s->lock);
	if (text == NULL)
		return 0;
	written = append_record(s, text);
	free(text);
	return written;
}

/*
 * Reads the stream, decides and appends until the service stops.
 */
static void *
run_log_thread(void *ctx)
{
	struct lease_service *s = ctx;
	uint64_t last;
	size_t done;
	int ok;

	rcu_register_thread();
	do {
		last = clock_ms();
		ok = read_stream(s) == 0;
		if (!ok || !s->table.complete)
			lease_fetch_peer_table(s);
		lease_publish(s);
		done = ok ? decide_and_append(s) + (size_t)write_table_record(s)
			  : 0;
		if (done > 0)
			last = 0; /* read the appended records at once */
	} while (!wait_poll(s, last));
	rcu_unregister_thread();
	return NULL;
}

/*
 * Sends heartbeats until the service stops.
 */
static void *
run_heartbeat_thread(void *ctx)
{
	struct lease_service *s = ctx;
	int stop = 0;

	rcu_register_thread();
	while (!stop) {
		lease_send_heartbeats(s);
		pthread_mutex_lock(&s->lock);
		if (!s->stop)
			sleep_ms(s, HEARTBEAT_INTERVAL_MS);
		stop = s->stop;
		pthread_mutex_unlock(&s->lock);
	}
	rcu_unregister_thread();
	return NULL;
}

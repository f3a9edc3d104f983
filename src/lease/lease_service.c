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

#define POLL_MS 500	    /* reads by nodes with a part in the leases */
#define POLL_URGENT_MS 50   /* by a standby that others take for owner */
#define POLL_WATCH_MS 1000  /* reads by others while an owner is gone */
#define POLL_IDLE_MS 5000   /* reads by others */
#define POLL_JITTER_MS 1000 /* keeps those others apart */
#define HEARTBEAT_INTERVAL_MS 500
#define READ_RECORDS_MAX 500 /* records of one read */
#define READ_TIMEOUT_MS 3000 /* a slow log is better than none */
#define APPEND_TIMEOUT_MS 3000
#define CLAIMS_MAX 8		       /* appended in one round */
#define SNAPSHOT_RETENTION_DIVISOR 4   /* of the log's retention */
#define SNAPSHOT_INTERVAL_MIN_MS 10000 /* between two */
#define SNAPSHOT_STEP_MS 1000 /* between the nodes that might write one */

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
 * Starts the threads that read the stream and keep this node's leases.
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
		err(1, "lease_service_init");
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
 * Stops the threads and frees all.  The RPC server must not call any more.
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
 * Makes the table visible to request threads.  When it returns, none of
 * them uses an older one.
 */
void
lease_publish(struct lease_service *s)
{
	struct lease_table *fresh = malloc(sizeof(*fresh)), *old;

	if (fresh == NULL)
		err(1, "lease_publish");
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
 * Describes a partition (lease_lookup_fn).  Takes no lock; the thread must
 * be registered with RCU.
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
 * Has the stream read soon, when an owner turned out to be gone.
 */
void
lease_service_kick(struct lease_service *s)
{
	pthread_mutex_lock(&s->lock);
	s->poll_soon = 1;
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Has the stream read at once, when this node, a standby, was taken for the
 * owner: a claim on its behalf may be in the log.
 */
void
lease_service_expect(struct lease_service *s)
{
	pthread_mutex_lock(&s->lock);
	s->poll_now = 1;
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Hands all partitions over before a planned stop.  Waits up to timeout_ms;
 * returns 0, or -1 if this node still owns some.
 */
int
lease_service_leave(struct lease_service *s, uint32_t timeout_ms)
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
 * Waits up to timeout_ms until this node, which is known to leave, is no
 * owner and no standby any more.  Returns 0, or -1 if it still is.
 */
int
lease_service_left(struct lease_service *s, uint32_t timeout_ms)
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
 * Tells whether requests can be led to the owners: the table is whole, or a
 * peer has shown its own while the log can't be read.
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
 * Prints every partition: term, owner, standby and for how long (ms) this
 * node's authority still lasts.
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
		    v.until_ms > now ? v.until_ms - now : 0,
		    v.effective_ms > now ? v.effective_ms - now : 0);
	}
}

/*
 * Returns how many partitions the table gives to its own node.
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
 * Returns how many partitions this node is the owner or standby of; the lock
 * is held.
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
 * Waits until woken, at most ms; the lock is held.
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
 * Tells whether this node has a part in the leases or may soon have one;
 * the lock is held.
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
 * Returns how long to wait between two reads; the lock is held.  Most nodes
 * only have to know where the owners are, and must not flood the log when
 * one is gone.
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
 * Waits until the next read is due, counted from the last one.  Returns 1
 * if the service is to stop.
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
 * Logs what a record changed.
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
 * Applies what a read sent at sent_ms brought.  Returns 1 if the stream's
 * end was reached, 0 if there is more, -1 if the log went backwards.
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
	lease_first(&s->table, b->first);
	for (i = 0; i < b->count; i++)
		log_apply_result(s,
		    lease_apply(&s->table, b->list[i].data, b->list[i].len,
			b->list[i].offset, now),
		    &b->list[i]);
	end = s->table.next >= b->next;
	if (end)
		lease_read_proof(&s->table, sent_ms);
	return end;
}

/*
 * Reads the stream to its end.  Returns 0, or -1 if that failed.
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
 * Appends a record.  Returns 1 if it is or may yet be in the log, 0 if it
 * can't be.
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
 * Appends a claim.  Before, all threads see that it has begun.
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
 * Decides and appends.  Returns how many claims may have been written.
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
 * Tells whether this node should write a snapshot; the lock is held.  Nodes
 * take turns: owners first, by partition, then the others at random.
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
 * Writes a snapshot, or starts all leases over, where that is due.  Returns
 * 1 if a record may have been written.
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
 * Reads, decides and appends until the service stops.
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
			last = 0; /* read back at once what was appended */
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

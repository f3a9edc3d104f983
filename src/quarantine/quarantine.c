#include <err.h>
#include <stdlib.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY /* defines XXH3_state_t */
#include <xxhash.h>

#include "quarantine/quarantine.h"

/* A failed run is charged with a crash reported within this time. */
#define CRASH_DETECTION_MS 3000

static void store_failed_run(
    struct quarantine *, const struct quarantine_run *, uint64_t);
static size_t add_reports(struct quarantine *,
    const struct quarantine_fingerprint *, size_t, uint64_t, uint64_t,
    struct quarantine_fingerprint *);
static int is_running(
    const struct quarantine *, const struct quarantine_fingerprint *);
static int runs_suspect(const struct quarantine *, uint64_t);

/*
 * Computes the fingerprint of a request: a 128-bit XXH3 hash of the
 * workspace name, the method, the target with its query, and the body.  Each
 * of the first three is preceded by its length, so moving text from one part
 * to the next changes the hash.
 */
void
quarantine_fingerprint(struct quarantine_fingerprint *p, const char *workspace,
    const char *method, const char *target, const void *body, size_t len)
{
	const char *const texts[] = { workspace, method, target };
	XXH3_state_t state;
	XXH128_hash_t h;
	uint64_t n;
	size_t i;

	XXH3_128bits_reset(&state);
	for (i = 0; i < sizeof(texts) / sizeof(*texts); i++) {
		n = strlen(texts[i]);
		XXH3_128bits_update(&state, &n, sizeof(n));
		XXH3_128bits_update(&state, texts[i], n);
	}
	XXH3_128bits_update(&state, body, len);
	h = XXH3_128bits_digest(&state);
	p->lo = h.low64;
	p->hi = h.high64;
}

/*
 * Initializes an empty quarantine.  Crash reports and clearances are sent to
 * the other members through the callback.  Exits the process if memory is
 * exhausted.
 */
void
quarantine_init(
    struct quarantine *q, quarantine_broadcast_fn broadcast, void *ctx)
{
	memset(q, 0, sizeof(*q));
	q->table = calloc(1, sizeof(*q->table));
	if (q->table == NULL)
		err(1, "quarantine_init");
	pthread_mutex_init(&q->lock, NULL);
	q->runs.next = q->runs.prev = &q->runs;
	q->broadcast = broadcast;
	q->broadcast_ctx = ctx;
}

/*
 * Frees a quarantine.  No thread may use it any more.
 */
void
quarantine_finish(struct quarantine *q)
{
	pthread_mutex_destroy(&q->lock);
	free(q->table);
	q->table = NULL;
}

/*
 * Returns how an entry has to treat a request: QUARANTINE_UNRESTRICTED to run
 * it normally, QUARANTINE_SUSPECT to run it without retries and only at the
 * server that quarantine_choose_server() returns, QUARANTINE_REFUSED to refuse
 * it as not run.
 */
enum quarantine_state
quarantine_check(struct quarantine *q, const struct quarantine_fingerprint *p,
    uint64_t now_ms)
{
	enum quarantine_state st;

	pthread_mutex_lock(&q->lock);
	st = table_get_state(q->table, p, now_ms);
	q->refused += st == QUARANTINE_REFUSED;
	pthread_mutex_unlock(&q->lock);
	return st;
}

/*
 * Chooses the one server at which a suspect request may run.  Rendezvous
 * hashing makes all entries choose the same server.  Returns an index into
 * ids of a server whose usable flag is set, or -1 if there is none.
 */
int
quarantine_choose_server(const struct quarantine_fingerprint *p,
    const struct node_id *ids, const int *usable, size_t count)
{
	uint64_t parts[4], h, best = 0;
	size_t i;
	int chosen = -1;

	for (i = 0; i < count; i++) {
		if (!usable[i])
			continue;
		parts[0] = p->lo;
		parts[1] = p->hi;
		parts[2] = (uint64_t)ids[i].addr << 16 | ids[i].rpc_port;
		parts[3] = ids[i].incarnation;
		h = XXH3_64bits(parts, sizeof(parts));
		if (chosen < 0 || h > best) {
			best = h;
			chosen = (int)i;
		}
	}
	return chosen;
}

/*
 * Records at an entry that a request was answered completely.  Sends no
 * clearance, because the exit that ran the request does that.
 */
void
quarantine_record_success(struct quarantine *q,
    const struct quarantine_fingerprint *p, uint64_t now_ms)
{
	uint64_t crash_ids[QUARANTINE_CRASHES_MAX];

	pthread_mutex_lock(&q->lock);
	table_record_success(q->table, p, now_ms, crash_ids);
	pthread_mutex_unlock(&q->lock);
}

/*
 * Registers a run of a request at the exit.  The request's own fingerprint is
 * the first one of fingerprints.  Returns 0 if the request may run;
 * quarantine_end() must follow.  Returns -1 if the request is in quarantine, or
 * is suspect while a copy of it runs here; it is then refused as not run.
 * Returns 1 if it is suspect while another suspect request runs here; it then
 * has to wait, since a crash during both would also be charged to the innocent
 * one.
 */
int
quarantine_begin(struct quarantine *q, struct quarantine_run *run,
    const struct quarantine_fingerprint *fingerprints, size_t count,
    uint64_t now_ms)
{
	enum quarantine_state st, strictest = QUARANTINE_UNRESTRICTED;
	int wait = 0;
	size_t i;

	memset(run, 0, sizeof(*run));
	if (count > QUARANTINE_RUN_FINGERPRINTS)
		count = QUARANTINE_RUN_FINGERPRINTS;
	memcpy(run->fingerprints, fingerprints, count * sizeof(*fingerprints));
	run->count = (uint32_t)count;
	pthread_mutex_lock(&q->lock);
	for (i = 0; i < count; i++) {
		st = table_get_state(q->table, &fingerprints[i], now_ms);
		if (i == 0 && st == QUARANTINE_SUSPECT &&
		    is_running(q, &fingerprints[i]))
			st = QUARANTINE_REFUSED;
		if (i == 0 && st == QUARANTINE_SUSPECT)
			wait = runs_suspect(q, now_ms);
		if (st > strictest)
			strictest = st;
	}
	if (strictest == QUARANTINE_REFUSED) {
		q->refused++;
	} else if (!wait) {
		run->next = &q->runs;
		run->prev = q->runs.prev;
		run->prev->next = run;
		q->runs.prev = run;
	}
	pthread_mutex_unlock(&q->lock);
	return strictest == QUARANTINE_REFUSED ? -1 : wait;
}

/*
 * Records the result of a request that quarantine_begin() let run.  A
 * complete response clears the request's own fingerprint, but not that of
 * its root request.
 */
void
quarantine_end(struct quarantine *q, struct quarantine_run *run,
    enum quarantine_end result, uint64_t now_ms)
{
	uint64_t crash_ids[QUARANTINE_CRASHES_MAX];
	size_t n = 0, i;

	pthread_mutex_lock(&q->lock);
	run->prev->next = run->next;
	run->next->prev = run->prev;
	if (result == QUARANTINE_RESULT_FAILED && run->crash_id == 0)
		store_failed_run(q, run, now_ms);
	if (result == QUARANTINE_RESULT_COMPLETE)
		n = table_record_success(
		    q->table, &run->fingerprints[0], now_ms, crash_ids);
	pthread_mutex_unlock(&q->lock);
	for (i = 0; i < n; i++)
		quarantine_broadcast(
		    q, crash_ids[i], 1, &run->fingerprints[0], 1);
}

/*
 * Reports a crash of the local server.  Adds a crash report for every
 * request in flight and for every request that failed within the last
 * CRASH_DETECTION_MS, and broadcasts the reports.  The crash id is random
 * and not 0.  Returns the number of fingerprints that were reported.
 */
size_t
quarantine_report_crash(
    struct quarantine *q, uint64_t crash_id, uint64_t now_ms)
{
	struct quarantine_fingerprint *reported;
	struct quarantine_run *r;
	size_t n = 0, i, max = QUARANTINE_FAILED_RUNS_MAX;

	pthread_mutex_lock(&q->lock);
	for (r = q->runs.next; r != &q->runs; r = r->next)
		max += r->count;
	reported = calloc(max, sizeof(*reported));
	if (reported == NULL)
		err(1, "quarantine_death");
	q->crashes++;
	for (r = q->runs.next; r != &q->runs; r = r->next) {
		r->crash_id = crash_id;
		n += add_reports(q, r->fingerprints, r->count, crash_id, now_ms,
		    reported + n);
	}
	for (i = 0; i < QUARANTINE_FAILED_RUNS_MAX; i++) {
		if (q->failed_runs[i].failed_ms != 0 &&
		    now_ms < q->failed_runs[i].failed_ms + CRASH_DETECTION_MS)
			n += add_reports(q, &q->failed_runs[i].fingerprint, 1,
			    crash_id, now_ms, reported + n);
		q->failed_runs[i].failed_ms = 0;
	}
	pthread_mutex_unlock(&q->lock);
	quarantine_broadcast(q, crash_id, 0, reported, n);
	free(reported);
	return n;
}

/*
 * Merges a peer's crash report or clearance for a crash that happened age_ms
 * ago.
 */
void
quarantine_merge_report(struct quarantine *q,
    const struct quarantine_fingerprint *p, uint64_t crash_id, int cleared,
    uint64_t age_ms, uint64_t now_ms)
{
	uint64_t crashed_ms = now_ms > age_ms ? now_ms - age_ms : 1;

	pthread_mutex_lock(&q->lock);
	table_add_report(q->table, p, crash_id, cleared, crashed_ms, now_ms);
	pthread_mutex_unlock(&q->lock);
}

/*
 * Passes crash reports to a callback, from a position in the table on, and
 * stops when there may be no room left for those of another suspect.  The
 * caller can store room reports.  Returns the position of the next page, or
 * 0 at the end of the table.
 */
uint32_t
quarantine_read_page(struct quarantine *q, uint32_t from, uint64_t now_ms,
    void (*callback)(void *, const struct quarantine_fingerprint *,
	const struct quarantine_report *),
    void *ctx, size_t max)
{
	const struct quarantine_suspect *s;
	const uint32_t end = QUARANTINE_SETS * QUARANTINE_WAYS;
	uint32_t pos;
	size_t i;

	pthread_mutex_lock(&q->lock);
	for (pos = from; pos < end && max >= QUARANTINE_CRASHES_MAX; pos++) {
		s = &q->table
			 ->sets[pos / QUARANTINE_WAYS][pos % QUARANTINE_WAYS];
		if (s->changed_ms == 0)
			continue;
		for (i = 0; i < QUARANTINE_CRASHES_MAX; i++) {
			if (s->reports[i].crash_id == 0 ||
			    now_ms >= s->reports[i].crashed_ms +
					  QUARANTINE_REPORT_TTL_MS)
				continue;
			callback(ctx, &s->fingerprint, &s->reports[i]);
			max--;
		}
	}
	pthread_mutex_unlock(&q->lock);
	return pos < end ? pos : 0;
}

/*
 * Writes the counters and every request that is suspect or refused.
 */
void
quarantine_dump(struct quarantine *q, uint64_t now_ms, FILE *out)
{
	static const char *const names[QUARANTINE_STATE_MAX] = {
		[QUARANTINE_UNRESTRICTED] = "free",
		[QUARANTINE_SUSPECT] = "struck",
		[QUARANTINE_REFUSED] = "refused",
	};
	const struct quarantine_suspect *s;
	enum quarantine_state st;
	size_t i;

	pthread_mutex_lock(&q->lock);
	fprintf(out, "quarantine suspects=%u deaths=%llu refused=%llu\n",
	    q->table->suspects, (unsigned long long)q->crashes,
	    (unsigned long long)q->refused);
	for (i = 0; i < QUARANTINE_SETS * QUARANTINE_WAYS; i++) {
		s = &q->table->sets[i / QUARANTINE_WAYS][i % QUARANTINE_WAYS];
		if (s->changed_ms == 0)
			continue;
		st = table_get_state(q->table, &s->fingerprint, now_ms);
		if (st != QUARANTINE_UNRESTRICTED)
			fprintf(out,
			    "quarantine print=%016llx%016llx state=%s\n",
			    (unsigned long long)s->fingerprint.hi,
			    (unsigned long long)s->fingerprint.lo, names[st]);
	}
	pthread_mutex_unlock(&q->lock);
}

/*
 * Stores the fingerprints of a request that failed, in case a crash of the
 * server is reported soon after.
 */
static void
store_failed_run(
    struct quarantine *q, const struct quarantine_run *run, uint64_t now_ms)
{
	struct quarantine_failed_run *failed;
	uint32_t i;

	for (i = 0; i < run->count; i++) {
		failed = &q->failed_runs[q->failed_run_next++ %
					 QUARANTINE_FAILED_RUNS_MAX];
		failed->fingerprint = run->fingerprints[i];
		failed->failed_ms = now_ms;
	}
}

/*
 * Adds crash reports for the fingerprints and copies those without an
 * earlier report of this crash to reported.  Returns the number copied.
 */
static size_t
add_reports(struct quarantine *q,
    const struct quarantine_fingerprint *fingerprints, size_t count,
    uint64_t crash_id, uint64_t now_ms, struct quarantine_fingerprint *reported)
{
	size_t i, n = 0;

	for (i = 0; i < count; i++) {
		if (table_add_report(q->table, &fingerprints[i], crash_id, 0,
			now_ms, now_ms))
			reported[n++] = fingerprints[i];
	}
	return n;
}

/*
 * Returns whether a request with this fingerprint runs here now, itself or
 * as a root request.
 */
static int
is_running(const struct quarantine *q, const struct quarantine_fingerprint *p)
{
	const struct quarantine_run *r;
	uint32_t i;

	for (r = q->runs.next; r != &q->runs; r = r->next) {
		for (i = 0; i < r->count; i++) {
			if (r->fingerprints[i].lo == p->lo &&
			    r->fingerprints[i].hi == p->hi)
				return 1;
		}
	}
	return 0;
}

/*
 * Returns whether a request whose own fingerprint is suspect runs here now.
 */
static int
runs_suspect(const struct quarantine *q, uint64_t now_ms)
{
	const struct quarantine_run *r;

	for (r = q->runs.next; r != &q->runs; r = r->next)
		if (table_get_state(q->table, &r->fingerprints[0], now_ms) ==
		    QUARANTINE_SUSPECT)
			return 1;
	return 0;
}

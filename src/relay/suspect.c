#include <err.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "event/event.h"
#include "relay/relay_int.h"

/* Longest time between a broken exchange and the detection of the crash. */
#define CRASH_WINDOW_MS 1500

static void record_report(
    struct relay *, const struct quarantine_fingerprint *, uint64_t, int);
static void broadcast_report(
    struct relay *, const struct quarantine_fingerprint *, uint64_t, int);

/*
 * Allocates the table of suspect requests.  It also records the requests that
 * ran without a crash; a single crash doesn't make those suspect.
 */
void
suspect_init(struct relay *r)
{
	r->suspects = calloc(1, sizeof(*r->suspects));
	if (r->suspects == NULL)
		err(1, "out of memory");
}

/*
 * Computes the fingerprint of a request from its method, target, caller and
 * body length.  Requests with the same fingerprint are treated as the same.
 */
void
suspect_fingerprint(struct exit_req *e)
{
	const struct h1_head *h = h1_conn_head(e->conn);
	const char *method = h1_conn_method(e->conn);
	XXH3_state_t *s = XXH3_createState();
	XXH128_hash_t v;

	if (s == NULL)
		err(1, "out of memory");
	XXH3_128bits_reset(s);
	XXH3_128bits_update(s, method, strlen(method) + 1);
	XXH3_128bits_update(s, h->buf + h->target, h->target_len);
	XXH3_128bits_update(s, e->caller, strlen(e->caller) + 1);
	XXH3_128bits_update(s, &e->body_length, sizeof(e->body_length));
	v = XXH3_128bits_digest(s);
	XXH3_freeState(s);
	e->fingerprint.lo = v.low64;
	e->fingerprint.hi = v.high64;
}

/*
 * Returns the quarantine state of a request.
 */
enum quarantine_state
suspect_state(const struct exit_req *e)
{
	struct relay *r = e->relay;

	return table_get_state(r->suspects, &e->fingerprint, relay_now(r));
}

/*
 * Records that a request ran without a crash.  If that clears it of crash
 * reports, this is sent to the other nodes.
 */
void
suspect_note_served(struct exit_req *e)
{
	uint64_t crash_ids[QUARANTINE_CRASHES_MAX];
	struct relay *r = e->relay;
	size_t n, i;

	n = table_record_success(
	    r->suspects, &e->fingerprint, relay_now(r), crash_ids);
	for (i = 0; i < n; i++)
		broadcast_report(r, &e->fingerprint, crash_ids[i], 1);
}

/*
 * Records that a request was running when its connection broke.
 */
void
suspect_note_broken(struct exit_req *e)
{
	struct relay *r = e->relay;
	struct relay_broken_exchange *b =
	    &r->broken_exchanges[r->broken_cursor];

	b->fingerprint = e->fingerprint;
	b->broken_ms = relay_now(r);
	r->broken_cursor = (r->broken_cursor + 1) % RELAY_BROKEN_MAX;
}

/*
 * Records a crash report on a request, or that it is cleared of one.
 */
static void
record_report(struct relay *r, const struct quarantine_fingerprint *p,
    uint64_t crash_id, int cleared)
{
	uint64_t now = relay_now(r);

	if (!table_add_report(r->suspects, p, crash_id, cleared, now, now))
		return;
	r->counters[RELAY_CRASH_REPORTS] += !cleared;
	event_log(EVENT_CRASH_REPORT, now,
	    "print=%016llx%016llx death=%016llx acquitted=%d",
	    (unsigned long long)p->hi, (unsigned long long)p->lo,
	    (unsigned long long)crash_id, cleared);
}

/*
 * Sends a crash report, or that a request is cleared of it, to all other
 * nodes.
 */
static void
broadcast_report(struct relay *r, const struct quarantine_fingerprint *p,
    uint64_t crash_id, int cleared)
{
	struct fleet_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = FLEET_CRASH_REPORT;
	m.fleet_msg_u.strike.lo = p->lo;
	m.fleet_msg_u.strike.hi = p->hi;
	m.fleet_msg_u.strike.death = crash_id;
	m.fleet_msg_u.strike.acquitted = (u_int)cleared;
	fleet_send_all(&r->net, &m);
}

/*
 * Handles a server that refuses connections: the requests that were running
 * on it become suspect, here and at all other nodes.  A server counts as
 * crashed once until it responds again, so that requests sent to check on it
 * don't count as a new crash.
 */
void
suspect_server_down(struct relay *r, int crashed)
{
	uint64_t now = relay_now(r);
	struct relay_broken_exchange *b;
	uint32_t i;

	if (crashed)
		r->crash_id = relay_random() | 1;
	for (i = 0; i < RELAY_BROKEN_MAX; i++) {
		b = &r->broken_exchanges[i];
		if (b->broken_ms == 0 || now - b->broken_ms > CRASH_WINDOW_MS)
			continue;
		record_report(r, &b->fingerprint, r->crash_id, 0);
		broadcast_report(r, &b->fingerprint, r->crash_id, 0);
		b->broken_ms = 0;
	}
}

/*
 * Handles a crash report of another node.
 */
void
relay_on_crash_report(void *ctx, const struct fleet_crash_report *s)
{
	struct quarantine_fingerprint p = { s->lo, s->hi };

	record_report(ctx, &p, s->death, s->acquitted != 0);
}

#include <err.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "event/event.h"
#include "relay/relay_int.h"

#define TOGETHER_MS 1500 /* between a broken exchange and a dead server */

static void strike(struct relay *, const struct quarantine_print *, uint64_t);

/*
 * Computes what makes a request the same as another one: its method, target
 * and caller, and the length of its body.
 */
void
suspect_print(struct exit_req *e)
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
	e->print.lo = v.low64;
	e->print.hi = v.high64;
}

/*
 * Returns what is known of a request.
 */
enum quarantine_state
suspect_state(const struct exit_req *e)
{
	struct relay *r = e->relay;

	if (r->suspects == NULL)
		return QUARANTINE_FREE;
	return table_state(r->suspects, &e->print, relay_now(r));
}

/*
 * Notes that a request ran well.
 */
void
suspect_served(struct exit_req *e)
{
	uint64_t deaths[QUARANTINE_DEATHS];
	struct relay *r = e->relay;

	if (r->suspects != NULL)
		(void)table_succeed(
		    r->suspects, &e->print, relay_now(r), deaths);
}

/*
 * Notes that a request was at work when its connection broke.
 */
void
suspect_broken(struct exit_req *e)
{
	struct relay *r = e->relay;
	struct relay_broken *b = &r->broken[r->broken_at];

	b->print = e->print;
	b->at_ms = relay_now(r);
	r->broken_at = (r->broken_at + 1) % RELAY_BROKEN_MAX;
}

/*
 * Adds a strike to what is known of a request.
 */
static void
strike(struct relay *r, const struct quarantine_print *p, uint64_t death)
{
	if (r->suspects == NULL) {
		r->suspects = calloc(1, sizeof(*r->suspects));
		if (r->suspects == NULL)
			err(1, "out of memory");
	}
	if (!table_strike(r->suspects, p, death, 0, relay_now(r), relay_now(r)))
		return;
	r->counters[RELAY_STRIKES]++;
	event_log(EVENT_STRIKE, relay_now(r),
	    "print=%016llx%016llx death=%016llx", (unsigned long long)p->hi,
	    (unsigned long long)p->lo, (unsigned long long)death);
}

/*
 * The server died: what was at work on it is suspect, here and at all other
 * nodes.
 */
void
suspect_server_died(struct relay *r)
{
	uint64_t now = relay_now(r), death = relay_random(r) | 1;
	struct relay_broken *b;
	struct fleet_msg m;
	uint32_t i;

	for (i = 0; i < RELAY_BROKEN_MAX; i++) {
		b = &r->broken[i];
		if (b->at_ms == 0 || now - b->at_ms > TOGETHER_MS)
			continue;
		strike(r, &b->print, death);
		memset(&m, 0, sizeof(m));
		m.kind = FLEET_STRIKE;
		m.fleet_msg_u.strike.lo = b->print.lo;
		m.fleet_msg_u.strike.hi = b->print.hi;
		m.fleet_msg_u.strike.death = death;
		fleet_send_all(&r->net, &m);
		b->at_ms = 0;
	}
}

/*
 * Takes another node's strike.
 */
void
relay_on_strike(void *ctx, const struct fleet_strike *s)
{
	struct quarantine_print p = { s->lo, s->hi };

	strike(ctx, &p, s->death);
}

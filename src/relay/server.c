#include <stdio.h>
#include <string.h>
#include <time.h>

#include "event/event.h"
#include "relay/relay_int.h"

/*
 * State of the backend server beside this node, as the server announces it.
 */

#define USABLE_SLOTS_SHARE 0.96 /* share of the reported slots that is used */
#define BORN_AHEAD_MAX_S 3600	/* by which a server's clock may be ahead */
#define MS_PER_S 1000
#define NS_PER_MS 1000000

static uint64_t unix_ms(void);
static int find_departure(const struct relay_server *, const char *);
static void note_departure(struct relay_server *, const char *, uint64_t);
static void adopt_departed_server(struct relay *, const char *, uint64_t);

/*
 * Returns the Unix time.
 */
static uint64_t
unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)(ts.tv_nsec / NS_PER_MS);
}

/*
 * Returns how many of a server's slots are used.  Some servers are slow when
 * nearly all their slots are busy.
 */
static uint32_t
usable_slots(uint32_t slots)
{
	uint32_t n = (uint32_t)(slots * USABLE_SLOTS_SHARE);

	return n > 0 ? n : 1;
}

/*
 * Returns whether an announcement can be one of the server beside this node.
 * A start in the future would make all later announcements outdated.
 */
int
relay_announcement_is_plausible(
    const struct relay *r, const struct relay_announce *a)
{
	return strcmp(a->service, r->set.service) == 0 &&
	       a->born_ms < unix_ms() + BORN_AHEAD_MAX_S * MS_PER_S;
}

/*
 * Returns the index of the noted departure of a server, or -1.
 */
static int
find_departure(const struct relay_server *s, const char *id)
{
	int i;

	for (i = 0; i < RELAY_DEPARTURES_MAX; i++)
		if (s->departures[i].id[0] != '\0' &&
		    strcmp(s->departures[i].id, id) == 0)
			return i;
	return -1;
}

/*
 * Notes the departure of a server that started at a time (Unix ms), or by now
 * if that is 0.
 */
static void
note_departure(struct relay_server *s, const char *id, uint64_t born_ms)
{
	struct fleet_departed_server *d;
	int i = find_departure(s, id);

	if (born_ms == 0)
		born_ms = unix_ms();
	if (i == -1) {
		d = &s->departures[s->departure_count++ % RELAY_DEPARTURES_MAX];
		snprintf(d->id, sizeof(d->id), "%s", id);
		d->started_by_ms = born_ms;
	} else if (s->departures[i].started_by_ms < born_ms) {
		s->departures[i].started_by_ms = born_ms;
	}
}

/*
 * Returns when the server started (Unix ms, 0: unknown).  If only its departure
 * is known, returns a time by which it had started.
 */
uint64_t
relay_server_started_ms(const struct relay_server *s)
{
	int i = find_departure(s, s->id);

	return s->born_ms == 0 && s->leaving && i != -1
		   ? s->departures[i].started_by_ms
		   : s->born_ms;
}

/*
 * Applies an announcement of the server beside this node.  Returns 1, or 0 if
 * the announcement is out of date.
 */
int
relay_apply_announcement(struct relay *r, const struct relay_announce *a)
{
	struct relay_server *s = &r->server;
	uint64_t now = relay_now(r);
	int changed, i = find_departure(s, a->id);

	if (i != -1 &&
	    fleet_server_has_departed(&s->departures[i], a->id, a->born_ms))
		return 0;
	/*
	 * This server was found by a health request, which doesn't give its
	 * start time.
	 */
	if (strcmp(a->id, s->id) == 0 && s->born_ms == 0 && s->sequence == 0 &&
	    !s->leaving)
		s->born_ms = a->born_ms;
	if (s->id[0] != '\0' &&
	    (a->born_ms < s->born_ms ||
		(a->born_ms == s->born_ms && strcmp(a->id, s->id) == 0 &&
		    a->sequence <= s->sequence)))
		return 0;
	changed = strcmp(a->id, s->id) != 0 || a->born_ms != s->born_ms;
	if (changed) {
		snprintf(s->id, sizeof(s->id), "%s", a->id);
		snprintf(s->service, sizeof(s->service), "%s", a->service);
		s->born_ms = a->born_ms;
		s->leaving = 0;
		s->departed = 0;
		s->down_until_ms = 0;
		s->connect_failures = 0;
		s->slots = a->slots;
		r->cap.active = 0;
		core_reset(&r->core, usable_slots(a->slots), now * MS_PER_S);
		h1_pool_trim(&r->server_pool, 0);
		event_log(EVENT_SERVER_NEW, now,
		    "server=%s service=%s born=%llu slots=%u cold_ms=%llu",
		    s->id, s->service, (unsigned long long)s->born_ms, s->slots,
		    (unsigned long long)a->cold_ms);
	}
	s->sequence = a->sequence;
	s->cold_until_ms = a->cold_ms > 0 ? now + a->cold_ms : 0;
	if (s->slots != a->slots) {
		s->slots = a->slots;
		limiter_set_slots(&r->core.limiter, usable_slots(a->slots));
	}
	if (a->draining)
		relay_server_leaves(r, "announcement");
	if (changed)
		fleet_send_heartbeat_all(&r->net, 0);
	exit_run_queued(r);
	return 1;
}

/*
 * Returns how many requests at once the server beside this node takes: its
 * usable slots, or less if it names a rate.
 */
uint32_t
relay_server_slots(const struct relay *r)
{
	return rate_cap_slots(&r->cap, limiter_value(&r->core.limiter),
	    profile_mean_run_s(&r->profiles.all));
}

/*
 * Handles the news that the server beside this node is shutting down: it gets
 * no more requests.  source says where the news came from.
 */
void
relay_server_leaves(struct relay *r, const char *source)
{
	struct relay_server *s = &r->server;

	if (s->leaving)
		return;
	s->leaving = 1;
	note_departure(s, s->id, s->born_ms);
	event_log(EVENT_SERVER_LEAVING, relay_now(r),
	    "server=%s source=%s sequence=%llu", s->id, source,
	    (unsigned long long)s->sequence);
	fleet_send_heartbeat_all(&r->net, 0);
	exit_run_queued(r);
}

/*
 * Takes a server that has departed for the one beside this node, which knows
 * none yet.  The other nodes learn of the departure and remind this one if it
 * restarts.
 */
static void
adopt_departed_server(struct relay *r, const char *id, uint64_t born_ms)
{
	struct relay_server *s = &r->server;

	snprintf(s->id, sizeof(s->id), "%s", id);
	snprintf(s->service, sizeof(s->service), "%s", r->set.service);
	s->born_ms = born_ms;
}

/*
 * Handles a server's announcement that it departs.  It is kept also if the
 * server is not the one in use, so that a delayed announcement doesn't put it
 * into use again.  born_ms is 0 if the server didn't send it.
 */
void
relay_server_departed(struct relay *r, const char *id, uint64_t born_ms)
{
	struct relay_server *s = &r->server;
	int known = strcmp(s->id, id) == 0, current;

	if (id[0] == '\0' || strlen(id) >= sizeof(s->id))
		return;
	if (s->id[0] == '\0')
		adopt_departed_server(r, id, born_ms);
	current =
	    strcmp(s->id, id) == 0 && (born_ms == 0 || born_ms >= s->born_ms);
	if (current && s->departed)
		return;
	note_departure(s, id, born_ms == 0 && current ? s->born_ms : born_ms);
	event_log(EVENT_SERVER_DEPARTED, relay_now(r),
	    "server=%s born=%llu known=%d current=%d", id,
	    (unsigned long long)born_ms, known, current);
	if (!current)
		return;
	s->leaving = 1;
	s->departed = 1;
	fleet_send_heartbeat_all(&r->net, 0);
	exit_run_queued(r);
}

/*
 * Handles a report from another node that the server had announced its
 * departure before this node restarted.
 */
void
relay_on_departure_report(void *ctx, const struct fleet_departure *l)
{
	struct relay *r = ctx;
	struct relay_server *s = &r->server;
	struct fleet_departed_server d;

	snprintf(d.id, sizeof(d.id), "%s", l->server);
	d.started_by_ms = l->born_ms;
	if (!fleet_server_has_departed(&d, s->id, s->born_ms))
		return;
	/* A server found by a health request may have started later. */
	if (s->born_ms == 0)
		s->born_ms = l->born_ms;
	relay_server_leaves(r, "node");
}

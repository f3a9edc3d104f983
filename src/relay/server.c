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
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return strcmp(a->service, r->set.service) == 0 &&
	       a->born_ms < ((uint64_t)ts.tv_sec + BORN_AHEAD_MAX_S) * MS_PER_S;
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
	int changed;

	/*
	 * This server was found by a health request, which doesn't give its
	 * start time.
	 */
	if (strcmp(a->id, s->id) == 0 && s->born_ms == 0 && s->sequence == 0)
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
	event_log(EVENT_SERVER_LEAVING, relay_now(r),
	    "server=%s source=%s sequence=%llu", s->id, source,
	    (unsigned long long)s->sequence);
	fleet_send_heartbeat_all(&r->net, 0);
	exit_run_queued(r);
}

/*
 * Handles the departure of the server beside this node, announced by the
 * server.  That of an earlier incarnation is ignored; born_ms is 0 if the
 * server didn't send it.
 */
void
relay_server_departed(struct relay *r, const char *id, uint64_t born_ms)
{
	struct relay_server *s = &r->server;

	if (strcmp(s->id, id) != 0 || s->departed ||
	    (born_ms != 0 && born_ms != s->born_ms))
		return;
	s->leaving = 1;
	s->departed = 1;
	event_log(EVENT_SERVER_DEPARTED, relay_now(r), "server=%s", s->id);
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

	if (fleet_same_server(s->id, s->born_ms, l->server, l->born_ms))
		relay_server_leaves(r, "node");
}

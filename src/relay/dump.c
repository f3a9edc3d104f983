#include "relay/relay_int.h"

/*
 * Dump of a node's state as text.  Each topic has a section; each line has a
 * value, or an object with KEY=VALUE words (see src/dump).
 */

static void dump_node(struct relay *, struct h1_text *);
static void dump_server(struct relay *, struct h1_text *);
static void dump_peers(struct relay *, struct h1_text *);
static void dump_throttle(const struct relay *, struct h1_text *);
static void dump_limits(struct relay *, struct h1_text *);

/*
 * Returns the name, or "-" if it is empty.
 */
static const char *
or_dash(const char *name)
{
	return name[0] != '\0' ? name : "-";
}

/*
 * Adds the node's identity, configuration and open requests.
 */
static void
dump_node(struct relay *r, struct h1_text *t)
{
	h1_text_addf(t, "name %s\nfailure domain %s\nservice %s\n", r->set.node,
	    r->set.zone, r->set.service);
	h1_text_addf(t, "incarnation %llu\nstopping %d\nready %d\n",
	    (unsigned long long)r->incarnation, r->stopping, relay_ready(r));
	h1_text_addf(t, "# configuration\nversion %llu\nproof age ms %llu\n",
	    (unsigned long long)(r->config != NULL ? r->config->version : 0),
	    (unsigned long long)relay_proof_age_ms(r));
	h1_text_addf(t, "reads store %d\n", relay_reads_store(r));
	if (r->config != NULL)
		h1_text_addf(t, "routes %zu\nworkspaces %zu\nkeys %zu\n",
		    r->config->route_count, r->config->ws_count,
		    r->config->key_count);
	h1_text_addf(t, "# requests\nentries %u\nexits %u\nheld bytes %llu\n",
	    h1_server_open_requests(&r->entry),
	    h1_server_open_requests(&r->exit),
	    (unsigned long long)r->buffered_bytes);
}

/*
 * Adds the state of the server beside this node.
 */
static void
dump_server(struct relay *r, struct h1_text *t)
{
	const struct relay_server *s = &r->server;
	uint64_t now = relay_now(r);

	h1_text_addf(t, "# server\nid %s\nborn ms %llu\nleaving %d\ndown %d\n",
	    or_dash(s->id), (unsigned long long)s->born_ms, s->leaving,
	    s->down_until_ms > now);
	h1_text_addf(t, "slots %u\nlimit %u\nrunning %u\nwaiting %u\n",
	    s->slots, limiter_value(&r->core.limiter), r->core.inflight,
	    r->core.queued);
	h1_text_addf(t, "run seconds %.4f\nfailing %.3f\n",
	    profile_mean_run_s(&r->profiles.all),
	    choice_failure_share(&r->health, now));
}

/*
 * Adds the state of the other nodes as known here.
 */
static void
dump_peers(struct relay *r, struct h1_text *t)
{
	const struct fleet_peer *p;
	struct relay_link *l;
	uint64_t now = relay_now(r);
	size_t i;

	h1_text_addf(t, "# fleet\nknown %u\nquorum %d\nlisted %d\nout %d\n",
	    fleet_size(&r->fleet), fleet_has_quorum(&r->fleet, now),
	    r->fleet.node_list_complete, r->fleet.self_isolated);
	for (i = 0; i < r->fleet.count; i++) {
		p = &r->fleet.peers[i];
		l = relay_link(r, (int)i);
		h1_text_addf(t,
		    "peer %s alive=%d gone=%d out=%d stopping=%d "
		    "silent_ms=%llu "
		    "config=%llu service=%s server=%s leaving=%d running=%u "
		    "waiting=%u slots=%u offered=%.2f failing=%.3f "
		    "inflight=%u avoided=%d\n",
		    p->node, fleet_is_alive(&r->fleet, i, now), p->has_departed,
		    p->isolated, p->stopping,
		    (unsigned long long)(p->heard_ms > 0 ? now - p->heard_ms
							 : 0),
		    (unsigned long long)p->config_version,
		    or_dash(p->server.service), or_dash(p->server.id),
		    p->server.unavailable_state, p->server.running,
		    p->server.waiting, p->server.slots, p->server.offered_load,
		    choice_failure_share(&l->health, now), l->inflight,
		    l->avoid_until_ms > now);
	}
}

/*
 * Returns the name of the route with the given id: "*" for all routes of a
 * service, "-" if the configuration has none.
 */
static const char *
route_name(const struct relay *r, uint32_t route)
{
	size_t i;

	if (route == 0)
		return "*";
	for (i = 0; r->config != NULL && i < r->config->route_count; i++)
		if (config_route_id(r->config->routes[i].name) == route)
			return r->config->routes[i].name;
	return "-";
}

/*
 * Adds a row of the throttle: the admitted share of each class, its cost and
 * its calls.
 */
static void
dump_row(const struct relay *r, struct h1_text *t, const struct throttle_row *w)
{
	const struct throttle *th = &r->throttle;
	const char *service = th->services[w->service].name,
		   *route = route_name(r, w->route);
	const struct throttle_row *to;
	uint32_t k;

	h1_text_addf(t, "runs %s route=%s measured=%d cost=%.2f", service,
	    route, w->measured, w->cost);
	for (k = 0; k < THROTTLE_CLASSES; k++)
		h1_text_addf(t, " share_%u=%.3f asked_per_s_%u=%.1f", k,
		    w->admitted_share[k], k, w->demand[k]);
	h1_text_addf(t, "\n");
	for (k = 0; k < w->call_count; k++) {
		to = &th->rows[w->calls[k].row];
		h1_text_addf(t,
		    "calls %s route=%s to=%s to_route=%s per_run=%.3f\n",
		    service, route, th->services[to->service].name,
		    route_name(r, to->route), w->calls[k].calls_per_run);
	}
}

/*
 * Adds the measurements of each service, and the rows of its runs.
 */
static void
dump_throttle(const struct relay *r, struct h1_text *t)
{
	const struct throttle_service *s;
	uint32_t i;

	h1_text_addf(t, "# throttle\n");
	for (i = 0; i < r->throttle.count; i++) {
		s = &r->throttle.services[i];
		h1_text_addf(t,
		    "service %s limits=%d offered=%.3f expected=%.3f trim=%.2f "
		    "slots=%.0f runs_per_s=%.1f\n",
		    s->name, s->is_limiting, s->offered_load, s->expected_load,
		    s->capacity_factor, s->slots, s->capacity_runs_per_s);
	}
	for (i = 0; i < r->throttle.row_end; i++)
		if (r->throttle.rows[i].service >= 0)
			dump_row(r, t, &r->throttle.rows[i]);
}

/*
 * Adds the limits of workspaces, each with the node that owns it.
 */
static void
dump_limits(struct relay *r, struct h1_text *t)
{
	const struct config_ws *w;
	size_t i;
	int owner;

	h1_text_addf(t, "# limits\n");
	for (i = 0; r->config != NULL && i < r->config->ws_count; i++) {
		w = &r->config->workspaces[i];
		owner = fleet_owner(&r->fleet, w->hash, relay_now(r));
		h1_text_addf(t, "limit %s rate=%.1f burst=%u owner=%s\n",
		    w->name, w->rate, w->burst,
		    owner == FLEET_SELF	  ? r->set.node
		    : owner == FLEET_NONE ? "-"
					  : r->fleet.peers[owner].node);
	}
}

/*
 * Writes all sections of the dump.
 */
void
relay_dump(struct relay *r, struct h1_text *t)
{
	dump_node(r, t);
	dump_server(r, t);
	dump_peers(r, t);
	dump_throttle(r, t);
	dump_limits(r, t);
}

#include <arpa/inet.h>
#include <err.h>
#include <math.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/loopclock.h"
#include "event/event.h"
#include "relay/relay_int.h"

#define TICK_MS 10	   /* precision of deadlines */
#define PEER_IDLE_MS 20000 /* idle timeout of connections to other nodes */
/* Connect timeout to a node: long enough to notice a lost first packet. */
#define PEER_CONNECT_MS 400
#define SERVER_IDLE_MS 9000 /* idle timeout of connections to the server */
#define SERVER_CONNECT_MS 300
/* Descriptors not available to callers and nodes. */
#define RESERVED_DESCRIPTORS 400
#define MS_PER_S 1000
#define NS_PER_MS 1000000

static void fill_heartbeat(void *, struct fleet_heartbeat *);
static void on_peer_changed(void *, int);
static void on_deadline_tick(uv_timer_t *);

static const struct fleet_ops fleet_ops = {
	.fill_heartbeat = fill_heartbeat,
	.on_full_heartbeat = load_on_heartbeat,
	.on_load = load_on_report,
	.on_members_changed = on_peer_changed,
	.on_token_request = relay_on_token_request,
	.on_token_grant = relay_on_token_grant,
	.on_crash_report = relay_on_crash_report,
	.on_bucket_transfer = relay_on_bucket_transfer,
	.on_proof_query = relay_on_proof_query,
	.on_proof = relay_on_proof,
	.on_server_departed = relay_on_departure_report,
	.on_route_profile = load_on_route_profile,
};

static const char *const counter_names[RELAY_COUNTER_MAX] = {
	[RELAY_REQUESTS] = "requests",
	[RELAY_CALLS] = "calls",
	[RELAY_SERVED] = "served",
	[RELAY_FAILED] = "failed",
	[RELAY_REFUSED] = "refused",
	[RELAY_TIMEOUTS] = "timeouts",
	[RELAY_NO_ROUTE] = "no_route",
	[RELAY_NO_KEY] = "no_key",
	[RELAY_OVER_RATE] = "over_rate",
	[RELAY_CONFIG_STALE] = "config_stale",
	[RELAY_RETRIES] = "retries",
	[RELAY_CALLER_DISCONNECTED] = "caller_gone",
	[RELAY_EXIT_REQUESTS] = "exit_requests",
	[RELAY_EXIT_SERVED] = "exit_served",
	[RELAY_EXIT_REFUSED] = "exit_refused",
	[RELAY_EXIT_FAILED] = "exit_failed",
	[RELAY_EXIT_SERVER_REJECTED] = "exit_shed_by_server",
	[RELAY_EXIT_UNSEALED] = "exit_unsealed",
	[RELAY_THROTTLED] = "throttled",
	[RELAY_ANSWERS_SKIPPED] = "answers_skipped",
	[RELAY_CRASH_REPORTS] = "strikes",
	[RELAY_PROOF_QUERIES] = "proof_queries",
	[RELAY_PROOFS] = "proofs",
	[RELAY_PROOFS_OVERDUE] = "proofs_overdue",
};

const char *const relay_verdict_names[VERDICT_MAX] = {
	[VERDICT_RAN] = "ran",
	[VERDICT_UNKNOWN] = "unknown",
	[VERDICT_REJECTED] = "turned",
	[VERDICT_OVERLOADED] = "busy",
	[VERDICT_UNAVAILABLE] = "away",
	[VERDICT_SUSPECT] = "suspect",
};

/*
 * Returns a counter's name.  It has no unit, as all counters count requests
 * or responses.
 */
const char *
relay_counter_name(enum relay_counter c)
{
	return counter_names[c];
}

/*
 * Initialises a relay and opens its ports.  Returns 0 or a libuv error.
 */
int
relay_init(
    struct relay *r, uv_loop_t *loop, const struct relay_settings *settings)
{
	struct timespec ts;
	uint32_t conns;
	int rc;

	memset(r, 0, sizeof(*r));
	r->loop = loop;
	r->set = *settings;
	proof_set_schedule(r);
	randombytes_set_implementation(&randombytes_internal_implementation);
	if (sodium_init() == -1)
		return UV_ENOSYS;
	clock_gettime(CLOCK_REALTIME, &ts);
	r->incarnation =
	    (uint64_t)ts.tv_sec * MS_PER_S + (uint64_t)(ts.tv_nsec / NS_PER_MS);
	fleet_table_init(&r->fleet, settings->node, loop_ms(loop));
	core_init(&r->core, loop_ms(loop) * MS_PER_S);
	/* Servers report their slots, and queue the requests beyond them. */
	r->core.limiter.fixed_to_slots = 1;
	r->core.slots_known = 1;
	rate_cap_init(&r->cap);
	quota_owner_init(&r->owner);
	seal_init(&r->seal, settings->fleet_key, settings->alternate_key);
	suspect_init(r);
	h1_pool_init(&r->server_pool, loop, &settings->server, SERVER_IDLE_MS,
	    SERVER_CONNECT_MS);
	load_init(r);
	probe_init(r);
	uv_timer_init(loop, &r->tick);
	r->tick.data = r;
	conns = settings->descriptors > 2 * RESERVED_DESCRIPTORS
		    ? settings->descriptors - RESERVED_DESCRIPTORS
		    : RESERVED_DESCRIPTORS;
	rc = h1_server_init(
	    &r->entry, loop, &settings->entry, &entry_ops, r, conns / 3);
	if (rc == 0)
		rc = h1_server_init(
		    &r->exit, loop, &settings->exit, &exit_ops, r, conns / 3);
	if (rc == 0)
		rc = fleet_net_init(&r->net, loop, &settings->fleet, &r->fleet,
		    &r->seal, &fleet_ops, r);
	return rc;
}

/*
 * Returns the loop's time in milliseconds.
 */
uint64_t
relay_now(const struct relay *r)
{
	return loop_ms(r->loop);
}

/*
 * Copies the next word, up to a space, and advances the cursor past it.
 * Returns 0, or -1 if there is no word or it doesn't fit.
 */
int
relay_read_word(char **cursor, char *word, size_t size)
{
	size_t n;

	*cursor += strspn(*cursor, " ");
	n = strcspn(*cursor, " ");
	if (n == 0 || n >= size)
		return -1;
	memcpy(word, *cursor, n);
	word[n] = '\0';
	*cursor += n;
	return 0;
}

/*
 * Reads the next word as an unsigned decimal number.  Returns 0, or -1 if it
 * isn't one.
 */
int
relay_read_number(char **cursor, uint64_t *number)
{
	char word[24], *end;

	if (relay_read_word(cursor, word, sizeof(word)) == -1)
		return -1;
	*number = strtoull(word, &end, 10);
	return *end == '\0' ? 0 : -1;
}

/*
 * Copies a request's id for log lines into a buffer of RELAY_ID_BYTES.  A
 * longer id is truncated; without one the buffer is empty.
 */
void
relay_copy_request_id(const struct relay *r, const struct h1_head *h, char *id)
{
	const char *v;
	size_t n;

	id[0] = '\0';
	v = h1_head_get(h, r->set.names.request_id, &n);
	if (v == NULL)
		return;
	if (n >= RELAY_ID_BYTES)
		n = RELAY_ID_BYTES - 1;
	memcpy(id, v, n);
	id[n] = '\0';
}

/*
 * Returns a random number.  The generator runs within the library, which
 * reads a seed from the system once rather than for each number.
 */
uint64_t
relay_random(void)
{
	uint64_t number;

	randombytes_buf(&number, sizeof(number));
	return number;
}

/*
 * Starts the deadline timer, which runs while there are requests.
 */
void
relay_tick_start(struct relay *r)
{
	if (r->ticking)
		return;
	r->ticking = 1;
	uv_timer_start(&r->tick, on_deadline_tick, TICK_MS, TICK_MS);
}

/*
 * Handles expired deadlines, and stops the timer when no request is left.
 */
static void
on_deadline_tick(uv_timer_t *timer)
{
	struct relay *r = timer->data;

	entry_retry_token_requests(r);
	entry_fail_overdue(r);
	exit_tick(r);
	if (r->entries != NULL || r->exits != NULL)
		return;
	r->ticking = 0;
	uv_timer_stop(timer);
}

/*
 * Returns the link to a node with a given handle, after creating it or
 * updating its address.
 */
struct relay_link *
relay_link(struct relay *r, int handle)
{
	size_t slot = (size_t)handle + 1, count; /* FLEET_SELF is -1 */
	struct relay_link *l;
	struct fleet_peer *p;
	struct sockaddr_in to;

	if (slot >= r->link_count) {
		count = r->fleet.count + 1;
		r->links = reallocarray(r->links, count, sizeof(*r->links));
		if (r->links == NULL)
			err(1, "out of memory");
		memset(&r->links[r->link_count], 0,
		    (count - r->link_count) * sizeof(*r->links));
		r->link_count = count;
	}
	l = &r->links[slot];
	to = r->set.exit;
	if (handle != FLEET_SELF) {
		p = &r->fleet.peers[handle];
		if (l->pool != NULL && l->address == p->address &&
		    l->port == p->port)
			return l;
		l->address = p->address;
		l->port = p->port;
		to.sin_addr.s_addr = htonl(p->address);
		to.sin_port = htons(p->port);
	} else if (l->pool != NULL) {
		return l;
	}
	/*
	 * The node's address has changed.  Exchanges in progress still use
	 * the old pool, so it isn't freed; it is small.
	 */
	if (l->pool != NULL)
		h1_pool_finish(l->pool);
	l->pool = malloc(sizeof(*l->pool));
	if (l->pool == NULL)
		err(1, "out of memory");
	h1_pool_init(l->pool, r->loop, &to, PEER_IDLE_MS, PEER_CONNECT_MS);
	return l;
}

/*
 * Returns the retry budget of a service.
 */
struct budget *
relay_budget(struct relay *r, const char *service)
{
	struct relay_budget *b;
	size_t i;

	for (i = 0; i < r->budget_count; i++)
		if (strcmp(r->budgets[i].service, service) == 0)
			return &r->budgets[i].budget;
	r->budgets =
	    reallocarray(r->budgets, r->budget_count + 1, sizeof(*r->budgets));
	if (r->budgets == NULL)
		err(1, "out of memory");
	b = &r->budgets[r->budget_count++];
	memset(b, 0, sizeof(*b));
	snprintf(b->service, sizeof(b->service), "%s", service);
	budget_init(&b->budget);
	return &b->budget;
}

/*
 * Returns after how many milliseconds a refused caller should retry.
 */
uint64_t
relay_retry_after_ms(enum retry_after_reason reason, uint64_t target_ms)
{
	return retry_after_delay_ms(reason, target_ms, relay_random());
}

/*
 * Applies a configuration and frees the previous one.
 */
void
relay_apply_config(struct relay *r, struct config *c)
{
	struct h1_limits *l;

	if (r->config != NULL)
		config_free(r->config);
	r->config = c;
	load_collect_ranks(r);
	load_forget_routes(r);
	proof_config_applied(r);
	copy_announce_version(r);
	l = &r->entry.limits;
	if (c->caps.head_bytes > 0)
		l->max_head_bytes = c->caps.head_bytes;
	if (c->caps.body_bytes > 0)
		l->max_body_bytes = c->caps.body_bytes;
	if (c->caps.head_ms > 0)
		l->head_timeout_ms = c->caps.head_ms;
	if (c->caps.idle_ms > 0)
		l->idle_timeout_ms = c->caps.idle_ms;
	r->exit.limits.max_body_bytes = l->max_body_bytes;
	r->exit.limits.max_head_bytes = l->max_head_bytes * 2;
}

/*
 * Applies the settings that can change at run time.
 */
void
relay_apply_settings(struct relay *r, const struct relay_settings *set)
{
	r->set.apply_ms = set->apply_ms;
	r->set.fresh_ms = set->fresh_ms;
	proof_set_schedule(r);
	r->set.quota_share = set->quota_share;
	r->set.quota_constant = set->quota_constant;
	r->set.retry_ratio = set->retry_ratio;
	r->set.retry_slack = set->retry_slack;
	r->set.stop_timeout_ms = set->stop_timeout_ms;
	r->set.memory_bytes = set->memory_bytes;
}

/*
 * Returns whether the node is ready for requests of callers.
 */
int
relay_ready(const struct relay *r)
{
	return !r->stopping && r->config != NULL;
}

/*
 * Fills in this node's heartbeat.
 */
static void
fill_heartbeat(void *ctx, struct fleet_heartbeat *b)
{
	static uint32_t silent[FLEET_SILENT_MAX];
	static unsigned int store_lost = 1;
	struct relay *r = ctx;
	struct relay_server *s = &r->server;
	uint64_t now = relay_now(r);
	uint32_t nodes = fleet_size(&r->fleet);

	b->node = r->set.node;
	b->zone = r->set.zone;
	b->incarnation = r->incarnation;
	b->load.sequence = ++r->heartbeat_sequence;
	b->address = ntohl(r->set.advertised.s_addr);
	b->port = ntohs(r->set.exit.sin_port);
	b->stopping = (unsigned int)r->stopping;
	b->store_lost.store_lost_val = &store_lost;
	b->store_lost.store_lost_len = (unsigned int)r->fleet.self_store_lost;
	b->load.config_version = r->config != NULL ? r->config->version : 0;
	b->server.id = s->id;
	b->server.service = s->service;
	b->server.born_ms = relay_server_started_ms(s);
	b->server.slots = relay_server_slots(r);
	b->server.cold_ms =
	    s->cold_until_ms > now ? (unsigned int)(s->cold_until_ms - now) : 0;
	b->load.out = (unsigned int)r->fleet.self_isolated;
	b->load.nodes = nodes != FLEET_SIZE_UNKNOWN ? nodes : 0;
	b->load.silent.silent_len = fleet_list_silent(&r->fleet, now, silent);
	b->load.silent.silent_val = silent;
	b->load.running = r->core.inflight;
	b->load.waiting = r->core.queued;
	b->server.away = s->leaving		  ? FLEET_LEAVING
			 : s->down_until_ms > now ? FLEET_DOWN
						  : 0;
	load_fill_heartbeat(r, b);
	sealed_log_rejected(r);
}

/*
 * Handles a change of a node or its server, or, if the handle is negative,
 * only of the set of live nodes.  Drops the limits that other nodes own now.
 */
static void
on_peer_changed(void *ctx, int handle)
{
	struct relay *r = ctx;
	const struct fleet_peer *p;
	struct relay_link *l;
	size_t i;

	for (i = 0; i < r->owner.count; i++)
		if (r->owner.owned_buckets[i].ws != 0 &&
		    fleet_owner(&r->fleet, r->owner.owned_buckets[i].ws,
			relay_now(r)) != FLEET_SELF)
			quota_owner_drop_bucket(
			    &r->owner, r->owner.owned_buckets[i].ws);
	if (handle < 0)
		return;
	p = &r->fleet.peers[handle];
	l = relay_link(r, handle);
	l->avoid_until_ms = 0;
	l->connect_failure_run = 0;
	l->load_reported_ms = 0;
	event_log(EVENT_PEER_CHANGED, relay_now(r),
	    "peer=%s incarnation=%llu stopping=%d service=%s server=%s "
	    "server_leaving=%d",
	    p->node, (unsigned long long)p->incarnation, p->stopping,
	    p->server.service, p->server.id, p->server.unavailable_state);
}

/*
 * Begins a graceful stop: each connection is closed after its next response,
 * and requests in progress are completed.
 */
void
relay_stop(struct relay *r)
{
	if (r->stopping)
		return;
	r->stopping = 1;
	r->stop_began_ms = relay_now(r);
	h1_server_start_draining(&r->entry);
	h1_server_start_draining(&r->exit);
	fleet_send_heartbeat_all(&r->net, 0);
	relay_transfer_buckets(r);
	event_log(EVENT_STOPPING, relay_now(r), "entries=%u exits=%u",
	    h1_server_open_requests(&r->entry),
	    h1_server_open_requests(&r->exit));
}

/*
 * Closes all ports, connections and timers, and drops requests in progress.
 * The loop must run until all handles are closed before relay_finish() is
 * called.
 */
void
relay_close(struct relay *r)
{
	size_t i;

	h1_server_finish(&r->entry);
	h1_server_finish(&r->exit);
	copy_cancel(r);
	fleet_net_close(&r->net);
	uv_close((uv_handle_t *)&r->tick, NULL);
	uv_close((uv_handle_t *)&r->throttle_timer, NULL);
	uv_close((uv_handle_t *)&r->probe_timer, NULL);
	h1_pool_finish(&r->server_pool);
	for (i = 0; i < r->link_count; i++)
		if (r->links[i].pool != NULL)
			h1_pool_finish(r->links[i].pool);
}

/*
 * Frees the memory of a closed relay.
 */
void
relay_finish(struct relay *r)
{
	size_t i;

	for (i = 0; i < r->link_count; i++)
		free(r->links[i].pool);
	free(r->links);
	free(r->budgets);
	free(r->limits);
	free(r->suspects);
	quota_owner_finish(&r->owner);
	fleet_table_finish(&r->fleet);
	config_free(r->config);
	memset(r, 0, sizeof(*r));
}

/*
 * Returns whether a request is still in progress.
 */
int
relay_has_requests(const struct relay *r)
{
	return r->entries != NULL || r->exits != NULL ||
	       h1_server_open_requests(&r->entry) > 0;
}

/*
 * Reads the exit's header field of a response and stores the server's load.
 * Returns 1 if a call that the server made for the request failed, else 0.
 */
int
relay_apply_exit_header(struct relay *r, int handle, char *text)
{
	struct relay_link *l = relay_link(r, handle);
	uint64_t running, waiting, slots, call_failed;
	char verdict[16];

	if (relay_read_word(&text, verdict, sizeof(verdict)) == -1 ||
	    relay_read_number(&text, &running) == -1 ||
	    relay_read_number(&text, &waiting) == -1 ||
	    relay_read_number(&text, &slots) == -1 ||
	    relay_read_number(&text, &call_failed) == -1)
		return 0;
	l->running = (uint32_t)running;
	l->waiting = (uint32_t)waiting;
	l->slots = (uint32_t)slots;
	l->sent_since_report = 0;
	l->load_reported_ms = relay_now(r);
	l->connect_failure_run = 0;
	return call_failed != 0;
}

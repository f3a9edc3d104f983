#include <stdlib.h>
#include <string.h>
#include <urcu.h>
#include <xxhash.h>

#include "node/node.h"

#define NEWS_MEMBERS_MAX 4096
#define DOMAINS_MAX 64
#define LOG_READ_MS 500 /* a read of the log takes, at most */

/*
 * Gives a failure domain or region the number by which leases know it.
 */
static uint32_t
number_of(const char *name)
{
	return (uint32_t)XXH3_64bits(name, strlen(name)) | 1;
}

/*
 * Tells whether leases should have their owners in a region.
 */
static int
is_lease_region(const struct node *n, const char *region)
{
	const char *want = n->settings.lease_region;

	return want[0] == '\0' || strcmp(want, region) == 0;
}

/*
 * Tells the lease service which members there are.
 */
static size_t
list_members(void *ctx, struct lease_member *out, size_t max)
{
	struct node *n = ctx;
	const struct member_view *v;
	const struct member_info *m;
	uint64_t now = clock_ms();
	size_t i, count = 0;

	rcu_read_lock();
	v = member_view_get(&n->member);
	for (i = 0; i < v->len && count < max; i++) {
		m = &v->members[i];
		out[count].id = m->id;
		out[count].domain = number_of(m->domain);
		out[count].region = number_of(m->region);
		out[count].preferred = is_lease_region(n, m->region);
		out[count].alive =
		    m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT;
		out[count].leaving =
		    m->state == MEMBER_LEFT ||
		    (i == v->self && atomic_load(&n->stopping));
		out[count].age_ms =
		    now > m->state_since_ms ? now - m->state_since_ms : 0;
		count++;
	}
	rcu_read_unlock();
	return count;
}

/*
 * Returns the position of the own failure domain among all, in the order by
 * which leases are spread over them.
 */
static uint32_t
own_group(struct node *n)
{
	uint32_t own = number_of(n->settings.domain), d[DOMAINS_MAX], x;
	const struct member_view *v;
	uint32_t count = 0, rank = 0, i, j;

	rcu_read_lock();
	v = member_view_get(&n->member);
	for (i = 0; i < v->len && count < DOMAINS_MAX; i++) {
		x = number_of(v->members[i].domain);
		for (j = 0; j < count && d[j] != x; j++)
			;
		if (j < count || v->members[i].state != MEMBER_ALIVE ||
		    !is_lease_region(n, v->members[i].region))
			continue;
		d[count++] = x;
		if (x < own)
			rank++;
	}
	rcu_read_unlock();
	return rank % LEASE_GROUPS;
}

/*
 * Finds a workspace's limit in the configuration in force.
 */
static int
find_ws(void *ctx, uint64_t hash, struct limits_workspace *out)
{
	struct node *n = ctx;
	const struct config *c;
	int i = -1;

	rcu_read_lock();
	c = config_current(&n->config);
	if (c != NULL)
		i = config_ws_find(c, hash);
	if (i >= 0) {
		out->hash = hash;
		out->rate = c->workspaces[i].rate;
		out->burst = c->workspaces[i].burst;
		out->changed_ms = c->workspaces[i].changed_ms;
	}
	rcu_read_unlock();
	return i >= 0 ? 0 : -1;
}

/*
 * Has the lease stream read at once.
 */
static void
kick_leases(void *ctx)
{
	struct node *n = ctx;

	lease_service_poll_soon(&n->lease);
}

/*
 * Has the lease stream read, as this node may have become an owner.
 */
static void
expect_lease(void *ctx)
{
	struct node *n = ctx;

	lease_service_poll_now(&n->lease);
}

/*
 * Tells whether leases can change now, since the log was read lately.
 */
int
duties_leases_change(void *ctx)
{
	struct node *n = ctx;
	uint64_t max = LOG_READ_MS + n->settings.log_poll_ms;

	return clock_ms() < atomic_load(&n->log_read_ms) + max;
}

/*
 * Sends news to all other members that are alive.
 */
static void
tell_members(void *ctx, const struct rpc_proc *proc, const void *arg)
{
	struct node *n = ctx;
	struct node_id *to = calloc(NEWS_MEMBERS_MAX, sizeof(*to));
	const struct member_view *v;
	size_t i, count = 0;

	if (to == NULL)
		return;
	rcu_read_lock();
	v = member_view_get(&n->member);
	for (i = 0; i < v->len && count < NEWS_MEMBERS_MAX; i++)
		if (i != v->self && v->members[i].state == MEMBER_ALIVE)
			to[count++] = v->members[i].id;
	rcu_read_unlock();
	for (i = 0; i < count; i++)
		rpc_client_notify(&n->rpc_client, &to[i], proc, arg);
	free(to);
}

/*
 * Sends one message that needs no answer.
 */
static void
notify(void *ctx, const struct node_id *to, const struct rpc_proc *proc,
    const void *arg)
{
	struct node *n = ctx;

	rpc_client_notify(&n->rpc_client, to, proc, arg);
}

/*
 * Starts the leases of this node.
 */
static int
init_leases(struct node *n)
{
	struct lease_config c = { .self = n->id,
		.log = n->log,
		.call = rpc_client_call,
		.call_ctx = &n->rpc_client,
		.members = list_members,
		.members_ctx = n,
		.ready = once_standby_ready,
		.ready_ctx = &n->once,
		.long_ms = n->settings.lease_long_ms,
		.retention_ms = n->settings.log_retention_ms };

	rpc_server_register(
	    &n->rpc_server, lease_procs, LEASE_PROC_MAX, &n->lease);
	return lease_service_init(&n->lease, &c);
}

/*
 * Asks a random member for what it knows of crashing requests, against news
 * that were lost.  Blocks for up to a few hundred ms.
 */
void
duties_sync(struct node *n)
{
	const struct member_view *v;
	struct node_id to = { 0 };
	uint32_t i;

	rcu_read_lock();
	v = member_view_get(&n->member);
	if (v->len > 1) {
		i = (uint32_t)(rand_u64() % v->len);
		if (i != v->self && v->members[i].state == MEMBER_ALIVE)
			to = v->members[i].id;
	}
	rcu_read_unlock();
	if (!nodeid_is_none(&to))
		quarantine_sync(
		    &n->quarantine, rpc_client_call, &n->rpc_client, &to);
}

/*
 * Prepares the duties that requests pass through.  Returns -1 where a
 * thread can't be started.
 */
int
duties_init(struct node *n)
{
	struct limits_config lc = { .self = n->id,
		.lookup = lease_service_lookup,
		.lookup_ctx = &n->lease,
		.call = rpc_client_call,
		.call_ctx = &n->rpc_client,
		.find_limit = find_ws,
		.find_limit_ctx = n,
		.notify = notify,
		.notify_ctx = n,
		.on_owner_failure = kick_leases,
		.on_owner_failure_ctx = n };
	struct once_config oc = { .self = n->id,
		.lookup = lease_service_lookup,
		.lookup_ctx = &n->lease,
		.call = rpc_client_call,
		.call_ctx = &n->rpc_client,
		.on_owner_failure = kick_leases,
		.on_owner_failure_ctx = n,
		.on_claim_as_standby = expect_lease,
		.on_claim_as_standby_ctx = n,
		.owners_may_change = duties_leases_change,
		.owners_may_change_ctx = n };
	size_t i;

	route_table_init(&n->routes);
	parents_init(&n->parents);
	for (i = 0; i < NODE_BUDGETS; i++) {
		retry_budget_init(&n->budgets[i], clock_ms());
		admission_downstream_init(&n->echoes[i]);
	}
	quarantine_init(&n->quarantine, tell_members, n);
	limits_init(&n->limits, &lc);
	once_init(&n->once, &oc);
	rpc_server_register(&n->rpc_server, quarantine_procs,
	    QUARANTINE_PROC_MAX, &n->quarantine);
	rpc_server_register(
	    &n->rpc_server, limits_procs, LIMITS_PROC_MAX, &n->limits);
	rpc_server_register(
	    &n->rpc_server, once_procs, ONCE_PROC_MAX, &n->once);
	return init_leases(n);
}

/*
 * Does what duties need from time to time, every LIMITS_MAINTAIN_INTERVAL_MS.
 */
void
duties_tick(struct node *n)
{
	limits_maintain(&n->limits);
	once_maintain(&n->once);
}

/*
 * Has limits ask the shard of the own failure domain first.  It walks all
 * members, and failure domains change rarely.
 */
void
duties_regroup(struct node *n)
{
	n->limits.cfg.local_group = own_group(n);
}

/*
 * Ends the duties; no request is under way and the RPC server has stopped.
 */
void
duties_finish(struct node *n)
{
	lease_service_finish(&n->lease);
	limits_finish(&n->limits);
	once_finish(&n->once);
	quarantine_finish(&n->quarantine);
	route_table_finish(&n->routes);
	parents_finish(&n->parents);
}

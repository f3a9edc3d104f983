#include <string.h>
#include <urcu.h>

#include "base/clock.h"
#include "lease/lease_service.h"
#include "lease/lease_xdr.h"

#define HEARTBEAT_TIMEOUT_MS 300
#define PAGE_TIMEOUT_MS 300

static int handle_heartbeat(
    void *, const struct sockaddr_in *, const void *, void *);
static int handle_table_page(
    void *, const struct sockaddr_in *, const void *, void *);
static lease_node node_pack(const struct node_id *);
static struct node_id node_unpack(const lease_node *);
static size_t take_shared_standby(struct lease_service *, uint64_t *,
    struct node_id *, lease_heartbeat_item *);
static void send_heartbeat(struct lease_service *, const struct node_id *,
    lease_heartbeat_item *, size_t);
static int fetch_page(struct lease_service *, const struct node_id *, u_int);
static int pick_peer(struct lease_service *, struct node_id *);

const struct rpc_proc lease_procs[LEASE_PROC_MAX] = {
	[LEASE_PROC_HEARTBEAT] = { RPC_BLOCK_LEASE + 1,
	    (xdrproc_t)xdr_lease_heartbeat_arg, sizeof(lease_heartbeat_arg),
	    (xdrproc_t)xdr_lease_heartbeat_res, sizeof(lease_heartbeat_res),
	    handle_heartbeat },
	[LEASE_PROC_PAGE] = { RPC_BLOCK_LEASE + 2,
	    (xdrproc_t)xdr_lease_page_arg, sizeof(lease_page_arg),
	    (xdrproc_t)xdr_lease_page_res, sizeof(lease_page_res),
	    handle_table_page },
};

/*
 * Converts a node's id to its form in messages.
 */
static lease_node
node_pack(const struct node_id *id)
{
	lease_node n = { id->addr, id->rpc_port, id->incarnation };

	return n;
}

/*
 * Converts a node's id from its form in messages.
 */
static struct node_id
node_unpack(const lease_node *n)
{
	struct node_id id = { n->addr, (uint16_t)n->port, n->incarnation };

	return id;
}

/*
 * Handles an owner's heartbeat.  The result tells for which of the listed
 * partitions this node, the standby, promises that it has begun no takeover.
 */
static int
handle_heartbeat(
    void *ctx, const struct sockaddr_in *from, const void *argp, void *resp)
{
	struct lease_service *s = ctx;
	const lease_heartbeat_arg *arg = argp;
	lease_heartbeat_res *res = resp;
	struct node_id owner = node_unpack(&arg->owner);
	struct node_id standby = node_unpack(&arg->standby);
	const struct lease_table *t;
	u_int i;

	(void)from;
	res->promised = 0;
	if (!nodeid_equal(&standby, &s->cfg.self))
		return 0;
	rcu_read_lock();
	t = rcu_dereference(s->published);
	for (i = 0; i < arg->items.items_len; i++)
		if (lease_may_promise(t, arg->items.items_val[i].part,
			arg->items.items_val[i].term, &owner))
			res->promised |= UINT64_C(1) << i;
	rcu_read_unlock();
	return 0;
}

/*
 * Returns a page of the table to a peer whose own table is incomplete or out of
 * date.  The page is empty if the first partition is out of range.  The RPC
 * server frees the result.
 */
static int
handle_table_page(
    void *ctx, const struct sockaddr_in *from, const void *argp, void *resp)
{
	struct lease_service *s = ctx;
	const lease_page_arg *arg = argp;
	lease_page_res *res = resp;
	struct lease_view v;
	lease_row *row;
	u_int i;

	(void)from;
	res->from = arg->from;
	res->rows.rows_len = 0;
	res->rows.rows_val = calloc(LEASE_PAGE, sizeof(*row));
	if (res->rows.rows_val == NULL)
		return -1;
	for (i = 0; i < LEASE_PAGE && arg->from < LEASE_PARTS &&
		    arg->from + i < LEASE_PARTS;
	     i++) {
		lease_service_lookup(s, arg->from + i, clock_ms(), &v);
		row = &res->rows.rows_val[res->rows.rows_len++];
		row->term = v.term;
		row->owner = node_pack(&v.owner);
		row->standby = node_pack(&v.standby);
	}
	return 0;
}

/*
 * Removes from a set of partitions the first one and all others with the same
 * standby, and writes them to items.  Returns the number of items; 0 if the set
 * is empty.
 */
static size_t
take_shared_standby(struct lease_service *s, uint64_t *remaining,
    struct node_id *standby, lease_heartbeat_item *items)
{
	const struct lease_entry *e;
	size_t n = 0;
	u_int i;

	for (i = 0; i < LEASE_PARTS; i++) {
		if ((*remaining & UINT64_C(1) << i) == 0)
			continue;
		e = &s->table.part[i];
		if (n == 0)
			*standby = e->standby;
		else if (!nodeid_equal(&e->standby, standby))
			continue;
		*remaining &= ~(UINT64_C(1) << i);
		items[n].part = i;
		items[n++].term = e->term;
	}
	return n;
}

/*
 * Sends a heartbeat to one standby and records its promises.  They count from
 * the time before the call was sent.
 */
static void
send_heartbeat(struct lease_service *s, const struct node_id *standby,
    lease_heartbeat_item *items, size_t n)
{
	lease_heartbeat_arg arg;
	lease_heartbeat_res res;
	uint64_t sent;
	size_t i;

	memset(&res, 0, sizeof(res));
	arg.owner = node_pack(&s->cfg.self);
	arg.standby = node_pack(standby);
	arg.items.items_len = (u_int)n;
	arg.items.items_val = items;
	sent = clock_ms();
	if (s->cfg.call(s->cfg.call_ctx, standby,
		&lease_procs[LEASE_PROC_HEARTBEAT], &arg, &res,
		HEARTBEAT_TIMEOUT_MS) != RPC_DONE)
		return;
	pthread_mutex_lock(&s->lock);
	for (i = 0; i < n; i++)
		if (res.promised & UINT64_C(1) << i)
			lease_add_promise(
			    &s->table, items[i].part, items[i].term, sent);
	pthread_mutex_unlock(&s->lock);
	xdr_free((xdrproc_t)xdr_lease_heartbeat_res, &res);
}

/*
 * Sends heartbeats to the standbys of all partitions that this node owns.
 */
void
lease_send_heartbeats(struct lease_service *s)
{
	lease_heartbeat_item items[LEASE_PARTS];
	const struct lease_entry *e;
	struct node_id standby;
	uint64_t remaining = 0;
	size_t n;
	int i;

	pthread_mutex_lock(&s->lock);
	for (i = 0; i < LEASE_PARTS; i++) {
		e = &s->table.part[i];
		if (nodeid_equal(&e->owner, &s->cfg.self) &&
		    !nodeid_is_none(&e->standby))
			remaining |= UINT64_C(1) << i;
	}
	while ((n = take_shared_standby(s, &remaining, &standby, items)) > 0) {
		pthread_mutex_unlock(&s->lock);
		send_heartbeat(s, &standby, items, n);
		lease_publish(s);
		pthread_mutex_lock(&s->lock);
	}
	pthread_mutex_unlock(&s->lock);
}

/*
 * Fetches one page of a peer's table and adds its rows as hints.  Returns 0, or
 * -1 if the peer did not answer.
 */
static int
fetch_page(struct lease_service *s, const struct node_id *peer, u_int from)
{
	lease_page_arg arg = { from };
	lease_page_res res;
	struct node_id owner, standby;
	const lease_row *row;
	u_int i;

	memset(&res, 0, sizeof(res));
	if (s->cfg.call(s->cfg.call_ctx, peer, &lease_procs[LEASE_PROC_PAGE],
		&arg, &res, PAGE_TIMEOUT_MS) != RPC_DONE)
		return -1;
	pthread_mutex_lock(&s->lock);
	for (i = 0; i < res.rows.rows_len && res.from == from; i++) {
		row = &res.rows.rows_val[i];
		owner = node_unpack(&row->owner);
		standby = node_unpack(&row->standby);
		lease_add_hint(
		    &s->table, from + i, row->term, &owner, &standby);
	}
	pthread_mutex_unlock(&s->lock);
	xdr_free((xdrproc_t)xdr_lease_page_res, &res);
	return 0;
}

/*
 * Picks a random live peer.  Returns 0, or -1 if there is none.
 */
static int
pick_peer(struct lease_service *s, struct node_id *peer)
{
	const struct lease_member *m;
	size_t n, i, start;
	int res = -1;

	pthread_mutex_lock(&s->lock);
	n = s->cfg.members(s->cfg.members_ctx, s->members, LEASE_MEMBERS_MAX);
	start = n > 0 ? rand_u64() % n : 0;
	for (i = 0; i < n && res == -1; i++) {
		m = &s->members[(start + i) % n];
		if (!m->alive || nodeid_equal(&m->id, &s->cfg.self))
			continue;
		*peer = m->id;
		res = 0;
	}
	pthread_mutex_unlock(&s->lock);
	return res;
}

/*
 * Fetches the table of a random live peer, to learn the owners of the
 * partitions while the log is unavailable or the own table is incomplete.
 */
void
lease_fetch_peer_table(struct lease_service *s)
{
	struct node_id peer;
	u_int from;

	if (pick_peer(s, &peer) == -1)
		return;
	for (from = 0; from < LEASE_PARTS; from += LEASE_PAGE)
		if (fetch_page(s, &peer, from) == -1)
			return;
	pthread_mutex_lock(&s->lock);
	s->peer_table_read = 1;
	pthread_mutex_unlock(&s->lock);
}

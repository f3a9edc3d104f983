#ifndef MEMBER_TEST_NET_H
#define MEMBER_TEST_NET_H

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "member/member_int.h"

/*
 * Simulated network of member tables in one process.  The tables exchange
 * encoded messages with delay and loss, driven by a simulated clock.  A run
 * is determined by its seed.
 */
#define NET_ADDR_FIRST 0x0a000000u
#define NET_PORT 7000
#define NET_DELAY_MAX_MS 64
#define NET_START_MS 1000000 /* of the simulated clock */

struct net;

struct net_msg {
	struct net_msg *next;
	uint32_t to;
	uint32_t partition;
	uint32_t len;
	char bytes[RPC_BODY_MAX];
};

struct net_node {
	struct member_table table;
	struct net *net;
	struct node_id id;
	uint64_t stalled_until_ms;
	uint64_t sent_msgs;
	uint64_t sent_bytes;
	uint64_t config_seen;
	uint32_t partition;
	uint32_t deaths_seen;
	int running;
};

struct net {
	struct net_node *nodes;
	struct net_msg *in_flight[NET_DELAY_MAX_MS];
	uint32_t len;
	uint64_t now;
	uint64_t rng;
	uint32_t loss_permille; /* thousandths of the messages that are lost */
	uint32_t delay_max_ms;
	uint32_t false_deaths;
	uint32_t largest_msg_bytes;
};

/*
 * Returns the next random number (splitmix64).
 */
static inline uint64_t
net_rand(void *ctx)
{
	struct net *net = ((struct net_node *)ctx)->net;
	uint64_t z = net->rng += 0x9e3779b97f4a7c15;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return z ^ z >> 31;
}

/*
 * Returns the node with an address, or NULL if there is none.
 */
static inline struct net_node *
net_find_node(struct net *net, uint32_t addr)
{
	uint32_t i = addr - NET_ADDR_FIRST;

	return i < net->len ? &net->nodes[i] : NULL;
}

/*
 * Encodes a message and queues it for delivery after a random delay, unless
 * it is lost.
 */
static inline void
net_send(
    void *ctx, uint32_t addr, uint16_t port, const struct member_message *msg)
{
	struct net_node *from = ctx, *to = net_find_node(from->net, addr);
	struct net *net = from->net;
	struct net_msg *m;
	uint64_t due;
	XDR xdrs;

	m = malloc(sizeof(*m));
	assert(m != NULL);
	xdrmem_create(&xdrs, m->bytes, sizeof(m->bytes), XDR_ENCODE);
	if (!xdr_member_message(&xdrs, (struct member_message *)(uintptr_t)msg))
		abort();
	m->len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	net->largest_msg_bytes = MAX(net->largest_msg_bytes, m->len);
	from->sent_msgs++;
	from->sent_bytes += m->len;
	if (to == NULL || port != NET_PORT ||
	    net_rand(ctx) % 1000 < net->loss_permille) {
		free(m);
		return;
	}
	m->to = addr - NET_ADDR_FIRST;
	m->partition = from->partition;
	due = net->now + 1 + net_rand(ctx) % net->delay_max_ms;
	m->next = net->in_flight[due % NET_DELAY_MAX_MS];
	net->in_flight[due % NET_DELAY_MAX_MS] = m;
}

/*
 * Records the configuration version seen, and counts the deaths reported.  The
 * death of a process that runs in the same partition is also counted as false.
 */
static inline void
net_handle_event(void *ctx, enum member_event event,
    const struct member_info *info, uint64_t version)
{
	struct net_node *n = ctx,
			*subject = net_find_node(n->net, info->id.addr);

	if (event == MEMBER_CONFIG_SEEN)
		n->config_seen = version;
	if (event != MEMBER_DIED)
		return;
	n->deaths_seen++;
	if (subject != NULL && subject->running &&
	    subject->partition == n->partition &&
	    subject->id.incarnation == info->id.incarnation)
		n->net->false_deaths++;
}

/*
 * Starts a process at a node's address.  Its seed is the previous node, or
 * node 1 for node 0.
 */
static inline void
net_start(struct net *net, uint32_t i, uint64_t epoch)
{
	struct net_node *n = &net->nodes[i];
	struct member_callbacks port = { net_send, net_rand, net_handle_event,
		n };
	struct node_id seed = { NET_ADDR_FIRST + (i == 0 ? 1 : i - 1), NET_PORT,
		0 };
	struct member_settings s = { 0 };

	n->net = net;
	n->id.addr = NET_ADDR_FIRST + i;
	n->id.rpc_port = NET_PORT;
	n->id.incarnation = net_rand(n) | 1;
	s.self = n->id;
	s.peer_port = 8000;
	s.domain = "domain-a";
	s.seeds = &seed;
	s.seeds_len = 1;
	member_table_init(&n->table, &s, &port, net->now, epoch);
	n->running = 1;
}

/*
 * Ends a process without a leave announcement.
 */
static inline void
net_kill(struct net *net, uint32_t i)
{
	member_table_finish(&net->nodes[i].table);
	net->nodes[i].running = 0;
}

/*
 * Initializes a network and starts all nodes.
 */
static inline void
net_init(struct net *net, uint32_t len, uint64_t seed)
{
	uint32_t i;

	memset(net, 0, sizeof(*net));
	net->nodes = calloc(len, sizeof(*net->nodes));
	assert(net->nodes != NULL);
	net->len = len;
	net->now = NET_START_MS;
	net->rng = seed;
	net->delay_max_ms = 4;
	for (i = 0; i < len; i++)
		net_start(net, i, net->now + i);
}

/*
 * Frees a network with its nodes and undelivered messages.
 */
static inline void
net_finish(struct net *net)
{
	struct net_msg *m;
	uint32_t i;

	for (i = 0; i < net->len; i++) {
		if (net->nodes[i].running)
			net_kill(net, i);
	}
	for (i = 0; i < NET_DELAY_MAX_MS; i++) {
		while ((m = net->in_flight[i]) != NULL) {
			net->in_flight[i] = m->next;
			free(m);
		}
	}
	free(net->nodes);
}

/*
 * Delivers one message, or delays it while the receiving node is stalled.
 */
static inline void
net_deliver(struct net *net, struct net_msg *m)
{
	struct net_node *n = &net->nodes[m->to];
	struct member_message msg;
	uint64_t due;
	XDR xdrs;

	if (n->running && n->stalled_until_ms > net->now) {
		due = MIN(n->stalled_until_ms, net->now + NET_DELAY_MAX_MS - 1);
		m->next = net->in_flight[due % NET_DELAY_MAX_MS];
		net->in_flight[due % NET_DELAY_MAX_MS] = m;
		return;
	}
	memset(&msg, 0, sizeof(msg));
	xdrmem_create(&xdrs, m->bytes, m->len, XDR_DECODE);
	if (!xdr_member_message(&xdrs, &msg))
		n = NULL; /* corrupted by a test */
	xdr_destroy(&xdrs);
	if (n != NULL && n->running && n->partition == m->partition)
		member_table_receive(&n->table, net->now, &msg);
	xdr_free((xdrproc_t)xdr_member_message, &msg);
	free(m);
}

/*
 * Runs the simulation for some ms.
 */
static inline void
net_run(struct net *net, uint64_t ms)
{
	uint64_t end = net->now + ms;
	struct net_msg *m, *next;
	struct net_node *n;
	uint32_t i;

	while (net->now < end) {
		net->now++;
		m = net->in_flight[net->now % NET_DELAY_MAX_MS];
		net->in_flight[net->now % NET_DELAY_MAX_MS] = NULL;
		for (; m != NULL; m = next) {
			next = m->next;
			net_deliver(net, m);
		}
		for (i = 0; i < net->len; i++) {
			n = &net->nodes[i];
			if (n->running && n->stalled_until_ms <= net->now &&
			    (net->now + i) % MEMBER_TICK_MS == 0)
				member_table_tick(&n->table, net->now);
		}
	}
}

/*
 * Returns the number of other running nodes whose tables have the current
 * process of the subject node in a state.
 */
static inline uint32_t
net_count_views(struct net *net, uint32_t subject, enum member_state state)
{
	const struct node_id *id = &net->nodes[subject].id;
	struct member_slot *s;
	uint32_t i, n = 0;

	for (i = 0; i < net->len; i++) {
		if (!net->nodes[i].running || i == subject)
			continue;
		s = member_table_find(
		    &net->nodes[i].table, id->addr, id->rpc_port);
		n += s != NULL && nodeid_equal(&s->info.id, id) &&
		     s->info.state == state;
	}
	return n;
}

/*
 * Runs until the tables of all running nodes show each other alive.  Returns
 * the elapsed ms, which are at least the bound if that didn't happen.
 */
static inline uint64_t
net_converge(struct net *net, uint64_t bound_ms)
{
	uint64_t start = net->now;
	uint32_t i, running, agreeing;

	while (net->now - start < bound_ms) {
		net_run(net, 25);
		for (i = running = 0; i < net->len; i++)
			running += net->nodes[i].running;
		for (i = agreeing = 0; i < net->len; i++)
			agreeing += net->nodes[i].running &&
				    net->nodes[i].table.alive == running;
		for (i = 0; i < net->len && agreeing == running; i++)
			agreeing -=
			    net->nodes[i].running &&
			    net_count_views(net, i, MEMBER_ALIVE) < running - 1;
		if (agreeing == running)
			break;
	}
	return net->now - start;
}

/*
 * Returns an entry as decoded from a message.
 */
static inline struct member_entry
net_entry(uint32_t addr, uint64_t inc, uint64_t epoch, enum member_state state,
    uint32_t seq)
{
	struct member_entry e = { .name = { addr, NET_PORT, inc, epoch },
		.peer_port = 8000,
		.domain = (char *)(uintptr_t) "domain-a",
		.region = (char *)(uintptr_t) "" };

	e.state = state;
	e.seq = seq;
	return e;
}

#endif

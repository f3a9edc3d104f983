#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

/*
 * Age of the configuration in force.  A few nodes, the readers, poll the
 * store closely.  The others query one of them, which costs no request to the
 * store, and if that doesn't help, also random nodes.  A response proves that
 * the version was the newest at the time of the query less the reported age,
 * no matter how long the messages took.
 */

#define READERS_MAX 2
#define EXTRA_QUERIES 2 /* random nodes queried when the readers don't help */
/* Time for which a newer version is requested from the nodes that have it. */
#define PEER_COPY_MS 800
#define READER_NAMES_BYTES (READERS_MAX * (FLEET_NAME_BYTES + 1))

static void query_nodes(struct relay *, uint64_t);
static void send_query(struct relay *, const struct relay_proof_query *, int);
static enum config_need find_need(struct relay *);
static void log_readers(struct relay *);
static void note_need(struct relay *, enum config_need);

/*
 * Computes when this node queries others and reads the store, from the settings
 * that bound the age of its configuration and of its keys.
 */
void
proof_set_schedule(struct relay *r)
{
	follow_schedule_init(&r->schedule, r->set.apply_ms < r->set.fresh_ms
					       ? r->set.apply_ms
					       : r->set.fresh_ms);
}

/*
 * Returns how many milliseconds ago the configuration in force was last
 * proved to be the newest.
 */
uint64_t
relay_proof_age_ms(const struct relay *r)
{
	return relay_now(r) - r->config_proved_ms;
}

/*
 * Records the last time at which the configuration was known to be the newest.
 */
void
relay_config_proved(struct relay *r, uint64_t at_ms)
{
	if (at_ms <= r->config_proved_ms)
		return;
	r->config_proved_ms = at_ms;
	r->proof_search.queries = r->proof_search.responses = 0;
}

/*
 * Accounts for a version that has come into force.
 */
void
proof_config_applied(struct relay *r)
{
	r->newer_version_ms = 0;
	if (r->config->version == r->newer_proof_version)
		relay_config_proved(r, r->newer_proof_ms);
}

/*
 * Returns whether this node is one of the readers.
 */
int
relay_reads_store(struct relay *r)
{
	int readers[READERS_MAX];
	size_t i, n;

	n = fleet_store_readers(&r->fleet, readers, READERS_MAX);
	for (i = 0; i < n; i++)
		if (readers[i] == FLEET_SELF)
			return 1;
	return 0;
}

/*
 * Records whether this node can read the store.  A reader that can't tells all
 * nodes at once, so that another takes its place; otherwise the next full
 * heartbeat tells them.
 */
void
relay_set_store_lost(struct relay *r, int lost)
{
	int was_reader = relay_reads_store(r);

	r->fleet.self_store_lost = lost;
	if (lost && was_reader)
		fleet_send_heartbeat_all(&r->net, 0);
}

/*
 * Writes the names of the readers, separated by commas.  Returns their digest.
 */
static uint64_t
name_readers(const struct relay *r, char *names, size_t size)
{
	int readers[READERS_MAX];
	uint64_t digest = 0;
	size_t i, n, len = 0;

	names[0] = '\0';
	n = fleet_store_readers(&r->fleet, readers, READERS_MAX);
	for (i = 0; i < n; i++) {
		digest = digest * (UINT32_MAX + 2ULL) +
			 (uint64_t)(readers[i] - FLEET_NONE) + 1;
		len += (size_t)snprintf(names + len, size - len, "%s%s",
		    i > 0 ? "," : "",
		    readers[i] == FLEET_SELF ? r->set.node
		    : readers[i] == FLEET_NONE
			? "-"
			: r->fleet.peers[readers[i]].node);
	}
	return digest;
}

/*
 * Logs which nodes read the store if that has changed.
 */
static void
log_readers(struct relay *r)
{
	char names[READER_NAMES_BYTES];
	uint64_t digest = name_readers(r, names, sizeof(names));

	if (digest == r->readers_logged)
		return;
	r->readers_logged = digest;
	event_log(EVENT_STORE_READERS, relay_now(r), "readers=%s self=%d",
	    names, relay_reads_store(r));
}

/*
 * Logs that this node begins to read the store because it got no proof from
 * other nodes: whether they responded, and how old their proofs are.
 */
static void
note_need(struct relay *r, enum config_need need)
{
	struct relay_proof_search *s = &r->proof_search;
	char names[READER_NAMES_BYTES];

	if (need != CONFIG_NEED_STORE) {
		s->overdue = 0;
		return;
	}
	if (s->overdue)
		return;
	s->overdue = 1;
	r->counters[RELAY_PROOFS_OVERDUE]++;
	name_readers(r, names, sizeof(names));
	event_log(EVENT_PROOF_OVERDUE, relay_now(r),
	    "age_ms=%llu version=%llu readers=%s queries=%u responses=%u "
	    "response_age_ms=%llu response_version=%llu newer_ms=%llu",
	    (unsigned long long)relay_proof_age_ms(r),
	    (unsigned long long)r->config->version, names, s->queries,
	    s->responses, (unsigned long long)s->response_age_ms,
	    (unsigned long long)s->response_version,
	    (unsigned long long)(r->newer_version_ms > 0
				     ? relay_now(r) - r->newer_version_ms
				     : 0));
}

/*
 * Returns 1 if a live node has a newer version, else 0.
 */
static int
is_outdated(const struct relay *r, uint64_t now)
{
	size_t i;

	for (i = 0; i < r->fleet.count; i++)
		if (r->fleet.peers[i].config_version > r->config->version &&
		    fleet_is_alive(&r->fleet, i, now))
			return 1;
	return 0;
}

/*
 * Returns what this node needs to have the newest configuration and to know
 * that it has.  Sends a query if the last proof is getting old.  The store is
 * needed where other nodes don't help.
 */
enum config_need
relay_config_need(struct relay *r)
{
	enum config_need need = find_need(r);

	log_readers(r);
	note_need(r, need);
	return need;
}

/*
 * Decides for relay_config_need().  A proof that is too old needs the store
 * also while a copy of a newer version is awaited.
 */
static enum config_need
find_need(struct relay *r)
{
	uint64_t now = relay_now(r), age_ms = now - r->config_proved_ms;
	int outdated;

	if (r->config == NULL)
		return CONFIG_NEED_NOTHING;
	outdated = is_outdated(r, now);
	if (!outdated)
		r->newer_version_ms = 0;
	else if (r->newer_version_ms == 0)
		r->newer_version_ms = now;
	if (age_ms >= r->schedule.query_age_ms &&
	    now - r->proof_query_ms >= r->schedule.query_interval_ms)
		query_nodes(r, age_ms);
	if (age_ms >= r->schedule.read_age_ms ||
	    (outdated && now - r->newer_version_ms >= PEER_COPY_MS))
		return CONFIG_NEED_STORE;
	return outdated ? CONFIG_NEED_PEER : CONFIG_NEED_NOTHING;
}

/*
 * Queries a reader.  If its proofs are too old, also queries random nodes: the
 * store may be reachable for some, but not for the readers.
 */
static void
query_nodes(struct relay *r, uint64_t age_ms)
{
	struct relay_proof_query *q;
	int readers[READERS_MAX];
	size_t i, n;

	n = fleet_store_readers(&r->fleet, readers, READERS_MAX);
	q = &r->proof_queries[r->proof_query_count++ % RELAY_PROOF_QUERIES_MAX];
	q->id = relay_random();
	q->sent_ms = r->proof_query_ms = relay_now(r);
	if (n > 0)
		send_query(r, q, readers[relay_random() % n]);
	if (age_ms < r->schedule.read_age_ms || r->fleet.count == 0)
		return;
	for (i = 0; i < EXTRA_QUERIES; i++)
		send_query(r, q, (int)(relay_random() % r->fleet.count));
}

/*
 * Sends the query to the node with a given handle, if it is alive.
 */
static void
send_query(struct relay *r, const struct relay_proof_query *q, int handle)
{
	struct fleet_msg m;

	if (handle < 0 ||
	    !fleet_is_alive(&r->fleet, (size_t)handle, relay_now(r)))
		return;
	memset(&m, 0, sizeof(m));
	r->counters[RELAY_PROOF_QUERIES]++;
	r->proof_search.queries++;
	m.kind = FLEET_PROOF_QUERY;
	m.fleet_msg_u.doubt.id = q->id;
	fleet_send(&r->net, &m, r->fleet.peers[handle].address);
}

/*
 * Responds to a query of another node.
 */
void
relay_on_proof_query(void *ctx, const struct fleet_proof_query *d,
    const struct sockaddr_in *from)
{
	struct relay *r = ctx;
	struct fleet_msg m;

	if (r->config == NULL || r->config_proved_ms == 0)
		return;
	memset(&m, 0, sizeof(m));
	m.kind = FLEET_PROOF;
	m.fleet_msg_u.proof.id = d->id;
	m.fleet_msg_u.proof.config_version = r->config->version;
	m.fleet_msg_u.proof.age_ms =
	    (unsigned int)(relay_now(r) - r->config_proved_ms);
	fleet_send(&r->net, &m, ntohl(from->sin_addr.s_addr));
}

/*
 * Returns the query with an id, or NULL.
 */
static const struct relay_proof_query *
find_query(const struct relay *r, uint64_t id)
{
	size_t i;

	for (i = 0; id != 0 && i < RELAY_PROOF_QUERIES_MAX; i++)
		if (r->proof_queries[i].id == id)
			return &r->proof_queries[i];
	return NULL;
}

/*
 * Applies a response to one of the last queries: on a busy machine it may take
 * longer than the interval between them.  The proof of a newer version counts
 * once that is in force.
 */
void
relay_on_proof(void *ctx, const struct fleet_proof *p)
{
	struct relay *r = ctx;
	const struct relay_proof_query *q = find_query(r, p->id);
	uint64_t proved_ms;

	if (q == NULL || r->config == NULL)
		return;
	r->proof_search.responses++;
	r->proof_search.response_age_ms = p->age_ms;
	r->proof_search.response_version = p->config_version;
	if (p->config_version < r->config->version || p->age_ms > q->sent_ms)
		return;
	proved_ms = q->sent_ms - p->age_ms;
	if (p->config_version > r->config->version) {
		r->newer_proof_version = p->config_version;
		r->newer_proof_ms = proved_ms;
		return;
	}
	r->counters[RELAY_PROOFS]++;
	relay_config_proved(r, proved_ms);
}

#include <curl/curl.h>
#include <err.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#include "node/node.h"

#define TICK_US 20000 /* LIMITS_MAINTAIN_INTERVAL_MS */
#define SLOW_TICKS 5
#define PEER_CONNS_MAX 256
#define PEER_IDLE_MS 2000 /* shorter than a peer keeps them open */
#define SERVER_CONNS_MAX 512
#define SERVER_IDLE_MS 2000
#define READY_MAX_MS 3000   /* after which callers are served anyway */
#define READY_SETTLE_MS 300 /* without a new member */
#define STOP_CHECK_US 10000
#define LEAVE_LEASES_MS 2000
#define STOP_QUIET_MS 300   /* without a request, before ports close */
#define STOP_LINGER_MS 1000 /* for callers that don't cease */

static void *ticker_main(void *);

/*
 * Tells peers of a newly decided configuration.
 */
static void
on_config(void *ctx, const struct config *c)
{
	struct node *n = ctx;

	member_set_config_version(&n->member, c->version);
}

/*
 * Notes that the log was read to its end by a read sent at that time (ms).
 */
static void
on_log_read(void *ctx, uint64_t sent_ms)
{
	struct node *n = ctx;

	atomic_store(&n->log_read_ms, sent_ms);
	member_set_log_read_time(&n->member, sent_ms);
}

/*
 * Derives the key that proves peers to each other.
 */
static void
derive_key(struct node *n, const struct settings *s)
{
	static const char label[] = "cyclamenvale peer key 1";

	crypto_generichash(n->key, sizeof(n->key), (const unsigned char *)label,
	    sizeof(label), s->secret.bytes,
	    s->secret.len > crypto_generichash_KEYBYTES_MAX
		? crypto_generichash_KEYBYTES_MAX
		: s->secret.len);
}

/*
 * Sets up RPC and membership.  Returns -1 after logging why it can't.
 */
static int
init_peers(struct node *n)
{
	const struct settings *s = &n->settings;
	struct node_id seeds[SETTINGS_SEED_PEERS_MAX] = { 0 };
	struct member_settings ms = { .self = n->id,
		.peer_port = (uint16_t)s->advertise_peer_port,
		.domain = s->domain,
		.region = s->region,
		.probe_period_ms = s->probe_ms,
		.log_read_max_age_ms = s->config_stale_ms,
		.seeds = seeds,
		.seeds_len = s->seed_peers.count };
	GError *e = NULL;
	size_t i;

	for (i = 0; i < s->seed_peers.count; i++) {
		seeds[i].addr = s->seed_peers.list[i].addr;
		seeds[i].rpc_port = (uint16_t)s->seed_peers.list[i].port;
	}
	if (rpc_settings_init(
		&n->rpc_settings, &n->id, n->key, sizeof(n->key), &e) == -1) {
		logline(LOG_CRIT, "rpc-failed", "why=\"%s\"", e->message);
		g_error_free(e);
		return -1;
	}
	n->rpc_settings.bind.addr = s->address;
	n->rpc_settings.bind.rpc_port = (uint16_t)s->rpc_port;
	if (rpc_server_init(&n->rpc_server, &n->rpc_settings, &e) == -1 ||
	    rpc_client_init(&n->rpc_client, &n->rpc_settings, &e) == -1) {
		logline(LOG_CRIT, "rpc-failed", "why=\"%s\"", e->message);
		g_error_free(e);
		return -1;
	}
	return member_service_init(
	    &n->member, &ms, &n->rpc_server, &n->rpc_client, &n->log);
}

/*
 * Prepares a node from checked settings.  Returns -1 after logging why it
 * can't run.
 */
int
node_init(struct node *n, const struct settings *s)
{
	memset(n, 0, sizeof(*n));
	n->settings = *s;
	n->id.addr = s->advertise_address;
	n->id.rpc_port = (uint16_t)s->advertise_rpc_port;
	n->id.incarnation = rand_u64();
	derive_key(n, s);
	n->log_http = logsvc_http_new(s->log_url);
	logsvc_http_use(n->log_http, &n->log);
	n->peers = client_new(s->address, PEER_CONNS_MAX, PEER_IDLE_MS);
	n->servers = client_new(s->address, SERVER_CONNS_MAX, SERVER_IDLE_MS);
	server_init(&n->server);
	pthread_mutex_init(&n->death_lock, NULL);
	admission_init(&n->admission);
	admission_set_policy(
	    &n->admission, settings_policy_on(s, POLICY_ADMISSION));
	if (init_peers(n) == -1)
		return -1;
	if (config_service_init(&n->config, &n->log, s->log_poll_ms, on_config,
		on_log_read, n) == -1) {
		logline(LOG_CRIT, "config-failed", "why=\"%m\"");
		return -1;
	}
	return 0;
}

/*
 * Starts all threads and opens the ports but for callers'.  Returns -1 after
 * logging why it can't.
 */
int
node_start(struct node *n)
{
	GError *e = NULL;
	char id[NODE_ID_TEXT];

	if (duties_init(n) == -1) {
		logline(LOG_CRIT, "start-failed", "why=\"no thread\"");
		return -1;
	}
	if (rpc_server_start(&n->rpc_server, &e) == -1 ||
	    member_service_start(&n->member, &e) == -1) {
		logline(LOG_CRIT, "start-failed", "why=\"%s\"", e->message);
		g_error_free(e);
		return -1;
	}
	n->running = 1;
	if (config_service_start(&n->config) == -1 ||
	    pthread_create(&n->ticker, NULL, ticker_main, n) != 0 ||
	    pthread_create(&n->fetcher, NULL, fetch_main, n) != 0) {
		logline(LOG_CRIT, "start-failed", "why=\"no thread\"");
		return -1;
	}
	if (ports_start(n) == -1)
		return -1;
	n->started_ms = clock_ms();
	nodeid_format(&n->id, id);
	logline(
	    LOG_NOTICE, "started", "node=%s domain=%s", id, n->settings.domain);
	return 0;
}

/*
 * Tells whether the members are known: the seeds have told of theirs, and no
 * more turn up; or there is nobody to ask.
 */
static int
members_known(struct node *n, uint64_t now)
{
	uint32_t known;

	rcu_read_lock();
	known = member_view_get(&n->member)->known;
	rcu_read_unlock();
	if (known != n->known) {
		n->known = known;
		n->known_ms = now;
	}
	return n->settings.seed_peers.count == 0 ||
	       (known > 1 && now >= n->known_ms + READY_SETTLE_MS);
}

/*
 * Tells whether callers can be served: the configuration, the members and
 * the leases are known.  After READY_MAX_MS a node serves as well as it can,
 * for it may be alone or the log be out.
 */
int
node_ready(struct node *n)
{
	uint64_t now = clock_ms();
	int known = members_known(n, now);

	if (now >= n->started_ms + READY_MAX_MS)
		return 1;
	return known &&
	       (atomic_load(&n->log_read_ms) > 0 ||
		   config_service_version(&n->config) > 0) &&
	       lease_service_ready(&n->lease);
}

/*
 * Opens the callers' port.  Returns -1 after logging why it can't.
 */
int
node_open(struct node *n)
{
	if (ports_open(n) == -1)
		return -1;
	atomic_store(&n->open, 1);
	logline(LOG_NOTICE, "ready", "after_ms=%" PRIu64,
	    clock_ms() - n->started_ms);
	return 0;
}

/*
 * Does what has to be done from time to time.
 */
static void *
ticker_main(void *ctx)
{
	struct node *n = ctx;
	unsigned int tick = 0;

	rcu_register_thread();
	while (n->running) {
		usleep(TICK_US);
		duties_tick(n);
		if (++tick % SLOW_TICKS != 0)
			continue;
		duties_regroup(n);
		server_check(n, clock_ms());
		client_reap(n->peers, clock_ms());
		client_reap(n->servers, clock_ms());
	}
	rcu_unregister_thread();
	return NULL;
}

/*
 * Returns how many requests are under way, apart from operators'.
 */
static unsigned int
busy(struct node *n)
{
	return atomic_load(&n->inflight[PORT_CALLER]) +
	       atomic_load(&n->inflight[PORT_INNER]) +
	       atomic_load(&n->inflight[PORT_PEER]);
}

/*
 * Waits until no request is under way and none has come for a while, or
 * until a time (ms).
 */
static void
wait_quiet(struct node *n, uint64_t until, uint64_t quiet_ms)
{
	uint64_t now;

	while (
	    (now = clock_ms()) < until &&
	    (busy(n) > 0 || now < atomic_load(&n->last_request_ms) + quiet_ms))
		usleep(STOP_CHECK_US);
}

/*
 * Stops gracefully: no new work, peers are told, and what is under way ends
 * or runs into the stop timeout.  Then no connection is accepted any more,
 * and those that are open are told to close as long as they bring requests.
 */
void
node_stop(struct node *n)
{
	uint64_t now = clock_ms(), until = now + n->settings.stop_timeout_ms;

	logline(LOG_NOTICE, "stopping", "inflight=%u", busy(n));
	atomic_store(&n->stopping, 1);
	admission_stop(&n->admission);
	server_check(n, now);
	lease_service_hand_over(&n->lease, LEAVE_LEASES_MS);
	member_leave(&n->member);
	lease_service_wait_released(&n->lease, LEAVE_LEASES_MS);
	while (clock_ms() < until && admission_outstanding(&n->admission) > 0)
		usleep(STOP_CHECK_US);
	now = clock_ms();
	wait_quiet(n,
	    now + STOP_LINGER_MS < until ? now + STOP_LINGER_MS : until,
	    STOP_QUIET_MS);
	ports_close(n);
	wait_quiet(n, until, STOP_QUIET_MS);
	logline(LOG_NOTICE, "stopped", "cut=%u", busy(n));
}

/*
 * Ends all threads and frees everything.
 */
void
node_finish(struct node *n)
{
	ports_stop(n);
	if (n->running) {
		n->running = 0;
		pthread_join(n->ticker, NULL);
		pthread_join(n->fetcher, NULL);
	}
	rpc_server_finish(&n->rpc_server);
	duties_finish(n);
	config_service_finish(&n->config);
	member_service_finish(&n->member);
	rpc_client_finish(&n->rpc_client);
	client_free(n->peers);
	client_free(n->servers);
	admission_finish(&n->admission);
	server_finish(&n->server);
	pthread_mutex_destroy(&n->death_lock);
	logsvc_http_free(n->log_http);
}

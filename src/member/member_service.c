#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/age.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/logline.h"
#include "member/member_int.h"

#define PROC_MESSAGE (RPC_BLOCK_MEMBER + 1)
#define VIEW_INTERVAL_MIN_MS 20	 /* between views while the table changes */
#define VIEW_INTERVAL_MAX_MS 500 /* updates ages and loads in an idle table */

/* An event that is reported after the lock has been released. */
struct pending_event {
	enum member_event event;
	struct member_info info;
	uint64_t version;
};

static int receive_message(
    void *, const struct sockaddr_in *, const void *, void *);
static void send_message(
    void *, uint32_t, uint16_t, const struct member_message *);
static uint64_t random_number(void *);
static void queue_event(
    void *, enum member_event, const struct member_info *, uint64_t);
static void report_refused(void *, const struct node_id *);
static void free_replaced_view(struct rcu_head *);
static void publish_view(struct member_service *, uint64_t);
static void deliver_events(struct member_service *);
static void wait_wakeup(struct member_service *, uint32_t);
static void *run_ticker(void *);
static uint64_t wall_clock_ms(void);
static void log_event(enum member_event, const struct member_info *);

static const struct rpc_proc proc_message = {
	.proc = PROC_MESSAGE,
	.arg_xdr = (xdrproc_t)xdr_member_message,
	.arg_size = sizeof(struct member_message),
	.res_xdr = rpc_xdr_none,
	.res_size = 0,
	.handle = receive_message,
};

static const char *const event_names[MEMBER_EVENT_MAX] = {
	[MEMBER_JOINED] = "member-joined",
	[MEMBER_DIED] = "member-died",
	[MEMBER_DEPARTED] = "member-departed",
	[MEMBER_RETURNED] = "member-returned",
	[MEMBER_CONFIG_SEEN] = "config-seen",
};

/*
 * Returns the wall clock time in ms since 1970.
 */
static uint64_t
wall_clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/*
 * Initializes membership and registers its RPC procedure.  Must be called
 * before the RPC server starts.  Without a log (NULL), the node finds members
 * through its seeds only.
 */
int
member_service_init(struct member_service *ms,
    const struct member_settings *settings, struct rpc_server *server,
    struct rpc_client *client, const struct logsvc *log)
{
	struct member_callbacks port = { send_message, random_number,
		queue_event, ms };
	uint64_t now = clock_ms();

	memset(ms, 0, sizeof(*ms));
	ms->client = client;
	ms->log = log;
	g_queue_init(&ms->events);
	pthread_mutex_init(&ms->lock, NULL);
	pthread_cond_init(&ms->wake_cond, NULL);
	pthread_cond_init(&ms->stop_cond, NULL);
	ms->table = calloc(1, sizeof(*ms->table));
	if (ms->table == NULL)
		abort();
	member_table_init(ms->table, settings, &port, now, wall_clock_ms());
	ms->view = member_view_build(ms->table, now, ms->generation++);
	ms->built_ms = now;
	rpc_client_on_refused(client, report_refused, ms);
	rpc_server_register(server, &proc_message, 1, ms);
	return 0;
}

/*
 * Sets the callback for events.  The service's thread calls it without
 * holding a lock.  Must be called before member_service_start().
 */
void
member_service_set_event_callback(
    struct member_service *ms, member_event_fn event, void *ctx)
{
	ms->on_event = event;
	ms->on_event_ctx = ctx;
}

/*
 * Starts the probe thread and, if there is a log, the log thread.  Returns -1
 * and sets the error on failure.
 */
int
member_service_start(struct member_service *ms, GError **error)
{
	if (pthread_create(&ms->tick_thread, NULL, run_ticker, ms) != 0) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_THREAD,
		    "cannot create the membership thread");
		return -1;
	}
	ms->running = 1;
	if (ms->log == NULL)
		return 0;
	if (pthread_create(&ms->log_thread, NULL, member_log_thread, ms) != 0) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_THREAD,
		    "cannot create the membership log thread");
		return -1;
	}
	ms->log_thread_started = 1;
	return 0;
}

/*
 * Stops the threads and frees all memory.  The caller finishes the RPC server
 * before this call and the RPC client after it.  No reader may still use a
 * view.
 */
void
member_service_finish(struct member_service *ms)
{
	rpc_client_on_refused(ms->client, NULL, NULL);
	pthread_mutex_lock(&ms->lock);
	ms->stopping = 1;
	pthread_cond_broadcast(&ms->wake_cond);
	pthread_cond_broadcast(&ms->stop_cond);
	pthread_mutex_unlock(&ms->lock);
	if (ms->running)
		pthread_join(ms->tick_thread, NULL);
	if (ms->log_thread_started)
		pthread_join(ms->log_thread, NULL);
	rcu_barrier();
	member_view_free(ms->view);
	member_table_finish(ms->table);
	free(ms->table);
	g_queue_clear_full(&ms->events, free);
	pthread_cond_destroy(&ms->wake_cond);
	pthread_cond_destroy(&ms->stop_cond);
	pthread_mutex_destroy(&ms->lock);
}

/*
 * Sends a message for the table.
 */
static void
send_message(
    void *ctx, uint32_t addr, uint16_t port, const struct member_message *msg)
{
	struct member_service *ms = ctx;
	struct node_id to = { addr, port, 0 };

	rpc_client_notify(ms->client, &to, &proc_message, msg);
}

/*
 * Returns a random number for the table.
 */
static uint64_t
random_number(void *ctx)
{
	(void)ctx;
	return rand_u64();
}

/*
 * Queues an event of the table until the lock is released.
 */
static void
queue_event(void *ctx, enum member_event event, const struct member_info *info,
    uint64_t version)
{
	struct member_service *ms = ctx;
	struct pending_event *pe = malloc(sizeof(*pe));

	if (pe == NULL)
		abort();
	pe->event = event;
	pe->info = *info;
	pe->version = version;
	g_queue_push_tail(&ms->events, pe);
}

/*
 * Passes a received message to the table.  Always returns -1, so the RPC
 * server sends no reply.
 */
static int
receive_message(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	struct member_service *ms = ctx;

	(void)from;
	(void)res;
	pthread_mutex_lock(&ms->lock);
	member_table_receive(ms->table, clock_ms(), arg);
	if (ms->table->dirty || !g_queue_is_empty(&ms->events))
		pthread_cond_signal(&ms->wake_cond);
	pthread_mutex_unlock(&ms->lock);
	return -1;
}

/*
 * Tells the table that an address refused a message, so no process listens
 * there.
 */
static void
report_refused(void *ctx, const struct node_id *to)
{
	struct member_service *ms = ctx;

	pthread_mutex_lock(&ms->lock);
	member_table_fail_probes(ms->table, clock_ms(), to->addr, to->rpc_port);
	pthread_mutex_unlock(&ms->lock);
}

/*
 * Frees a replaced view after an RCU grace period.
 */
static void
free_replaced_view(struct rcu_head *head)
{
	member_view_free(caa_container_of(head, struct member_view, rcu));
}

/*
 * Replaces the view if it is out of date.  The caller holds the lock.
 */
static void
publish_view(struct member_service *ms, uint64_t now)
{
	uint64_t age = age_at(now, ms->built_ms);
	struct member_view *v, *old;

	if (age < VIEW_INTERVAL_MIN_MS ||
	    (!ms->table->dirty && age < VIEW_INTERVAL_MAX_MS))
		return;
	v = member_view_build(ms->table, now, ms->generation++);
	ms->table->dirty = 0;
	ms->built_ms = now;
	old = rcu_xchg_pointer(&ms->view, v);
	call_rcu(&old->rcu, free_replaced_view);
}

/*
 * Logs an event.
 */
static void
log_event(enum member_event event, const struct member_info *m)
{
	char name[NODE_ID_TEXT];

	nodeid_format(&m->id, name);
	logline(LOG_NOTICE, event_names[event], "node=%s domain=%s service=%s",
	    name, m->domain[0] != '\0' ? m->domain : "-",
	    m->server.service[0] != '\0' ? m->server.service : "-");
}

/*
 * Reports all queued events.  The caller holds the lock, which is released
 * while an event is reported.
 */
static void
deliver_events(struct member_service *ms)
{
	struct pending_event *pe;

	while ((pe = g_queue_pop_head(&ms->events)) != NULL) {
		pthread_mutex_unlock(&ms->lock);
		if (pe->event != MEMBER_CONFIG_SEEN)
			log_event(pe->event, &pe->info);
		if (ms->on_event != NULL)
			ms->on_event(ms->on_event_ctx, pe->event, &pe->info,
			    pe->version);
		free(pe);
		pthread_mutex_lock(&ms->lock);
	}
}

/*
 * Waits for a wakeup or for timeout_ms.  The caller holds the lock.
 */
static void
wait_wakeup(struct member_service *ms, uint32_t timeout_ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_nsec += (long)timeout_ms * 1000000;
	ts.tv_sec += ts.tv_nsec / 1000000000;
	ts.tv_nsec %= 1000000000;
	pthread_cond_clockwait(&ms->wake_cond, &ms->lock, CLOCK_MONOTONIC, &ts);
}

/*
 * Thread that runs the table's timers, publishes views and reports events
 * until the service stops.
 */
static void *
run_ticker(void *arg)
{
	struct member_service *ms = arg;
	uint64_t now;

	rcu_register_thread();
	pthread_mutex_lock(&ms->lock);
	while (!ms->stopping) {
		now = clock_ms();
		if (now >= ms->table->last_tick_ms + MEMBER_TICK_MS)
			member_table_tick(ms->table, now);
		publish_view(ms, now);
		deliver_events(ms);
		wait_wakeup(ms, ms->table->dirty ? VIEW_INTERVAL_MIN_MS / 4
						 : MEMBER_TICK_MS);
	}
	pthread_mutex_unlock(&ms->lock);
	rcu_unregister_thread();
	return NULL;
}

/*
 * Sets the state of the local backend server that this node reports to its
 * peers.  A change is sent at once.  A change of the load alone is sent only
 * with messages that are due anyway.
 */
void
member_set_server(struct member_service *ms, const struct member_server *sv)
{
	struct member_server *own;
	int differs;

	pthread_mutex_lock(&ms->lock);
	own = &ms->table->slots[ms->table->self].info.server;
	differs = member_server_differs(own, sv);
	*own = *sv;
	own->service_hash = member_service_hash(own->service);
	if (differs) {
		member_table_publish_self(ms->table, clock_ms());
		pthread_cond_signal(&ms->wake_cond);
	}
	pthread_mutex_unlock(&ms->lock);
}

/*
 * Sets the load of the local backend server, in thousandths of its slots.  It
 * is sent with messages that are due anyway.
 */
void
member_set_load(struct member_service *ms, uint32_t load)
{
	pthread_mutex_lock(&ms->lock);
	ms->table->slots[ms->table->self].info.server.load = load;
	pthread_mutex_unlock(&ms->lock);
}

/*
 * Sets the configuration version that this node applies.
 */
void
member_set_config_version(struct member_service *ms, uint64_t version)
{
	struct member_table *t = ms->table;
	struct member_info *own;

	pthread_mutex_lock(&ms->lock);
	own = &t->slots[t->self].info;
	own->config_version = version;
	if (version >= t->config_version) {
		t->config_version = version;
		t->config_addr = own->id.addr;
		t->config_peer_port = own->peer_port;
	}
	member_record_log_read(t, 0);
	pthread_mutex_unlock(&ms->lock);
}

/*
 * Records a successful read of the log that was sent at sent_ms.
 */
void
member_set_log_read_time(struct member_service *ms, uint64_t sent_ms)
{
	pthread_mutex_lock(&ms->lock);
	member_record_log_read(ms->table, sent_ms);
	pthread_mutex_unlock(&ms->lock);
}

/*
 * Announces to the peers that this process shuts down.  The service keeps
 * answering probes until member_service_finish().
 */
void
member_leave(struct member_service *ms)
{
	pthread_mutex_lock(&ms->lock);
	if (!ms->table->leaving)
		member_table_leave(ms->table, clock_ms());
	pthread_cond_signal(&ms->wake_cond);
	pthread_mutex_unlock(&ms->lock);
}

/*
 * Returns the current view.  The caller must be in an RCU read-side critical
 * section for as long as it uses the view.
 */
const struct member_view *
member_view_get(struct member_service *ms)
{
	return rcu_dereference(ms->view);
}

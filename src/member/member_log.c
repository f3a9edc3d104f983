#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/logline.h"
#include "member/member_int.h"

#define STREAM_NAME "members"
#define TAIL_RECORDS 64
#define LIVE_HELLOS_MIN 5 /* in the tail of the log */
#define LOG_TIMEOUT_MS 2000
#define NO_PEERS_READ_MS 1000  /* without live peers or an own hello */
#define READ_INTERVAL_MS 30000 /* between reads with up to 100 members */
#define READ_INTERVAL_MEMBERS 100
#define HELLO_BYTES_MAX 1024

static int copy_text_field(const json_t *, const char *, char *, size_t);
static int read_port_field(const json_t *, const char *, uint16_t *);
static int read_tail(struct member_service *, struct logsvc_batch *);
static uint32_t add_hello_seeds(
    struct member_service *, const struct logsvc_batch *, int *);
static void append_hello(struct member_service *, int *);
static uint32_t count_live_peers(struct member_service *);
static int should_append(struct member_service *, uint32_t, int, int);
static void wait_or_stop(struct member_service *, uint64_t);

/*
 * Formats a hello: the log record from which other nodes learn this node's
 * address.  The caller frees it.
 */
char *
member_hello_format(const struct member_info *m)
{
	struct in_addr in = { .s_addr = htonl(m->id.addr) };
	char addr[INET_ADDRSTRLEN], incarnation[17];
	json_t *o;
	char *s;

	inet_ntop(AF_INET, &in, addr, sizeof(addr));
	snprintf(
	    incarnation, sizeof(incarnation), "%016" PRIx64, m->id.incarnation);
	o = json_pack("{s:s,s:i,s:i,s:s,s:s}", "address", addr, "rpc_port",
	    (int)m->id.rpc_port, "peer_port", (int)m->peer_port, "domain",
	    m->domain, "incarnation", incarnation);
	s = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return s;
}

/*
 * Copies a string field.  Returns -1 if it is missing or too long.
 */
static int
copy_text_field(const json_t *o, const char *name, char *buf, size_t size)
{
	const char *s = json_string_value(json_object_get(o, name));

	if (s == NULL || strlen(s) >= size)
		return -1;
	g_strlcpy(buf, s, size);
	return 0;
}

/*
 * Reads a port field.  Returns -1 if it is missing or out of range.
 */
static int
read_port_field(const json_t *o, const char *name, uint16_t *port)
{
	json_int_t v = json_integer_value(json_object_get(o, name));

	if (v <= 0 || v > UINT16_MAX)
		return -1;
	*port = (uint16_t)v;
	return 0;
}

/*
 * Parses a record of the members stream.  Returns -1 if it isn't a hello.
 */
int
member_hello_parse(const char *data, size_t len, struct member_hello *h)
{
	char addr[INET_ADDRSTRLEN], incarnation[17], *end;
	struct in_addr in;
	json_t *o;
	int rc = -1;

	memset(h, 0, sizeof(*h));
	if (len > HELLO_BYTES_MAX)
		return -1;
	o = json_loadb(data, len, 0, NULL);
	if (o != NULL &&
	    copy_text_field(o, "address", addr, sizeof(addr)) == 0 &&
	    inet_pton(AF_INET, addr, &in) == 1 && in.s_addr != 0 &&
	    read_port_field(o, "rpc_port", &h->id.rpc_port) == 0 &&
	    read_port_field(o, "peer_port", &h->peer_port) == 0 &&
	    copy_text_field(o, "domain", h->domain, sizeof(h->domain)) == 0 &&
	    copy_text_field(
		o, "incarnation", incarnation, sizeof(incarnation)) == 0) {
		h->id.addr = ntohl(in.s_addr);
		h->id.incarnation = strtoull(incarnation, &end, 16);
		rc = h->id.incarnation != 0 && *end == '\0' ? 0 : -1;
	}
	json_decref(o);
	return rc;
}

/*
 * Reads the last records of the members stream.  Returns -1 on failure.
 */
static int
read_tail(struct member_service *ms, struct logsvc_batch *b)
{
	const struct logsvc *log = ms->log;
	uint64_t from;

	memset(b, 0, sizeof(*b));
	if (log->read(log->ctx, STREAM_NAME, 0, 1, 0, LOG_TIMEOUT_MS, b) !=
	    LOGSVC_OK)
		return -1;
	from = b->first;
	if (b->next > from + TAIL_RECORDS)
		from = b->next - TAIL_RECORDS;
	logsvc_batch_finish(b);
	memset(b, 0, sizeof(*b));
	return log->read(log->ctx, STREAM_NAME, from, TAIL_RECORDS, 0,
		   LOG_TIMEOUT_MS, b) == LOGSVC_OK
		   ? 0
		   : -1;
}

/*
 * Adds the addresses of unknown members in a batch of hellos as seeds.
 * Returns the number of hellos of live processes, and sets *own_found if one
 * of the hellos is this node's.
 */
static uint32_t
add_hello_seeds(
    struct member_service *ms, const struct logsvc_batch *b, int *own_found)
{
	struct member_hello h;
	struct member_slot *s;
	uint32_t live = 0;
	size_t i;

	pthread_mutex_lock(&ms->lock);
	for (i = 0; i < b->count; i++) {
		if (member_hello_parse(b->list[i].data, b->list[i].len, &h) ==
		    -1) {
			counter_add(CTR_LOG_BAD_RECORDS, 1);
			continue;
		}
		s = member_table_find(ms->table, h.id.addr, h.id.rpc_port);
		if (s == NULL)
			member_table_add_seed(
			    ms->table, h.id.addr, h.id.rpc_port, 0);
		else if (s->info.state == MEMBER_ALIVE &&
			 nodeid_equal(&s->info.id, &h.id))
			live++;
		if (s != NULL &&
		    member_slot_handle(ms->table, s) == ms->table->self &&
		    nodeid_equal(&s->info.id, &h.id))
			*own_found = 1;
	}
	pthread_mutex_unlock(&ms->lock);
	return live;
}

/*
 * Appends this node's hello to the log and sets *appended on success.  If the
 * answer is lost, the next read shows whether the record was appended.
 */
static void
append_hello(struct member_service *ms, int *appended)
{
	enum logsvc_status st;
	uint64_t offset;
	char *hello;

	pthread_mutex_lock(&ms->lock);
	hello = member_hello_format(&ms->table->slots[ms->table->self].info);
	pthread_mutex_unlock(&ms->lock);
	if (hello == NULL)
		return;
	st = ms->log->append(ms->log->ctx, STREAM_NAME, hello, strlen(hello),
	    LOG_TIMEOUT_MS, &offset);
	free(hello);
	if (st == LOGSVC_OK)
		*appended = 1;
	else
		logline(LOG_WARNING, "member-hello", "status=%d", (int)st);
}

/*
 * Returns the number of live members other than this node.
 */
static uint32_t
count_live_peers(struct member_service *ms)
{
	uint32_t n;

	pthread_mutex_lock(&ms->lock);
	n = ms->table->alive - (ms->table->leaving ? 0 : 1);
	pthread_mutex_unlock(&ms->lock);
	return n;
}

/*
 * Returns whether to append a hello.  A node appends one after its start, and
 * another when the log's tail has fewer hellos of live members than wanted.
 * In that case each node appends with a probability that makes LIVE_HELLOS_MIN
 * nodes append on average.
 */
static int
should_append(
    struct member_service *ms, uint32_t live, int own_found, int appended)
{
	uint32_t n = count_live_peers(ms) + 1;

	if (!own_found && !appended)
		return 1;
	if (live >= LIVE_HELLOS_MIN || live >= n || own_found)
		return 0;
	return rand_u64() % n < LIVE_HELLOS_MIN;
}

/*
 * Waits for delay_ms or until the service stops.
 */
static void
wait_or_stop(struct member_service *ms, uint64_t delay_ms)
{
	struct timespec ts;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += (time_t)(delay_ms / 1000);
	ts.tv_nsec += (long)(delay_ms % 1000) * 1000000;
	ts.tv_sec += ts.tv_nsec / 1000000000;
	ts.tv_nsec %= 1000000000;
	pthread_mutex_lock(&ms->lock);
	while (!ms->stopping && rc == 0)
		rc = pthread_cond_clockwait(
		    &ms->stop_cond, &ms->lock, CLOCK_MONOTONIC, &ts);
	pthread_mutex_unlock(&ms->lock);
}

/*
 * Thread that reads member addresses from the log and appends a hello where
 * the log has too few, for nodes that start later.  The read interval grows
 * with the number of members, which bounds the read rate of all nodes.
 */
void *
member_log_thread(void *arg)
{
	struct member_service *ms = arg;
	struct logsvc_batch b;
	int own_found, appended = 0, stopping = 0;
	uint32_t live, n;
	uint64_t interval_ms;

	while (!stopping) {
		own_found = 0;
		if (read_tail(ms, &b) == 0) {
			live = add_hello_seeds(ms, &b, &own_found);
			if (should_append(ms, live, own_found, appended))
				append_hello(ms, &appended);
		}
		logsvc_batch_finish(&b);
		n = count_live_peers(ms);
		interval_ms = (uint64_t)READ_INTERVAL_MS *
			      MAX(n, READ_INTERVAL_MEMBERS) /
			      READ_INTERVAL_MEMBERS;
		if (n == 0 || !(own_found || appended))
			interval_ms = NO_PEERS_READ_MS;
		wait_or_stop(ms, interval_ms / 2 + rand_u64() % interval_ms);
		pthread_mutex_lock(&ms->lock);
		stopping = ms->stopping;
		pthread_mutex_unlock(&ms->lock);
	}
	return NULL;
}

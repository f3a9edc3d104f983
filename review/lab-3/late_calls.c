#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lab.h"

/*
 * A planned stop of one machine while its server runs requests that make calls,
 * and while clients send requests on a public route.
 *
 * Node 1 stands beside a server of "orders" and has the clients; node 2 stands
 * beside another server of "orders", in another zone; nodes 3 and 4 stand beside
 * servers of "catalogue", which orders call one after the other.  Orders need a
 * key; the route of items, for calls, and that of notes, for clients, are public.
 */

#define NODES 4
#define STOPPED 0
#define CALLS 8 /* of one order, in a row */
#define CALL_WORK_MS 450
#define DEADLINE_MS 5000
#define ORDERS_MAX 512
#define CALLS_MAX (ORDERS_MAX * CALLS + 512)
#define GAP_MS 100	/* between two orders */
#define WARM_UP 120	/* orders before the SIGTERM */
#define COME_MS 1900	/* orders come so long after the SIGTERM */
#define LATE_MS 3000	/* what is sent later isn't excused */
#define GRACE_MS 6000

/* What became of a call, as its server and its caller saw it. */
struct call {
	char id[64];
	uint64_t sent_ms, began_ms, ended_ms, answered_ms;
	int status, is_signed, has_answer, is_clients;
};

static struct server servers[NODES];
static struct call calls[CALLS_MAX];
static unsigned int call_count;
static volatile uint64_t term_ms;
static volatile int clients;
static int by_status[600];

static struct call *
find_call(const char *id)
{
	unsigned int i;

	for (i = 0; i < call_count && i < CALLS_MAX; i++)
		if (strcmp(calls[i].id, id) == 0)
			return &calls[i];
	return NULL;
}

/* Milliseconds since the SIGTERM, negative before. */
static long
since_term(uint64_t ms)
{
	return term_ms == 0 || ms == 0 ? -1 : (long)(ms - term_ms);
}

static int
serve_catalogue(struct server *s, int fd, struct msg *m)
{
	struct call *c = find_call(m->id);
	int rc;

	(void)s;
	lab_read_body(fd, m, lab_ms() + 1000);
	if (c != NULL)
		c->began_ms = lab_ms();
	lab_sleep(CALL_WORK_MS);
	rc = lab_answer(fd, m, 200,
	    "X-Cyclamenvale-Response-Signature: s.1\r\n", "item", 4);
	if (c != NULL)
		c->ended_ms = lab_ms();
	return rc == 0;
}

/*
 * Sends a request to a node: a server's call for an item or, without the id of
 * a parent, a client's note, which may not be repeated.  Returns the status.
 */
static int
make_call(int node, const char *parent, int number, uint64_t deadline)
{
	unsigned int k = __sync_fetch_and_add(&call_count, 1);
	struct msg *m = malloc(sizeof(*m));
	struct call *c = &calls[k % CALLS_MAX];
	char head[512], v[64];
	int fd, len, status = 0;

	if (parent != NULL)
		snprintf(c->id, sizeof(c->id), "%s.%d", parent, number);
	else
		lab_new_id(c->id, 20);
	c->is_clients = parent == NULL;
	len = snprintf(head, sizeof(head),
	    "%s /%s/%d HTTP/1.1\r\nHost: catalogue.example\r\n"
	    "X-Cyclamenvale-Attempt-Id: %s\r\n"
	    "X-Cyclamenvale-Deadline-Ms: %llu\r\n%s\r\n",
	    parent != NULL ? "GET" : "POST", parent != NULL ? "item" : "note",
	    number, c->id, (unsigned long long)(deadline - lab_ms()),
	    parent != NULL ? "" : "Content-Length: 0\r\n");
	fd = lab_connect(lab_ip(node), PORT_ENTRY, 0);
	c->sent_ms = lab_ms();
	if (fd >= 0 && lab_write(fd, head, (size_t)len) == 0 &&
	    lab_read_message(fd, m, deadline) == 0 && m->complete) {
		c->has_answer = 1;
		status = c->status = m->status;
		c->is_signed = lab_field(m, "X-Cyclamenvale-Response-Signature",
				   v, sizeof(v)) != NULL;
	}
	c->answered_ms = lab_ms();
	if (fd >= 0)
		close(fd);
	free(m);
	return status;
}

/* Runs an order: its calls, one after the other. */
static int
serve_orders(struct server *s, int fd, struct msg *m)
{
	static const char fields[] =
	    "X-Cyclamenvale-Response-Signature: s.1\r\n";
	uint64_t deadline;
	char v[32];
	int i;

	lab_read_body(fd, m, lab_ms() + 1000);
	deadline = lab_ms() + (lab_field(m, "X-Cyclamenvale-Deadline-Ms", v,
				   sizeof(v)) != NULL
				      ? strtoull(v, NULL, 10)
				      : DEADLINE_MS);
	for (i = 0; i < CALLS; i++)
		if (lab_ms() >= deadline ||
		    make_call(s->node, m->id, i + 1, deadline) != 200)
			return lab_answer(fd, m, 500, fields, "", 0) == 0;
	return lab_answer(fd, m, 200, fields, "placed", 6) == 0;
}

static void *
send_order(void *arg)
{
	struct msg *m = malloc(sizeof(*m));
	char head[512], id[32];
	uint64_t start;
	int fd, len;

	(void)arg;
	lab_new_id(id, sizeof(id));
	len = snprintf(head, sizeof(head),
	    "POST /order/1 HTTP/1.1\r\nHost: orders.example\r\n"
	    "X-Cyclamenvale-Attempt-Id: %s\r\n"
	    "X-Cyclamenvale-Key: key-1\r\n"
	    "X-Cyclamenvale-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}",
	    id, DEADLINE_MS);
	fd = lab_connect(lab_ip(STOPPED), PORT_ENTRY, 0);
	start = lab_ms();
	m->status = 0;
	if (fd >= 0 && lab_write(fd, head, (size_t)len) == 0)
		(void)lab_read_message(fd, m, start + DEADLINE_MS + 500);
	lab_record("order %s, sent %ld ms after the SIGTERM, gets %d after "
		   "%llu ms",
	    id, since_term(start), m->status,
	    (unsigned long long)(lab_ms() - start));
	__sync_fetch_and_add(&by_status[m->status % 600], 1);
	if (fd >= 0)
		close(fd);
	free(m);
	__sync_fetch_and_sub(&clients, 1);
	return NULL;
}

static void *
send_note(void *arg)
{
	(void)arg;
	(void)make_call(STOPPED, NULL, 1, lab_ms() + 2500);
	__sync_fetch_and_sub(&clients, 1);
	return NULL;
}

int
main(int argc, char **argv)
{
	static const char *const services[NODES] = { "orders", "orders",
		"catalogue", "catalogue" };
	static const char config[] =
	    "{\"version\":7,\"routes\":{\"order\":{\"host\":\"orders.example\","
	    "\"path_prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout\":"
	    "\"5000ms\",\"target_latency\":\"1500ms\",\"priority\":0,"
	    "\"service\":\"orders\",\"retry_attempts\":2,\"public\":false},"
	    "\"item\":{\"host\":\"catalogue.example\",\"path_prefix\":"
	    "\"/item/\",\"kind\":\"safe\",\"timeout\":\"2500ms\","
	    "\"target_latency\":\"1000ms\",\"priority\":0,\"service\":"
	    "\"catalogue\",\"retry_attempts\":2,\"public\":true},"
	    "\"note\":{\"host\":\"catalogue.example\",\"path_prefix\":"
	    "\"/note/\",\"kind\":\"unsafe\",\"timeout\":\"2500ms\","
	    "\"target_latency\":\"1000ms\",\"priority\":0,\"service\":"
	    "\"catalogue\",\"retry_attempts\":2,\"public\":true}},"
	    "\"services\":{\"orders\":{\"health_path\":\"/health\"},"
	    "\"catalogue\":{\"health_path\":\"/health\"}},"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
	    "\"15000ms\"},\"tenants\":{\"pulo780\":{\"api_keys\":[\"key-1\"],"
	    "\"priority\":0}}}";
	unsigned int k, late[2] = { 0 }, replaced[2] = { 0 };
	unsigned int unanswered[2] = { 0 };
	uint64_t until;
	struct call *c;
	int i;

	if (argc != 2)
		return 2;
	lab_init(argv[1]);
	lab_store_start();
	lab_publish(config);
	for (i = 0; i < NODES; i++) {
		servers[i].node = i;
		servers[i].slots = 90;
		servers[i].serve =
		    i < 2 ? serve_orders : serve_catalogue;
		snprintf(servers[i].service, sizeof(servers[i].service), "%s",
		    services[i]);
		lab_server_start(&servers[i]);
		lab_node_start(i, services[i], i == 1 ? "b" : "a");
	}
	lab_wait_ready(0, NODES - 1);
	lab_sleep(8000);
	for (i = 0; term_ms == 0 || lab_ms() < term_ms + COME_MS; i++) {
		if (i == WARM_UP) {
			term_ms = lab_ms();
			if (lab_trouble())
				lab_node_signal(STOPPED, SIGTERM);
		}
		__sync_fetch_and_add(&clients, 1);
		lab_thread(send_order, NULL);
		lab_sleep(GAP_MS);
	}
	/* The only node of its zone: clients of other work go on coming. */
	until = term_ms + GRACE_MS;
	for (i = 0; lab_ms() < until; i++) {
		if (lab_trouble() && lab_node_ended(STOPPED, 0))
			break;
		__sync_fetch_and_add(&clients, 1);
		lab_thread(send_note, NULL);
		lab_sleep(GAP_MS);
	}
	until = lab_ms() + 10000;
	while (clients > 0 && lab_ms() < until) {
		if (lab_trouble())
			lab_node_ended(STOPPED, 0);
		lab_sleep(20);
	}
	lab_sleep(600);
	for (k = 0; k < call_count && k < CALLS_MAX; k++) {
		c = &calls[k];
		if (c->sent_ms <= term_ms + LATE_MS ||
		    c->sent_ms > term_ms + GRACE_MS || c->began_ms == 0)
			continue;
		late[c->is_clients]++;
		/* Its server was at work when the caller got something else. */
		if (c->is_signed || c->answered_ms < c->began_ms ||
		    (c->ended_ms != 0 && c->answered_ms > c->ended_ms))
			continue;
		if (c->has_answer)
			replaced[c->is_clients]++;
		else
			unanswered[c->is_clients]++;
		lab_record("%s %s, sent %ld ms after the SIGTERM, at work "
			   "from %ld to %ld ms, %s %d at %ld ms",
		    c->is_clients ? "note" : "call", c->id,
		    since_term(c->sent_ms), since_term(c->began_ms),
		    since_term(c->ended_ms),
		    c->has_answer ? "is answered by the node with"
				  : "ends without an answer,",
		    c->status, since_term(c->answered_ms));
	}
	for (i = 0; i < 600; i++)
		if (by_status[i] > 0)
			lab_record("orders with %d: %d", i, by_status[i]);
	for (i = 0; i < 2; i++)
		lab_record("%s sent later than %d ms after the SIGTERM and run: "
			   "%u; broken off while their server was at work: %u "
			   "with an answer of the node's own, %u without an "
			   "answer",
		    i == 0 ? "calls" : "notes of clients", LATE_MS,
		    late[i], replaced[i], unanswered[i]);
	if (late[0] == 0 || late[1] == 0)
		lab_die("no late requests");
	return lab_finish(
	    replaced[0] + unanswered[0] + replaced[1] + unanswered[1] > 0);
}

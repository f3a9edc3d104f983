#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lab.h"

/*
 * One tenant, and later another one, sends many times its usual uploads on kept
 * connections.
 *
 * All three nodes have clients, nodes 2 and 3 have the servers.  Each client
 * sends one request after the other on its connection, and opens a new one when
 * its node has closed that or when an answer is overdue.
 */

#define NODES 3
#define TENANTS 4
#define CLIENTS_PER_TENANT 9 /* three at each node */
#define CLIENTS (TENANTS * CLIENTS_PER_TENANT)
#define BODY_BYTES 2000000
#define ROUTE_TIMEOUT_MS 2000
#define LATE_MS 500
#define DEADLINE_MS 5000
#define USUAL_GAP_MS 2000 /* between the requests of a client */
#define HOT_X 7.5
#define HOT_FOR_MS 6500
#define HOT_TENANTS 2
#define RUN_MS 21000

static const char *const tenants[TENANTS] = { "pulo780", "kera11", "vomi402",
	"sade77" };
static const uint64_t HOT_FROM_MS[HOT_TENANTS] = { 2000, 11000 };
static struct server servers[NODES];
static volatile int over;
static uint64_t began_ms;
static int overdue, late, answered, refused, ended_clients, broken_off;

static int
serve(struct server *s, int fd, struct msg *m)
{
	static const char fields[] =
	    "X-Cyclamenvale-Response-Signature: s.1\r\n";

	(void)s;
	lab_read_body(fd, m, lab_ms() + 3000);
	if (!m->complete)
		return 0;
	lab_record("server %s runs %s, %llu bytes", s->id, m->id,
	    (unsigned long long)m->body_len);
	lab_sleep(20);
	return lab_answer(fd, m, 200, fields, "done", 4) == 0;
}

/* Returns how long a client of a tenant pauses between two requests. */
static uint64_t
gap_ms(int tenant)
{
	uint64_t now = lab_ms() - began_ms;

	if (lab_trouble() && tenant < HOT_TENANTS &&
	    now >= HOT_FROM_MS[tenant] &&
	    now < HOT_FROM_MS[tenant] + HOT_FOR_MS)
		return (uint64_t)(USUAL_GAP_MS / HOT_X);
	return USUAL_GAP_MS;
}

static void *
run_client(void *arg)
{
	int number = (int)(intptr_t)arg, tenant = number / CLIENTS_PER_TENANT;
	struct msg *m = malloc(sizeof(*m));
	char *body = malloc(BODY_BYTES);
	char head[1024], id[32];
	uint64_t start;
	int fd = -1, len, used = 0, got;

	memset(body, 'u', BODY_BYTES);
	lab_sleep(lab_random() % USUAL_GAP_MS);
	while (!over) {
		if (fd == -1) {
			fd = lab_connect(lab_ip(number % NODES), PORT_ENTRY, 0);
			used = 0;
		}
		if (fd == -1)
			break;
		lab_new_id(id, sizeof(id));
		len = snprintf(head, sizeof(head),
		    "POST /up/1 HTTP/1.1\r\nHost: up.example\r\n"
		    "X-Cyclamenvale-Attempt-Id: %s\r\n"
		    "X-Cyclamenvale-Deadline-Ms: %d\r\n"
		    "X-Cyclamenvale-Key: key-of-%s\r\n"
		    "Content-Length: %d\r\n\r\n",
		    id, DEADLINE_MS, tenants[tenant], BODY_BYTES);
		start = lab_ms();
		lab_record("client %d of %s at node %d sends %s as request "
			   "%d of its connection",
		    number, tenants[tenant], number % NODES + 1, id, used + 1);
		/* Small enough for the buffers of a connection that is read. */
		if (lab_write(fd, head, (size_t)len) == -1 ||
		    lab_write(fd, body, BODY_BYTES) == -1) {
			lab_record("client %d can't send %s", number, id);
			__sync_fetch_and_add(&broken_off, 1);
			close(fd);
			fd = -1;
			continue;
		}
		got = lab_read_message(fd, m, start + ROUTE_TIMEOUT_MS) == 0 &&
		      m->complete;
		if (!got && m->status == 0 && lab_ms() >= start + ROUTE_TIMEOUT_MS) {
			__sync_fetch_and_add(&overdue, 1);
			got = lab_read_message(fd, m,
				  start + ROUTE_TIMEOUT_MS + LATE_MS) == 0 &&
			      m->complete;
			if (!got && m->status == 0 &&
			    lab_ms() >= start + ROUTE_TIMEOUT_MS + LATE_MS) {
				__sync_fetch_and_add(&late, 1);
				lab_record("client %d has no answer to %s "
					   "after %llu ms",
				    number, id,
				    (unsigned long long)(lab_ms() - start));
			}
		}
		if (got) {
			lab_record("client %d gets %d to %s after %llu ms",
			    number, m->status, id,
			    (unsigned long long)(lab_ms() - start));
			__sync_fetch_and_add(
			    m->status == 200 ? &answered : &refused, 1);
		}
		used++;
		if (!got || !m->keep_alive) {
			close(fd);
			fd = -1;
		}
		start += gap_ms(tenant);
		if (start > lab_ms())
			lab_sleep(start - lab_ms());
	}
	if (fd != -1)
		close(fd);
	__sync_fetch_and_add(&ended_clients, 1);
	return NULL;
}

static void
publish(void)
{
	char config[4096];
	size_t n;
	int i;

	n = (size_t)snprintf(config, sizeof(config),
	    "{\"version\":7,\"routes\":{\"up\":{\"host\":\"up.example\","
	    "\"path_prefix\":\"/up/\",\"kind\":\"upload\",\"timeout\":"
	    "\"%dms\",\"target_latency\":\"1500ms\",\"priority\":1,"
	    "\"service\":\"artwork\",\"retry_attempts\":2,\"public\":false}},"
	    "\"services\":{\"artwork\":{\"health_path\":\"/health\"},"
	    "\"shop\":{\"health_path\":\"/health\"}},"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
	    "\"15000ms\"},\"tenants\":{",
	    ROUTE_TIMEOUT_MS);
	for (i = 0; i < TENANTS; i++)
		n += (size_t)snprintf(config + n, sizeof(config) - n,
		    "%s\"%s\":{\"api_keys\":[\"key-of-%s\"],\"priority\":1,"
		    "\"rate_per_s\":7.2,\"burst\":7}",
		    i > 0 ? "," : "", tenants[i], tenants[i]);
	snprintf(config + n, sizeof(config) - n, "}}");
	lab_publish(config);
}

int
main(int argc, char **argv)
{
	int i;

	if (argc != 2)
		return 2;
	lab_init(argv[1]);
	lab_store_start();
	publish();
	for (i = 0; i < NODES; i++) {
		servers[i].node = i;
		servers[i].slots = 60;
		servers[i].serve = serve;
		snprintf(servers[i].service, sizeof(servers[i].service), "%s",
		    i == 0 ? "shop" : "artwork");
		lab_server_start(&servers[i]);
		lab_node_start(i, servers[i].service, "a");
	}
	lab_wait_ready(0, NODES - 1);
	lab_sleep(8000);
	began_ms = lab_ms();
	for (i = 0; i < CLIENTS; i++)
		lab_thread(run_client, (void *)(intptr_t)i);
	lab_sleep(RUN_MS);
	over = 1;
	for (i = 0; i < 100 && ended_clients < CLIENTS; i++)
		lab_sleep(50);
	lab_record("answers: %d with 200, %d refusals; unanswered at the "
		   "route's timeout: %d, of these half a second later: %d; "
		   "connections that broke: %d",
	    answered, refused, overdue, late, broken_off);
	return lab_finish(late >= 8 && late * 2 > overdue);
}

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lab.h"

/*
 * A key is withdrawn.  Seconds later the store comes back from a copy without
 * that version, and one node starts again before the operator has written it
 * again.
 *
 * Node 1 has the clients, nodes 2 and 3 have the servers.
 */

#define NODES 3
#define FRONT 0
#define REVOKE_MS 5000
#define RESTORE_AFTER_MS 6000 /* after the withdrawal */
#define AWAY_MS 400
#define REWRITE_AFTER_MS 1000 /* after the store is back */
#define GAP_MS 20	      /* between two requests of a client */
#define CLIENTS 4

static struct server servers[NODES];
static volatile int over;
static volatile uint64_t withdrawn_ms;
static int late_runs;

static int
serve(struct server *s, int fd, struct msg *m)
{
	uint64_t sent = strtoull(m->target + strlen("/order/"), NULL, 10);
	uint64_t limit = withdrawn_ms + REVOKE_MS;

	lab_read_body(fd, m, lab_ms() + 1000);
	if (withdrawn_ms != 0 && sent > limit) {
		__sync_fetch_and_add(&late_runs, 1);
		lab_record("server %s runs %s with the withdrawn key, sent %llu "
			   "ms after the acknowledgement",
		    s->id, m->id, (unsigned long long)(sent - withdrawn_ms));
	}
	return lab_answer(fd, m, 200,
		   "X-Cyclamenvale-Response-Signature: s.1\r\n", "ok", 2) == 0;
}

static void *
run_client(void *arg)
{
	struct msg *m = malloc(sizeof(*m));
	int fd, len, last = -2;
	char head[512], id[32];

	(void)arg;
	while (!over) {
		lab_new_id(id, sizeof(id));
		len = snprintf(head, sizeof(head),
		    "POST /order/%llu HTTP/1.1\r\nHost: order.example\r\n"
		    "X-Cyclamenvale-Attempt-Id: %s\r\n"
		    "X-Cyclamenvale-Deadline-Ms: 1000\r\n"
		    "X-Cyclamenvale-Key: withdrawn-key\r\n"
		    "Content-Length: 2\r\n\r\n{}",
		    (unsigned long long)lab_ms(), id);
		m->status = 0;
		fd = lab_connect(lab_ip(FRONT), PORT_ENTRY, 0);
		if (fd >= 0 && lab_write(fd, head, (size_t)len) == 0)
			(void)lab_read_message(fd, m, lab_ms() + 1500);
		if (fd >= 0)
			close(fd);
		if (m->status != last)
			lab_record("client gets %d to %s; 0 is no answer",
			    m->status, id);
		last = m->status;
		lab_sleep(GAP_MS);
	}
	return NULL;
}

static void
publish(int version, const char *more_keys)
{
	char config[2048];

	snprintf(config, sizeof(config),
	    "{\"version\":%d,\"routes\":{\"order\":{\"host\":\"order.example\","
	    "\"path_prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout\":"
	    "\"1200ms\",\"target_latency\":\"1500ms\",\"priority\":0,"
	    "\"service\":\"orders\",\"retry_attempts\":2,\"public\":false}},"
	    "\"services\":{\"orders\":{\"health_path\":\"/health\"},"
	    "\"shop\":{\"health_path\":\"/health\"}},"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
	    "\"15000ms\"},\"tenants\":{\"pulo780\":{\"api_keys\":["
	    "\"other-key\"%s],\"priority\":0}}}",
	    version, more_keys);
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
	publish(7, ",\"withdrawn-key\"");
	for (i = 0; i < NODES; i++) {
		servers[i].node = i;
		servers[i].slots = 60;
		servers[i].serve = serve;
		snprintf(servers[i].service, sizeof(servers[i].service), "%s",
		    i == FRONT ? "shop" : "orders");
		lab_server_start(&servers[i]);
		lab_node_start(i, servers[i].service, "a");
	}
	lab_wait_ready(0, NODES - 1);
	lab_sleep(6000);
	for (i = 0; i < CLIENTS; i++)
		lab_thread(run_client, NULL);
	lab_sleep(1000);
	publish(8, "");
	withdrawn_ms = lab_ms();
	lab_sleep(RESTORE_AFTER_MS);
	if (lab_trouble()) {
		lab_node_signal(FRONT, SIGKILL);
		if (!lab_node_ended(FRONT, 2000))
			lab_die("node 1 lives on");
	}
	lab_store_restore(AWAY_MS, 1);
	if (lab_trouble())
		lab_node_start(FRONT, servers[FRONT].service, "a");
	lab_sleep(REWRITE_AFTER_MS);
	publish(8, "");
	lab_sleep(4000);
	over = 1;
	lab_sleep(1600);
	lab_record("requests with the withdrawn key, sent later than %d ms "
		   "after the acknowledgement, that ran: %d",
	    REVOKE_MS, late_runs);
	return lab_finish(late_runs > 0);
}

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lab.h"

/*
 * All nodes are killed at once after a server's goodbye was acknowledged, and a
 * heartbeat of that server, sent before the goodbye, arrives late.
 *
 * Node 1 has the clients, nodes 2 and 3 have the servers.  The server beside
 * node 2 leaves.  It serves on for some seconds, as servers do.
 */

#define NODES 3
#define LEAVING 1 /* index of its node */
#define DRAIN_MS 2000
#define TOUCH_MS 3000
#define KILL_AFTER_MS 300
#define DOWN_MS 1000
#define LATE_BEAT_AFTER_MS 3000
#define EXIT_AFTER_MS 8000
#define CLIENTS 12

static struct server servers[NODES];
static volatile int over;
static volatile uint64_t left_ms, in_touch_ms;
static int by_status[600], reached, at_leaving;

static int
serve(struct server *s, int fd, struct msg *m)
{
	static const char fields[] =
	    "X-Cyclamenvale-Response-Signature: s.1\r\n";
	uint64_t now = lab_ms(), sent = strtoull(m->target + 7, NULL, 10);
	int counts = left_ms != 0 && now > left_ms + DRAIN_MS &&
		     sent > in_touch_ms;

	lab_read_body(fd, m, now + 1000);
	if (s->node == LEAVING && left_ms != 0 && now > left_ms)
		lab_record("%s reaches the leaving server %s %llu ms after its "
			   "goodbye was acknowledged%s",
		    m->id, s->id, (unsigned long long)(now - left_ms),
		    counts ? "" : " (not counted)");
	if (counts)
		__sync_fetch_and_add(&reached, 1);
	if (counts && s->node == LEAVING)
		__sync_fetch_and_add(&at_leaving, 1);
	lab_sleep(30);
	return lab_answer(fd, m, 200, fields, "ok", 2) == 0;
}

static void *
run_client(void *arg)
{
	struct msg *m = malloc(sizeof(*m));
	char head[512], id[32];
	int fd, len;

	(void)arg;
	while (!over) {
		lab_new_id(id, sizeof(id));
		len = snprintf(head, sizeof(head),
		    "POST /order/%llu HTTP/1.1\r\nHost: order.example\r\n"
		    "X-Cyclamenvale-Attempt-Id: %s\r\n"
		    "X-Cyclamenvale-Deadline-Ms: 5000\r\n"
		    "Content-Length: 2\r\n\r\n{}",
		    (unsigned long long)lab_ms(), id);
		fd = lab_connect(lab_ip(0), PORT_ENTRY, 0);
		if (fd >= 0 && lab_write(fd, head, (size_t)len) == 0 &&
		    lab_read_message(fd, m, lab_ms() + 5000) == 0) {
			__sync_fetch_and_add(&by_status[m->status % 600], 1);
			lab_record("client gets %d to %s", m->status, id);
		}
		if (fd >= 0)
			close(fd);
		lab_sleep(100);
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	static const char config[] =
	    "{\"version\":7,\"routes\":{\"order\":{\"host\":\"order.example\","
	    "\"path_prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout\":"
	    "\"1200ms\",\"target_latency\":\"1500ms\",\"priority\":0,"
	    "\"service\":\"orders\",\"retry_attempts\":2,\"public\":true}},"
	    "\"services\":{\"orders\":{\"health_path\":\"/health\"},"
	    "\"shop\":{\"health_path\":\"/health\"}},"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
	    "\"15000ms\"}}";
	unsigned int late_sequence;
	int i, status;

	if (argc != 2)
		return 2;
	lab_init(argv[1]);
	lab_store_start();
	lab_publish(config);
	for (i = 0; i < NODES; i++) {
		servers[i].node = i;
		servers[i].slots = 60;
		servers[i].serve = serve;
		snprintf(servers[i].service, sizeof(servers[i].service), "%s",
		    i == 0 ? "shop" : "orders");
		lab_server_start(&servers[i]);
		lab_node_start(i, servers[i].service, "a");
	}
	lab_wait_ready(0, NODES - 1);
	lab_sleep(6000);
	for (i = 0; i < CLIENTS; i++)
		lab_thread(run_client, NULL);
	lab_sleep(2000);

	/* Its last heartbeat is held up, the goodbye isn't. */
	servers[LEAVING].silent = 1;
	lab_sleep(50);
	late_sequence = ++servers[LEAVING].sequence;
	servers[LEAVING].draining = 1; /* its health check says so */
	status = lab_leave(&servers[LEAVING]);
	if (status != 200)
		lab_die("the goodbye got %d", status);
	left_ms = lab_ms();
	in_touch_ms = left_ms;
	lab_record("the goodbye of server %s is acknowledged",
	    servers[LEAVING].id);
	lab_sleep(KILL_AFTER_MS);
	if (lab_trouble()) {
		in_touch_ms = UINT64_MAX;
		for (i = 0; i < NODES; i++)
			lab_node_signal(i, SIGKILL);
		for (i = 0; i < NODES; i++)
			if (!lab_node_ended(i, 2000))
				lab_die("node %d lives on", i + 1);
		lab_sleep(DOWN_MS);
		for (i = 0; i < NODES; i++)
			lab_node_start(i, servers[i].service, "a");
		in_touch_ms = lab_ms() + TOUCH_MS;
	}
	while (lab_ms() < left_ms + LATE_BEAT_AFTER_MS)
		lab_sleep(5);
	status = lab_beat(&servers[LEAVING], "ready", late_sequence);
	lab_record("the late heartbeat of server %s, sequence %u, gets %d",
	    servers[LEAVING].id, late_sequence, status);
	while (lab_ms() < left_ms + EXIT_AFTER_MS)
		lab_sleep(5);
	over = 1;
	lab_sleep(1500);
	for (i = 0; i < 600; i++)
		if (by_status[i] > 0)
			lab_record("answers with %d: %d", i, by_status[i]);
	lab_record("requests that machines in touch sent on more than %d ms "
		   "after the goodbye: %d, of these to the leaving server: %d",
	    DRAIN_MS, reached, at_leaving);
	if (reached == 0)
		lab_die("no request was served");
	return lab_finish(at_leaving > 0);
}

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

/*
 * A machine freezes while servers beside it send long answers.
 *
 * Node 1 has the clients, nodes 2 and 3 have the servers.  Node 2 freezes.
 */

#define NODES 3
#define FROZEN 1
#define CLIENTS 40
#define ANSWER_BYTES 400000
#define FIRST_BYTES 100000 /* sent at once */
#define PIECE_BYTES 20000
#define PIECE_MS 50
#define ROUTE_TIMEOUT_MS 2000
#define LATE_MS 500
#define DEADLINE_MS 3000
#define FREEZE_AFTER_MS 400
#define FREEZE_MS 4000

struct client {
	int number;
	volatile int done, is_overdue, is_late, status, is_whole;
	uint64_t ended_ms; /* whole answer, or the end of the connection */
};

static struct server servers[NODES];
static struct client clients[CLIENTS];

/* Sends an answer piece by piece. */
static int
serve(struct server *s, int fd, struct msg *m)
{
	static char piece[FIRST_BYTES];
	char head[512];
	size_t sent;
	int len, rc;

	lab_read_body(fd, m, lab_ms() + 1000);
	lab_record("server %s runs %s", s->id, m->id);
	len = snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nX-Cyclamenvale-Attempt-Id: %s\r\n"
	    "X-Cyclamenvale-Response-Signature: s.1\r\n"
	    "Content-Length: %d\r\n\r\n",
	    m->id, ANSWER_BYTES);
	rc = lab_write(fd, head, (size_t)len) == 0 &&
	     lab_write(fd, piece, FIRST_BYTES) == 0;
	for (sent = FIRST_BYTES; rc && sent < ANSWER_BYTES;
	     sent += PIECE_BYTES) {
		lab_sleep(PIECE_MS);
		rc = lab_write(fd, piece, PIECE_BYTES) == 0;
	}
	lab_record("server %s has sent all of its answer to %s: %s", s->id,
	    m->id, rc ? "yes" : "no");
	return rc;
}

static void *
run_client(void *arg)
{
	struct client *c = arg;
	struct msg *m = malloc(sizeof(*m));
	static _Thread_local char buf[65536];
	char request[512], id[32];
	uint64_t start, got = 0, now;
	struct timeval tv = { 0, 20000 };
	ssize_t n = 1;
	int fd, len;

	lab_new_id(id, sizeof(id));
	len = snprintf(request, sizeof(request),
	    "GET /files/%d HTTP/1.1\r\nHost: files.example\r\n"
	    "X-Cyclamenvale-Attempt-Id: %s\r\n"
	    "X-Cyclamenvale-Deadline-Ms: %d\r\n\r\n",
	    c->number, id, DEADLINE_MS);
	fd = lab_connect(lab_ip(0), PORT_ENTRY, 0);
	start = lab_ms();
	if (fd == -1 || lab_write(fd, request, (size_t)len) == -1 ||
	    lab_read_head(fd, m, start + DEADLINE_MS) == -1)
		m->status = 0;
	c->status = m->status;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	while (m->status == 200 && got < ANSWER_BYTES &&
	       (now = lab_ms()) < start + DEADLINE_MS) {
		c->is_overdue |= now >= start + ROUTE_TIMEOUT_MS;
		c->is_late |= now >= start + ROUTE_TIMEOUT_MS + LATE_MS;
		n = recv(fd, buf, sizeof(buf), 0);
		if (n == 0)
			break;
		if (n > 0)
			got += (uint64_t)n;
	}
	c->is_whole = got == ANSWER_BYTES;
	lab_record("client %d has %d and %llu of %d bytes to %s after %llu ms%s",
	    c->number, c->status, (unsigned long long)got, ANSWER_BYTES, id,
	    (unsigned long long)(lab_ms() - start),
	    c->is_whole ? ""
	    : n == 0	? ": the connection ended"
			: ": its deadline has come");
	if (fd >= 0)
		close(fd);
	free(m);
	c->done = 1;
	return NULL;
}

int
main(int argc, char **argv)
{
	static const char config[] =
	    "{\"version\":7,\"routes\":{\"files\":{\"host\":\"files.example\","
	    "\"path_prefix\":\"/files/\",\"kind\":\"safe\",\"timeout\":"
	    "\"2000ms\",\"target_latency\":\"1500ms\",\"priority\":1,"
	    "\"service\":\"artwork\",\"retry_attempts\":2,\"public\":true}},"
	    "\"services\":{\"artwork\":{\"health_path\":\"/health\"},"
	    "\"shop\":{\"health_path\":\"/health\"}},"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
	    "\"15000ms\"}}";
	int i, overdue = 0, late = 0, whole = 0;

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
		    i == 0 ? "shop" : "artwork");
		lab_server_start(&servers[i]);
		lab_node_start(i, servers[i].service, "a");
	}
	lab_wait_ready(0, NODES - 1);
	lab_sleep(8000);
	for (i = 0; i < CLIENTS; i++) {
		clients[i].number = i + 1;
		lab_thread(run_client, &clients[i]);
	}
	lab_sleep(FREEZE_AFTER_MS);
	if (lab_trouble()) {
		lab_node_signal(FROZEN, SIGSTOP);
		lab_sleep(FREEZE_MS);
		lab_node_signal(FROZEN, SIGCONT);
	}
	for (i = 0; i < CLIENTS; i++) {
		while (!clients[i].done)
			lab_sleep(10);
		overdue += clients[i].is_overdue;
		late += clients[i].is_late;
		whole += clients[i].is_whole;
	}
	lab_record("answers: %d whole; without a final answer at the route's "
		   "timeout: %d, half a second later: %d",
	    whole, overdue, late);
	if (whole == 0)
		lab_die("no answer is whole");
	return lab_finish(late >= 8 && late * 2 > overdue);
}

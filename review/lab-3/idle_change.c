#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

/*
 * The operator lowers idle_timeout while clients read answers slowly.
 *
 * Node 1 has the clients, nodes 2 and 3 have the servers.  The same clients
 * come twice: first in calm, then beside the change.
 */

#define NODES 3
#define CLIENTS 240
#define SIZE_MIN 200000
#define SIZE_STEP 20000
#define PAUSE_MS 3000 /* of a client, behind the head of its answer */
#define DEADLINE_MS 6000
#define CHANGE_AFTER_MS 500

struct client {
	int number;
	uint64_t size;
	volatile int done, is_cut, other;
};

static struct server servers[NODES];
static struct client clients[CLIENTS];

/* Answers with as many bytes as the path says. */
static int
serve(struct server *s, int fd, struct msg *m)
{
	uint64_t size = strtoull(m->target + strlen("/files/"), NULL, 10);
	char *body = malloc(size);
	int rc;

	lab_read_body(fd, m, lab_ms() + 5000);
	memset(body, 'x', size);
	rc = lab_answer(fd, m, 200,
	    "X-Cyclamenvale-Response-Signature: s.1\r\n", body, size);
	lab_record("server %s has run %s and sent all of its answer: %s", s->id,
	    m->id, rc == 0 ? "yes" : "no");
	free(body);
	return rc == 0;
}

/* Reads the head of an answer, pauses, and reads the rest at full speed. */
static void *
run_client(void *arg)
{
	struct client *c = arg;
	struct msg *m = malloc(sizeof(*m));
	char request[512], id[32];
	uint64_t start;
	int fd, len;

	lab_new_id(id, sizeof(id));
	len = snprintf(request, sizeof(request),
	    "GET /files/%llu HTTP/1.1\r\nHost: files.example\r\n"
	    "X-Cyclamenvale-Attempt-Id: %s\r\n"
	    "X-Cyclamenvale-Deadline-Ms: %d\r\n\r\n",
	    (unsigned long long)c->size, id, DEADLINE_MS);
	fd = lab_connect(lab_ip(0), PORT_ENTRY, 0);
	start = lab_ms();
	if (fd == -1 || lab_write(fd, request, (size_t)len) == -1 ||
	    lab_read_head(fd, m, start + DEADLINE_MS) == -1 ||
	    m->status != 200) {
		lab_record("client %d gets no 200 but %d", c->number,
		    m->status);
		c->other = 1;
	} else {
		lab_sleep(PAUSE_MS);
		(void)lab_read_body(fd, m, start + DEADLINE_MS);
		c->is_cut = !m->complete && lab_ms() < start + DEADLINE_MS;
		c->other = !m->complete && !c->is_cut;
		lab_record("client %d has %llu of %llu bytes of %s after %llu "
			   "ms%s",
		    c->number, (unsigned long long)m->body_len,
		    (unsigned long long)c->size, id,
		    (unsigned long long)(lab_ms() - start),
		    c->is_cut ? ": the connection ended" : "");
	}
	if (fd >= 0)
		close(fd);
	free(m);
	c->done = 1;
	return NULL;
}

static void
publish(int version, const char *idle)
{
	char config[2048];

	snprintf(config, sizeof(config),
	    "{\"version\":%d,\"routes\":{\"files\":{\"host\":\"files.example\","
	    "\"path_prefix\":\"/files/\",\"kind\":\"safe\",\"timeout\":"
	    "\"6000ms\",\"target_latency\":\"1500ms\",\"priority\":1,"
	    "\"service\":\"artwork\",\"retry_attempts\":2,\"public\":true}},"
	    "\"services\":{\"artwork\":{\"health_path\":\"/health\"},"
	    "\"shop\":{\"health_path\":\"/health\"}},"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"%s\"}}",
	    version, idle);
	lab_publish(config);
}

/* Lets all clients come once.  Returns how many answers were cut. */
static int
play(int change, int *other)
{
	int i, cut = 0;

	*other = 0;
	for (i = 0; i < CLIENTS; i++) {
		clients[i].number = i + 1;
		clients[i].size = SIZE_MIN + (uint64_t)i * SIZE_STEP;
		clients[i].done = clients[i].is_cut = clients[i].other = 0;
		lab_thread(run_client, &clients[i]);
	}
	lab_sleep(CHANGE_AFTER_MS);
	if (change)
		publish(8, "2000ms");
	for (i = 0; i < CLIENTS; i++) {
		while (!clients[i].done)
			lab_sleep(10);
		cut += clients[i].is_cut;
		*other += clients[i].other;
	}
	return cut;
}

int
main(int argc, char **argv)
{
	int i, calm, beside, other;

	if (argc != 2)
		return 2;
	lab_init(argv[1]);
	lab_store_start();
	publish(7, "15000ms");
	for (i = 0; i < NODES; i++) {
		servers[i].node = i;
		servers[i].slots = 90;
		servers[i].serve = serve;
		snprintf(servers[i].service, sizeof(servers[i].service), "%s",
		    i == 0 ? "shop" : "artwork");
		lab_server_start(&servers[i]);
		lab_node_start(i, servers[i].service, "a");
	}
	lab_wait_ready(0, NODES - 1);
	lab_sleep(8000);
	calm = play(0, &other);
	lab_record("in calm: %d answers cut, %d other ends", calm, other);
	lab_sleep(3000);
	beside = play(lab_trouble(), &other);
	lab_record("beside the change: %d of %d answers cut, %d other ends; in "
		   "calm: %d",
	    beside, CLIENTS, other, calm);
	if (other > CLIENTS / 2)
		lab_die("too few answers");
	return lab_finish(beside > 3 * calm);
}

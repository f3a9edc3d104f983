#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

/*
 * A planned stop of one machine while clients on it read long answers slowly.
 *
 * Node 1 has the clients, nodes 2 and 3 have the servers.  All clients read
 * their answers to the end within their deadline, before the grace is over.
 */

#define FRONT 0
#define SERVERS 2
#define CLIENTS 96
#define DEADLINE_MS 6000
#define READ_MS 5200 /* in which a client reads its whole answer */
#define SIZE_MIN 2400000
#define SIZE_STEP 40000
#define STOP_AFTER_MS 400 /* before half of the requests */

static const char config[] =
    "{\"version\":7,\"routes\":{\"files\":{\"host\":\"files.example\","
    "\"path_prefix\":\"/files/\",\"kind\":\"safe\",\"timeout\":\"6000ms\","
    "\"target_latency\":\"1500ms\",\"priority\":1,\"service\":\"artwork\","
    "\"retry_attempts\":2,\"public\":true}},"
    "\"services\":{\"artwork\":{\"health_path\":\"/health\"},"
    "\"shop\":{\"health_path\":\"/health\"}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

struct client {
	int number, fd;
	uint64_t size, start_ms;
	volatile int done, cut, skipped;
};

static struct server servers[1 + SERVERS];
static struct client clients[CLIENTS];
static uint64_t stop_ms;

/* Answers with as many bytes as the path says. */
static int
serve(struct server *s, int fd, struct msg *m)
{
	static const char fields[] =
	    "X-Cyclamenvale-Response-Signature: s.1\r\n";
	uint64_t size = strtoull(m->target + strlen("/files/"), NULL, 10);
	char *body = malloc(size);
	int rc;

	lab_read_body(fd, m, lab_ms() + 5000);
	lab_record("server %s begins %s", s->id, m->id);
	memset(body, 'x', size);
	rc = lab_answer(fd, m, 200, fields, body, size);
	lab_record("server %s has sent all of %s: %s", s->id, m->id,
	    rc == 0 ? "yes" : "no");
	free(body);
	return rc == 0;
}

/* Sends a request and reads its answer evenly over READ_MS. */
static void *
run_client(void *arg)
{
	struct client *c = arg;
	struct msg *m = malloc(sizeof(*m));
	char request[512], id[32], v[64];
	uint64_t start = 0, got = 0, due, length;
	static _Thread_local char buf[65536];
	ssize_t n = 0;
	int len;

	lab_sleep(c->start_ms);
	lab_new_id(id, sizeof(id));
	len = snprintf(request, sizeof(request),
	    "GET /files/%llu HTTP/1.1\r\nHost: files.example\r\n"
	    "X-Cyclamenvale-Attempt-Id: %s\r\n"
	    "X-Cyclamenvale-Deadline-Ms: %d\r\n\r\n",
	    (unsigned long long)c->size, id, DEADLINE_MS);
	start = lab_ms();
	lab_record("client %d sends %s for %llu bytes", c->number, id,
	    (unsigned long long)c->size);
	if (lab_write(c->fd, request, (size_t)len) == -1 ||
	    lab_read_head(c->fd, m, start + DEADLINE_MS) == -1 ||
	    m->status != 200) {
		lab_record("client %d gets no 200 but %d", c->number,
		    m->status);
		c->skipped = 1;
		c->done = 1;
		return NULL;
	}
	length = lab_field(m, "Content-Length", v, sizeof(v)) != NULL
		     ? strtoull(v, NULL, 10)
		     : 0;
	while (got < length && lab_ms() < start + DEADLINE_MS - 200) {
		due = length * (lab_ms() - start) / READ_MS;
		if (due <= got) {
			lab_sleep(10);
			continue;
		}
		n = recv(c->fd, buf,
		    due - got < sizeof(buf) ? due - got : sizeof(buf), 0);
		if (n <= 0)
			break;
		got += (uint64_t)n;
	}
	c->cut = got < length && n <= 0;
	c->skipped = got < length && n > 0;
	lab_record("client %d has %llu of %llu bytes of %s after %llu ms%s",
	    c->number, (unsigned long long)got, (unsigned long long)length, id,
	    (unsigned long long)(lab_ms() - start),
	    c->cut	 ? ": the connection ended"
	    : c->skipped ? ": too late, not counted"
			 : "");
	c->done = 1;
	free(m);
	return NULL;
}

int
main(int argc, char **argv)
{
	int i, cut = 0, skipped = 0;

	if (argc != 2)
		return 2;
	lab_init(argv[1]);
	lab_store_start();
	lab_publish(config);
	for (i = 0; i <= SERVERS; i++) {
		servers[i].node = i;
		servers[i].slots = 60;
		servers[i].serve = serve;
		snprintf(servers[i].service, sizeof(servers[i].service), "%s",
		    i == FRONT ? "shop" : "artwork");
		lab_server_start(&servers[i]);
		lab_node_start(i, servers[i].service, "a");
	}
	lab_wait_ready(0, SERVERS);
	lab_sleep(5000);
	for (i = 0; i < CLIENTS; i++) {
		clients[i].number = i + 1;
		clients[i].size = SIZE_MIN + (uint64_t)i * SIZE_STEP;
		/* Half of them send theirs just after the SIGTERM. */
		clients[i].start_ms = i % 2 == 0 ? 0 : STOP_AFTER_MS + 300;
		clients[i].fd = lab_connect(lab_ip(FRONT), PORT_ENTRY, 65536);
		if (clients[i].fd == -1)
			lab_die("no connection");
		lab_thread(run_client, &clients[i]);
	}
	lab_sleep(STOP_AFTER_MS);
	stop_ms = lab_ms();
	if (lab_trouble())
		lab_node_signal(FRONT, SIGTERM);
	for (i = 0; i < CLIENTS; i++)
		while (!clients[i].done) {
			lab_node_ended(FRONT, 0);
			lab_sleep(10);
		}
	for (i = 0; i < CLIENTS; i++) {
		cut += clients[i].cut;
		skipped += clients[i].skipped;
	}
	lab_record("answers: %d whole, %d cut, %d not counted",
	    CLIENTS - cut - skipped, cut, skipped);
	if (skipped > CLIENTS / 2)
		lab_die("too few answers");
	return lab_finish(cut > 0);
}

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

/*
 * A tenant sends more than its quota while some servers lose answers of
 * requests that they have run.
 *
 * Nodes 1 and 2 have the clients, the others have the servers.
 */

#define FRONTS 2
#define SERVERS 5
#define LOSING 3       /* share 0.6 of the servers */
#define LOSE_X 0.3     /* of their answers */
#define LOSE_FROM_MS 3000
#define LOSE_FOR_MS 6000
#define CLIENTS 360
#define RATE 300 /* 1.6 times the usual */
#define BURST 300
#define WINDOW_MS 5000
#define OVERAGE 0.1
#define SLACK 20
#define ROUTE_TIMEOUT_MS 800
#define WORK_MS 40
#define HOT_FROM_MS 2500
#define HOT_FOR_MS 6500
#define USUAL_GAP_MS 1920 /* between the requests of a client */
#define HOT_X 7.5
#define RUN_MS 12000
#define REQUESTS_MAX 65536

static struct server servers[FRONTS + SERVERS];
static volatile int over;
static uint64_t began_ms;
static struct {
	char id[20];
	uint64_t sent_ms, ran_ms;
	int status, lost;
} requests[REQUESTS_MAX];
static uint32_t request_count;
static int by_status[600], unanswered, lost;

static uint32_t
index_of(const char *id)
{
	return (uint32_t)strtoul(id, NULL, 16) % REQUESTS_MAX;
}

static int
serve(struct server *s, int fd, struct msg *m)
{
	static const char fields[] =
	    "X-Cyclamenvale-Response-Signature: s.1\r\n";
	uint64_t now = lab_ms() - began_ms;
	uint32_t k = index_of(m->id);
	struct pollfd p = { .fd = fd, .events = POLLIN };

	if (strcmp(requests[k].id, m->id) == 0)
		requests[k].ran_ms = lab_ms();
	lab_sleep(WORK_MS);
	if (s->node - FRONTS < LOSING && now >= LOSE_FROM_MS &&
	    now < LOSE_FROM_MS + LOSE_FOR_MS && lab_trouble() &&
	    lab_random() % 1000 < LOSE_X * 1000) {
		requests[k].lost = 1;
		__sync_fetch_and_add(&lost, 1);
		/* Nothing more comes on this connection. */
		poll(&p, 1, 20000);
		return 0;
	}
	return lab_answer(fd, m, 200, fields, "price", 5) == 0;
}

static void *
run_client(void *arg)
{
	int number = (int)(intptr_t)arg, fd = -1, len, hot;
	struct msg *m = malloc(sizeof(*m));
	char head[1024], id[20];
	uint64_t start, now;
	uint32_t k;

	lab_sleep(lab_random() % USUAL_GAP_MS);
	while (!over) {
		if (fd == -1)
			fd = lab_connect(
			    lab_ip(number % FRONTS), PORT_ENTRY, 0);
		if (fd == -1)
			break;
		k = __sync_fetch_and_add(&request_count, 1);
		if (k >= REQUESTS_MAX)
			break;
		snprintf(id, sizeof(id), "%08x", k);
		len = snprintf(head, sizeof(head),
		    "GET /price/%d HTTP/1.1\r\nHost: price.example\r\n"
		    "X-Cyclamenvale-Attempt-Id: %s\r\n"
		    "X-Cyclamenvale-Deadline-Ms: %d\r\n"
		    "X-Cyclamenvale-Key: key-of-tenant\r\n\r\n",
		    number, id, ROUTE_TIMEOUT_MS);
		start = lab_ms();
		memcpy(requests[k].id, id, sizeof(id));
		requests[k].sent_ms = start;
		if (lab_write(fd, head, (size_t)len) == -1 ||
		    lab_read_message(fd, m, start + ROUTE_TIMEOUT_MS + 700) ==
			-1 ||
		    !m->complete) {
			__sync_fetch_and_add(&unanswered, 1);
			close(fd);
			fd = -1;
		} else {
			__sync_fetch_and_add(&by_status[m->status % 600], 1);
			requests[k].status = m->status;
			if (!m->keep_alive) {
				close(fd);
				fd = -1;
			}
		}
		now = lab_ms() - began_ms;
		hot = now >= HOT_FROM_MS && now < HOT_FROM_MS + HOT_FOR_MS;
		start += hot ? (uint64_t)(USUAL_GAP_MS / HOT_X) : USUAL_GAP_MS;
		if (start > lab_ms())
			lab_sleep(start - lab_ms());
	}
	return NULL;
}

/* Returns the most requests that were sent and ran within one window. */
static uint32_t
worst_window(uint64_t *at)
{
	uint32_t i, k, n, most = 0, count = request_count;
	uint64_t from;

	if (count > REQUESTS_MAX)
		count = REQUESTS_MAX;
	for (i = 0; i < count; i++) {
		from = requests[i].sent_ms;
		for (k = n = 0; k < count; k++)
			n += requests[k].ran_ms != 0 &&
			     requests[k].sent_ms >= from &&
			     requests[k].ran_ms < from + WINDOW_MS;
		if (n > most) {
			most = n;
			*at = from - began_ms;
		}
	}
	return most;
}

int
main(int argc, char **argv)
{
	static const char config[] =
	    "{\"version\":7,\"routes\":{\"price\":{\"host\":\"price.example\","
	    "\"path_prefix\":\"/price/\",\"kind\":\"safe\",\"timeout\":"
	    "\"800ms\",\"target_latency\":\"200ms\",\"priority\":1,"
	    "\"service\":\"pricing\",\"retry_attempts\":2,\"public\":false}},"
	    "\"services\":{\"pricing\":{\"health_path\":\"/health\"},"
	    "\"shop\":{\"health_path\":\"/health\"}},"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
	    "\"15000ms\"},\"tenants\":{\"pulo780\":{\"api_keys\":["
	    "\"key-of-tenant\"],\"priority\":1,\"rate_per_s\":300,"
	    "\"burst\":300}}}";
	double bound = (RATE * WINDOW_MS / 1000.0 + BURST) * (1 + OVERAGE) +
		       SLACK;
	uint64_t at = 0;
	uint32_t most;
	int i;

	if (argc != 2)
		return 2;
	lab_init(argv[1]);
	lab_store_start();
	lab_publish(config);
	for (i = 0; i < FRONTS + SERVERS; i++) {
		servers[i].node = i;
		servers[i].slots = 400;
		servers[i].serve = serve;
		snprintf(servers[i].service, sizeof(servers[i].service), "%s",
		    i < FRONTS ? "shop" : "pricing");
		lab_server_start(&servers[i]);
		/* Nodes prefer the servers of their own zone. */
		lab_node_start(i, servers[i].service,
		    i < FRONTS + LOSING ? "a" : "b");
	}
	lab_wait_ready(0, FRONTS + SERVERS - 1);
	lab_sleep(8000);
	began_ms = lab_ms();
	for (i = 0; i < CLIENTS; i++)
		lab_thread(run_client, (void *)(intptr_t)i);
	lab_sleep(RUN_MS);
	over = 1;
	lab_sleep(1500);
	most = worst_window(&at);
	lab_record("id, sent at, run at (0: not), status (0: none), L: its "
		   "server lost the answer");
	for (i = 0; i < (int)request_count && i < REQUESTS_MAX; i++)
		lab_record("%s %llu %llu %d%s", requests[i].id,
		    (unsigned long long)(requests[i].sent_ms - began_ms),
		    (unsigned long long)(requests[i].ran_ms != 0
					     ? requests[i].ran_ms - began_ms
					     : 0),
		    requests[i].status, requests[i].lost ? " L" : "");
	for (i = 0; i < 600; i++)
		if (by_status[i] > 0)
			lab_record("answers with %d: %d", i, by_status[i]);
	lab_record("no answer: %d, answers that the servers lost: %d",
	    unanswered, lost);
	lab_record("most requests of the tenant sent and run in %d ms: %u, "
		   "from %.3f s after the first; allowed are %.0f",
	    WINDOW_MS, most, (double)at / 1000, bound);
	return lab_finish(most > bound);
}

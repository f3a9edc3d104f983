#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../lab-2/lab.h"

/*
 * Machine 1 has the callers, machine 2 a server of "artwork", machine 3 one of
 * "catalogue".  Uploads are under way, all within the limits in force when they
 * began, when a configuration lowers max_body_bytes.  Afterwards callers open
 * connections and send one short request after the other on each.
 */

#define UPLOADS 4
#define UPLOAD_BYTES (3 << 20)
#define PIECE_BYTES 32768
#define PIECE_GAP_US 60000
#define UPLOAD_START_MS 3000
#define CHANGE_MS 4000
#define CALLERS 24
#define CALL_START_MS 7500
#define END_MS 18000
#define RUN_MS 120
#define LOST_MAX 3 /* more break the rule */

static struct lab_server artwork, catalogue;
static volatile int answered, failed, unanswered, lost, foreign, uploads_done;
/* Last request of each caller that the server has begun to run. */
static volatile int begun[CALLERS + 1];

static const char config[] =
    "{\"version\":%d,\"routes\":{"
    "\"r-art\":{\"host\":\"shop.example\",\"path_prefix\":\"/artwork/\","
    "\"kind\":\"upload\",\"timeout\":\"9000ms\",\"target_latency\":\"6000ms\","
    "\"priority\":0,\"service\":\"artwork\",\"retry_attempts\":1,"
    "\"public\":false},"
    "\"r-cat\":{\"host\":\"shop.example\",\"path_prefix\":\"/catalogue/\","
    "\"kind\":\"safe\",\"timeout\":\"3000ms\",\"target_latency\":\"1500ms\","
    "\"priority\":1,\"service\":\"catalogue\",\"retry_attempts\":2,"
    "\"public\":false}},"
    "\"services\":{\"artwork\":{\"health_path\":\"/health\","
    "\"max_connections\":600},\"catalogue\":{\"health_path\":\"/health\","
    "\"max_connections\":600}},\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":%d,\"header_timeout\":\"3000ms\","
    "\"idle_timeout\":\"15000ms\"}}";

static void
publish(int version, int max_body_bytes)
{
	char text[2048];

	snprintf(text, sizeof(text), config, version, max_body_bytes);
	lab_publish(text);
}

static void
run(struct lab_server *s, struct lab_conn *c, const struct lab_msg *m)
{
	char id[LAB_ID_BYTES];
	int caller, n;

	lab_header(m, "X-Cyclamenvale-Attempt-Id", id, sizeof(id));
	if (sscanf(id, "c%d-%d", &caller, &n) == 2)
		begun[caller] = n;
	lab_run_for(s, c, m, RUN_MS);
}

/*
 * Uploads one body in pieces and reads the answer, also an early one.
 */
static void *
upload(void *arg)
{
	int n = (int)(intptr_t)arg, rc;
	struct lab_conn *c = malloc(sizeof(*c));
	struct lab_msg *m = malloc(sizeof(*m));
	char *piece = calloc(1, PIECE_BYTES);
	size_t sent = 0;

	if (c == NULL || m == NULL || piece == NULL)
		abort();
	if (lab_connect(c, 1, lab_port(LAB_ENTRY), 1000) == -1)
		return NULL;
	lab_note("upload u%d begins, %d bytes", n, UPLOAD_BYTES);
	rc = lab_printf(c,
	    "POST /artwork/%d HTTP/1.1\r\nHost: shop.example\r\n"
	    "X-Cyclamenvale-Attempt-Id: u%d\r\n"
	    "X-Cyclamenvale-Deadline-Ms: 12000\r\n"
	    "Content-Length: %d\r\n\r\n",
	    n, n, UPLOAD_BYTES);
	while (rc == 0 && sent < UPLOAD_BYTES) {
		rc = lab_write(c, piece, PIECE_BYTES);
		sent += PIECE_BYTES;
		usleep(PIECE_GAP_US);
		if (lab_read_head(c, m, 1) == 1)
			break;
		m->status = 0;
	}
	if (rc == 0 && m->status == 0 && lab_read_head(c, m, 12000) != 1)
		m->status = 0;
	lab_note("upload u%d: %d after %zu bytes", n, m->status, sent);
	if (m->status == 200)
		__sync_fetch_and_add(&uploads_done, 1);
	lab_close(c);
	free(piece);
	free(c);
	free(m);
	return NULL;
}

/*
 * Sends one request after the other on a connection of its own.  Counts those
 * on a kept connection that the server has begun to run and whose connection
 * is closed without an answer.
 */
static void *
call(void *arg)
{
	int caller = (int)(intptr_t)arg, n = 0, on_connection = 0;
	struct lab_conn *c = malloc(sizeof(*c));
	struct lab_msg *m = malloc(sizeof(*m));
	char sent[LAB_ID_BYTES], got[LAB_ID_BYTES];

	if (c == NULL || m == NULL)
		abort();
	c->fd = -1;
	while (lab_ms() < END_MS) {
		if (c->fd == -1) {
			on_connection = 0;
			if (lab_connect(c, 1, lab_port(LAB_ENTRY), 1000) ==
			    -1) {
				usleep(50000);
				continue;
			}
		}
		n++;
		on_connection++;
		if (lab_printf(c,
			"GET /catalogue/%d HTTP/1.1\r\nHost: shop.example\r\n"
			"X-Cyclamenvale-Attempt-Id: c%d-%d\r\n"
			"X-Cyclamenvale-Deadline-Ms: 5000\r\n\r\n",
			n, caller, n) == -1 ||
		    lab_read_head(c, m, 5000) != 1 ||
		    lab_read_body(c, m, 5000) == -1) {
			__sync_fetch_and_add(&unanswered, 1);
			lab_note("no answer to c%d-%d", caller, n);
			if (on_connection > 1 && begun[caller] == n) {
				__sync_fetch_and_add(&lost, 1);
				lab_note("LOST: c%d-%d was passed on from a "
					 "kept connection, which is closed "
					 "without an answer",
				    caller, n);
			}
			lab_close(c);
			continue;
		}
		lab_note("c%d-%d: %d %s", caller, n, m->status, m->body);
		snprintf(sent, sizeof(sent), "c%d-%d", caller, n);
		lab_header(m, "X-Cyclamenvale-Attempt-Id", got, sizeof(got));
		if (strcmp(got, sent) != 0) {
			__sync_fetch_and_add(&foreign, 1);
			lab_note("MIXED: %s gets the answer of \"%s\"", sent,
			    got);
		}
		__sync_fetch_and_add(m->status == 200 ? &answered : &failed, 1);
		free(m->body);
		if (strcasestr(m->head, "\r\nConnection: close") != NULL)
			lab_close(c);
		usleep(20000);
	}
	lab_close(c);
	free(c);
	free(m);
	return NULL;
}

int
main(int argc, char **argv)
{
	int i, alive, seen_crashed = 0, crashed = 0;

	lab_init(argc > 1 ? argv[1] : ".");
	publish(3, 4 << 20);
	lab_server_init(&artwork, 2, "artwork", run);
	lab_server_init(&catalogue, 3, "catalogue", run);
	lab_node_start(1, "shop");
	lab_node_start(2, "artwork");
	lab_node_start(3, "catalogue");
	lab_server_start(&artwork);
	lab_server_start(&catalogue);
	for (i = 1; i <= 3; i++)
		if (!lab_wait_ready(i, 10000))
			return lab_finish(2);
	lab_sleep_until(UPLOAD_START_MS);
	for (i = 0; i < UPLOADS; i++)
		lab_thread(upload, (void *)(intptr_t)(i + 1));
	lab_sleep_until(CHANGE_MS);
	if (lab_trouble())
		publish(5, 1 << 20);
	lab_sleep_until(CALL_START_MS);
	for (i = 0; i < CALLERS; i++)
		lab_thread(call, (void *)(intptr_t)(i + 1));
	while (lab_ms() < END_MS + 500) {
		for (i = 1; i <= 3; i++) {
			alive = lab_node_alive(i);
			crashed += !alive && !(seen_crashed & 1 << i);
			seen_crashed |= (!alive) << i;
		}
		usleep(20000);
	}
	lab_note("%d uploads answered with success; short requests: %d answered "
		 "with success, %d with another status, %d unanswered; %d lost "
		 "from kept connections, %d got the answer of another one; %d nodes "
		 "crashed",
	    uploads_done, answered, failed, unanswered, lost, foreign, crashed);
	if (answered < 100)
		return lab_finish(2);
	return lab_finish(lost > LOST_MAX || foreign > 0);
}

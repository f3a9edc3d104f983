#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../lab-2/lab.h"

/*
 * Machine 1 has the callers.  Beside machine 2 runs the only server of the
 * service "orders" that leaves, beside machine 3 one that stays.  The node of
 * machine 2 is killed and started again, as the platform does.  Meanwhile its
 * server leaves: it repeats DELETE (without a body) until that is acknowledged,
 * goes on serving, and exits.  A heartbeat that it sent before arrives late.
 */

#define DRAIN_MS 2000	/* bound of the rule */
#define TOUCH_MS 3000	/* bound of the rule */
#define STAY_MS 6100	/* after which the server exits */
#define END_MS 13000
#define KILL_MS 4600
#define RESTART_MS 300
#define CALLERS 4
#define RUN_MS 60
#define RETRY_MS 100		/* between two DELETE */
#define HEARTBEAT_DELAY_MS 2500 /* until the last heartbeat arrives */

static struct lab_server leaving, staying;
static volatile uint64_t acked_ms, in_touch_ms;
static volatile int late_runs, cut_requests, answered, refused;

static const char config[] =
    "{\"version\":3,\"routes\":{\"r-orders\":{\"host\":\"shop.example\","
    "\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\",\"timeout\":\"3000ms\","
    "\"target_latency\":\"1500ms\",\"priority\":0,\"service\":\"orders\","
    "\"retry_attempts\":2,\"public\":false}},\"services\":{\"orders\":{"
    "\"health_path\":\"/health\",\"max_connections\":600}},\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

/*
 * Runs a request at a server.  Counts those that reach the leaving server
 * later than the rule allows, once all nodes are in touch.
 */
static void
run(struct lab_server *s, struct lab_conn *c, const struct lab_msg *m)
{
	uint64_t now = lab_ms();
	char id[LAB_ID_BYTES];

	lab_header(m, "X-Cyclamenvale-Attempt-Id", id, sizeof(id));
	if (s == &leaving && acked_ms != 0 && now > acked_ms + DRAIN_MS &&
	    now > in_touch_ms) {
		__sync_fetch_and_add(&late_runs, 1);
		lab_note("DRAIN: %s reaches server %s %llu ms after the "
			 "acknowledgement that it is gone",
		    id, s->id, (unsigned long long)(now - acked_ms));
	}
	lab_run_for(s, c, m, RUN_MS);
}

/*
 * Sends one request after the other from machine 1.
 */
static void *
call(void *arg)
{
	int caller = (int)(intptr_t)arg, n = 0;
	struct lab_conn *c = malloc(sizeof(*c));
	struct lab_msg *m = malloc(sizeof(*m));

	if (c == NULL || m == NULL)
		abort();
	c->fd = -1;
	while (lab_ms() < END_MS) {
		if (c->fd == -1 &&
		    lab_connect(c, 1, lab_port(LAB_ENTRY), 1000) == -1) {
			usleep(50000);
			continue;
		}
		lab_note("caller %d sends a%d-%d", caller, caller, ++n);
		if (lab_printf(c,
			"POST /orders/%d HTTP/1.1\r\nHost: shop.example\r\n"
			"X-Cyclamenvale-Attempt-Id: a%d-%d\r\n"
			"X-Cyclamenvale-Deadline-Ms: 5000\r\n"
			"Content-Length: 2\r\n\r\n{}",
			n, caller, n) == -1 ||
		    lab_read_head(c, m, 5000) != 1 ||
		    lab_read_body(c, m, 5000) == -1) {
			lab_note("caller %d: no answer to a%d-%d", caller,
			    caller, n);
			lab_close(c);
			__sync_fetch_and_add(&cut_requests, 1);
			continue;
		}
		lab_note("caller %d: a%d-%d: %d %s", caller, caller, n,
		    m->status, m->body);
		if (m->status == 200)
			__sync_fetch_and_add(&answered, 1);
		else if (m->status == 502 || m->status == 504)
			__sync_fetch_and_add(&cut_requests, 1);
		else
			__sync_fetch_and_add(&refused, 1);
		free(m->body);
		if (strcasestr(m->head, "\r\nConnection: close") != NULL)
			lab_close(c);
		usleep(40000);
	}
	lab_close(c);
	free(c);
	free(m);
	return NULL;
}

/*
 * Repeats DELETE until it is acknowledged, as a server does that leaves.
 */
static void *
repeat_delete(void *arg)
{
	int status;

	(void)arg;
	while (acked_ms == 0) {
		status = lab_server_delete(&leaving);
		if (status == 200) {
			acked_ms = lab_ms();
			lab_note("server %s: DELETE is answered with 200",
			    leaving.id);
		} else {
			usleep(RETRY_MS * 1000);
		}
	}
	return NULL;
}

/*
 * Delivers a heartbeat of the server that was delayed on its way.
 */
static void *
deliver_heartbeat(void *arg)
{
	int status;

	lab_sleep_until(KILL_MS + HEARTBEAT_DELAY_MS);
	status = lab_server_beat_numbered(
	    &leaving, "PUT", "ready", (uint64_t)(uintptr_t)arg);
	lab_note("the delayed heartbeat %llu of server %s arrives, answered "
		 "with %d",
	    (unsigned long long)(uintptr_t)arg, leaving.id, status);
	return NULL;
}

/*
 * Lets the server send a heartbeat, which is delayed, and then leave.
 */
static void
leave_late(void)
{
	uint64_t number = __sync_add_and_fetch(&leaving.sequence, 1);

	lab_note("server %s sends its heartbeat %llu, and then DELETE",
	    leaving.id, (unsigned long long)number);
	leaving.leaving = 1;
	lab_thread(deliver_heartbeat, (void *)(uintptr_t)number);
	lab_thread(repeat_delete, NULL);
}

int
main(int argc, char **argv)
{
	int i;

	lab_init(argc > 1 ? argv[1] : ".");
	lab_publish(config);
	lab_server_init(&leaving, 2, "orders", run);
	lab_server_init(&staying, 3, "orders", run);
	lab_node_start(1, "shop");
	lab_node_start(2, "orders");
	lab_node_start(3, "orders");
	lab_server_start(&leaving);
	lab_server_start(&staying);
	for (i = 1; i <= 3; i++)
		if (!lab_wait_ready(i, 10000))
			return lab_finish(2);
	lab_sleep_until(2500);
	for (i = 0; i < CALLERS; i++)
		lab_thread(call, (void *)(intptr_t)(i + 1));
	lab_sleep_until(KILL_MS);
	if (lab_trouble())
		lab_node_signal(2, SIGKILL);
	leave_late();
	if (lab_trouble()) {
		lab_node_wait(2);
		lab_sleep_until(KILL_MS + RESTART_MS);
		lab_node_start(2, "orders");
		in_touch_ms = lab_ms() + TOUCH_MS;
		if (!lab_wait_ready(2, 700))
			return lab_finish(2);
	}
	lab_sleep_until(KILL_MS + STAY_MS);
	if (acked_ms == 0)
		return lab_finish(2);
	lab_note("server %s ends", leaving.id);
	lab_server_end(&leaving);
	lab_sleep_until(END_MS + 500);
	lab_note("%d answered, %d refused, %d ended without an answer of a "
		 "server; %d reached the server too late",
	    answered, refused, cut_requests, late_runs);
	if (answered < 100)
		return lab_finish(2);
	return lab_finish(late_runs > 0);
}

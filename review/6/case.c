#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../lab-2/lab.h"

/*
 * Machine 1 has the callers, machines 2 and 3 a server each of "orders".  The
 * operator has written the versions 5 and 7 when the store is away, and returns
 * from a copy that has neither.  The operator writes its newest version again,
 * and then one that withdraws a key.
 */

#define VERSION_5_MS 500
#define VERSION_7_MS 1000
#define START_MS 1500
#define CALL_MS 4000
#define AWAY_MS 5000
#define RETURN_MS 7500
#define WITHDRAW_MS 7700
#define REVOKE_MS 5000 /* bound of the rule */
#define END_MS 25000
#define CALLERS 4
#define CALL_GAP_MS 100
#define RUN_MS 20

static struct lab_server servers[2];
static volatile uint64_t withdrawn_ms;
static volatile int good, withdrawn_runs, withdrawn_refused;

static const char config[] =
    "{\"version\":%d,\"routes\":{\"r-orders\":{\"host\":\"shop.example\","
    "\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\",\"timeout\":\"%dms\","
    "\"target_latency\":\"1500ms\",\"priority\":0,\"service\":\"orders\","
    "\"retry_attempts\":2,\"public\":false}},\"services\":{\"orders\":{"
    "\"health_path\":\"/health\",\"max_connections\":664}},\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
    "\"tenants\":{\"pulo\":{\"api_keys\":[\"key-that-stays\"%s],"
    "\"priority\":1,\"rate_per_s\":500,\"burst\":500}}}";

static void
publish(int version, int timeout_ms, int with_key)
{
	char text[1024];

	snprintf(text, sizeof(text), config, version, timeout_ms,
	    with_key ? ",\"key-withdrawn\"" : "");
	lab_publish(text);
}

/*
 * Runs a request.  The caller puts into the path which key it uses and when it
 * sent the request.
 */
static void
run(struct lab_server *s, struct lab_conn *c, const struct lab_msg *m)
{
	unsigned long long sent_ms;

	if (sscanf(m->target, "/orders/withdrawn/%llu", &sent_ms) == 1 &&
	    withdrawn_ms != 0 && sent_ms > withdrawn_ms + REVOKE_MS) {
		__sync_fetch_and_add(&withdrawn_runs, 1);
		lab_note("CONFIG: server %s runs a request with a key that was "
			 "withdrawn %llu ms before it was sent",
		    s->id, sent_ms - (unsigned long long)withdrawn_ms);
	}
	lab_run_for(s, c, m, RUN_MS);
}

/*
 * Sends requests with one of the keys.
 */
static void *
call(void *arg)
{
	int caller = (int)(intptr_t)arg, n = 0, withdrawn = caller % 2;
	struct lab_conn *c = malloc(sizeof(*c));
	struct lab_msg *m = malloc(sizeof(*m));
	uint64_t sent_ms;

	if (c == NULL || m == NULL)
		abort();
	c->fd = -1;
	while (lab_ms() < END_MS) {
		if (c->fd == -1 && lab_connect(c, 1 + caller % 3,
				       lab_port(LAB_ENTRY), 1000) == -1) {
			usleep(50000);
			continue;
		}
		sent_ms = lab_ms();
		if (lab_printf(c,
			"POST /orders/%s/%llu HTTP/1.1\r\n"
			"Host: shop.example\r\n"
			"X-Cyclamenvale-Attempt-Id: k%d-%d\r\n"
			"X-Cyclamenvale-Deadline-Ms: 5000\r\n"
			"X-Cyclamenvale-Key: %s\r\nContent-Length: 2\r\n\r\n{}",
			withdrawn ? "withdrawn" : "stays",
			(unsigned long long)sent_ms, caller, ++n,
			withdrawn ? "key-withdrawn" : "key-that-stays") == -1 ||
		    lab_read_head(c, m, 5000) != 1 ||
		    lab_read_body(c, m, 5000) == -1) {
			lab_note("no answer to k%d-%d", caller, n);
			lab_close(c);
			continue;
		}
		lab_note("k%d-%d, %s: %d", caller, n,
		    withdrawn ? "key-withdrawn" : "key-that-stays", m->status);
		if (!withdrawn && m->status == 200)
			__sync_fetch_and_add(&good, 1);
		if (withdrawn && m->status == 401)
			__sync_fetch_and_add(&withdrawn_refused, 1);
		free(m->body);
		if (strcasestr(m->head, "\r\nConnection: close") != NULL)
			lab_close(c);
		usleep(CALL_GAP_MS * 1000);
	}
	lab_close(c);
	free(c);
	free(m);
	return NULL;
}

int
main(int argc, char **argv)
{
	int i;

	lab_init(argc > 1 ? argv[1] : ".");
	publish(3, 3000, 1);
	lab_sleep_until(VERSION_5_MS);
	publish(5, 2800, 1);
	lab_sleep_until(VERSION_7_MS);
	publish(7, 2600, 1);
	lab_sleep_until(START_MS);
	lab_node_start(1, "shop");
	for (i = 0; i < 2; i++) {
		lab_server_init(&servers[i], i + 2, "orders", run);
		lab_node_start(i + 2, "orders");
		lab_server_start(&servers[i]);
	}
	for (i = 1; i <= 3; i++)
		if (!lab_wait_ready(i, 10000))
			return lab_finish(2);
	lab_sleep_until(CALL_MS);
	for (i = 0; i < CALLERS; i++)
		lab_thread(call, (void *)(intptr_t)i);
	lab_sleep_until(AWAY_MS);
	if (lab_trouble())
		lab_store_silence();
	lab_sleep_until(RETURN_MS);
	if (lab_trouble()) {
		lab_store_return(1);
		publish(7, 2600, 1);
	}
	lab_sleep_until(WITHDRAW_MS);
	publish(9, 2600, 0);
	withdrawn_ms = lab_ms();
	lab_sleep_until(END_MS + 500);
	lab_note("%d requests with the key that stays answered with success; with "
		 "the withdrawn key %d were refused with 401, and %d ran that "
		 "were sent later than %d ms after the acknowledgement",
	    good, withdrawn_refused, withdrawn_runs, REVOKE_MS);
	if (good < 100)
		return lab_finish(2);
	return lab_finish(withdrawn_runs > 0);
}

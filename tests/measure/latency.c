#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../path/load.h"
#include "../path/std.h"
#include "base/clock.h"

/*
 * Measures what entry and exit node add to a request at a server's full
 * concurrency: the same callers, first straight to the server, then through
 * two nodes in its path.
 */

#define SLOTS 64
#define THREADS 48 /* callers at once */
#define SERVICE_US 20000
#define RUN_MS 5000
#define SAMPLES_MAX 200000
#define CONNECTIONS 300

struct sampler {
	const char *addr;
	int port;
	size_t count;
	size_t failed;
	uint32_t us[SAMPLES_MAX];
};

/*
 * Fills in the next request.
 */
static int
sample_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	const struct sampler *s = ctx;

	(void)thread;
	(void)seq;
	http_req_init(rq, "http://%s:%d/page/l", s->addr, s->port);
	http_req_header(rq, "Authorization: Bearer %s", ACME_KEY);
	return 0;
}

/*
 * Notes how long an answer took.
 */
static void
sample_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	struct sampler *s = ctx;
	size_t n;

	(void)thread;
	(void)seq;
	(void)rq;
	if (!http_is(rs, 200, NULL)) {
		__atomic_add_fetch(&s->failed, 1, __ATOMIC_RELAXED);
		return;
	}
	n = __atomic_fetch_add(&s->count, 1, __ATOMIC_RELAXED);
	if (n < SAMPLES_MAX)
		s->us[n] = (uint32_t)rs->us;
}

/*
 * Orders numbers for qsort(3).
 */
static int
by_number(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Runs the callers against one address and returns the time below which a
 * percentage of the answers came, in milliseconds, for 50 and 99.
 */
static void
sample(const char *what, const char *addr, int port, double *p50, double *p99)
{
	static struct sampler s;
	struct load l = { .threads = THREADS,
		.request = sample_request,
		.answer = sample_answer,
		.ctx = &s };
	size_t mid, high;

	memset(&s, 0, sizeof(s));
	s.addr = addr;
	s.port = port;
	load_run(&l, RUN_MS);
	if (s.count == 0)
		errx(1, "%s: no answers", what);
	if (s.count > SAMPLES_MAX)
		s.count = SAMPLES_MAX;
	qsort(s.us, s.count, sizeof(s.us[0]), by_number);
	mid = s.count / 2;
	high = s.count * 99 / 100;
	*p50 = s.us[mid] / 1000.0;
	*p99 = s.us[high] / 1000.0;
	printf("%-14s %7zu answers, %zu failed: p50 %.3f ms, p99 %.3f ms\n",
	    what, s.count, s.failed, *p50, *p99);
	fflush(stdout);
}

/*
 * Compares the two ways, the straight one before and after.
 */
int
main(void)
{
	static struct fleet f;
	struct inst_spec with = { .domain = "da",
		.service = "web",
		.slots = SLOTS,
		.connections = CONNECTIONS,
		.service_us = SERVICE_US,
		.server_args = { "--fixed", "1", "--keep-headers", "0" } };
	struct inst_spec entry = { .domain = "da" };
	json_t *conf = std_conf();
	double p50[3], p99[3];

	harness_init();
	fleet_init(&f, 0);
	fleet_add(&f, &with);
	fleet_add(&f, &entry);
	if (fleet_start(&f) == -1 || fleet_publish(&f, conf) == -1 ||
	    fleet_ready(&f, "/page/r", ACME_KEY, STD_READY_MS) == -1)
		errx(1, "the system did not start");
	json_decref(conf);
	sample("warm-up", f.list[1].addr, CALLER_PORT, &p50[0], &p99[0]);
	sample("direct", f.list[0].addr, SERVER_PORT, &p50[0], &p99[0]);
	sample("through nodes", f.list[1].addr, CALLER_PORT, &p50[1], &p99[1]);
	sample("direct again", f.list[0].addr, SERVER_PORT, &p50[2], &p99[2]);
	printf("added by entry and exit together: p50 %.3f ms, p99 %.3f ms "
	       "(%d callers, %d slots, service %d ms)\n",
	    p50[1] - (p50[0] + p50[2]) / 2, p99[1] - (p99[0] + p99[2]) / 2,
	    THREADS, SLOTS, SERVICE_US / 1000);
	printf("resident: entry %ld KiB, exit %ld KiB\n",
	    proc_rss_kb(f.list[1].node), proc_rss_kb(f.list[0].node));
	harness_finish();
	return 0;
}

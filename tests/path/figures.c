#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "figures.h"

#define BUCKET_MS FIGURES_BUCKET_MS

/*
 * Returns the share of requests begun in a time that were served whole.
 */
static double
served(const struct window *r, uint32_t from, uint32_t to, int important)
{
	const struct ol_result *x;
	size_t i, n = 0, ok = 0;

	for (i = 0; i < r->load->result_count; i++) {
		x = &r->load->results[i];
		if (x->start_ms < from || x->start_ms >= to ||
		    (important && !r->load->flows[x->flow].important))
			continue;
		n++;
		ok += x->whole;
	}
	return n == 0 ? 0 : (double)ok / (double)n;
}

/*
 * Returns the whole answers a second that came in a time.
 */
double
figures_goodput(const struct openload *l, uint32_t from, uint32_t to)
{
	const struct ol_result *x;
	size_t i, n = 0;

	for (i = 0; i < l->result_count; i++) {
		x = &l->results[i];
		n += x->whole && x->end_ms >= from && x->end_ms < to;
	}
	return (double)n * 1000.0 / (double)(to - from);
}

/*
 * Returns the time after the trigger's end from which on requests are served
 * as before it, or -1.
 */
static long
recovery(const struct window *r, double normal)
{
	uint32_t at = r->off_ms;
	long last = 0;
	int b, buckets = r->after_ms / BUCKET_MS - 1;

	for (b = 0; b < buckets; b++, at += BUCKET_MS)
		if (served(r, at, at + BUCKET_MS, 0) < 0.99 * normal)
			last = (long)(b + 1) * BUCKET_MS;
	return last == (long)buckets * BUCKET_MS ? -1 : last;
}

/*
 * Returns how the worst-served workspace fares: got of entitled, where no
 * workspace is entitled to more than its rate, nor to more than the others
 * get of what they asked for when there is not enough for all.
 */
static double
worst_workspace(const struct window *r, double rate)
{
	double asked[OL_FLOWS_MAX] = { 0 }, got[OL_FLOWS_MAX] = { 0 };
	double worst = 1, all_asked = 0, all_got = 0, fair, limit, share;
	double seconds = (double)(r->off_ms - r->on_ms) / 1000.0;
	const struct ol_result *x;
	size_t i;
	int w;

	for (i = 0; i < r->load->result_count; i++) {
		x = &r->load->results[i];
		if (x->start_ms < r->on_ms || x->start_ms >= r->off_ms)
			continue;
		w = r->load->flows[x->flow].workspace;
		asked[w]++;
		got[w] += x->whole;
	}
	for (w = 0; w < WORLD_WORKSPACES; w++) {
		limit = rate * world_share(w) * seconds;
		if (asked[w] > limit)
			asked[w] = limit;
		all_asked += asked[w];
		all_got += got[w];
	}
	fair = all_got < all_asked ? all_got / all_asked : 1;
	for (w = 0; w < WORLD_WORKSPACES; w++) {
		share = asked[w] > 0 ? got[w] / asked[w] / fair : 1;
		if (share < worst)
			worst = share;
	}
	return worst;
}

/*
 * Returns the share of requests within their workspace's rate that were
 * refused as over it.
 */
static double
wrongful(const struct window *r)
{
	const struct ol_result *x;
	size_t i, n = 0, bad = 0;

	for (i = 0; i < r->load->result_count; i++) {
		x = &r->load->results[i];
		if (r->load->flows[x->flow].noisy)
			continue;
		if (r->small_only &&
		    r->load->flows[x->flow].workspace < WORLD_WORKSPACES)
			continue;
		n++;
		bad += x->over_rate > 0;
	}
	return n == 0 ? 0 : (double)bad / (double)n;
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
 * Writes the median and the 99th percentile of served attempts before the
 * trigger, in milliseconds.
 */
static void
latency(const struct window *r, struct figures *f)
{
	uint32_t *us = calloc(r->load->result_count + 1, sizeof(*us));
	uint32_t calm_end = r->on_ms - FIGURES_ENDS_MS;
	size_t i, n = 0, mid, high;

	if (us == NULL)
		err(1, "calloc");
	for (i = 0; i < r->load->result_count; i++)
		if (r->load->results[i].whole &&
		    r->load->results[i].start_ms < calm_end &&
		    r->load->results[i].start_ms >= calm_end - FIGURES_CALM_MS)
			us[n++] = r->load->results[i].last_us;
	qsort(us, n, sizeof(*us), by_number);
	if (n > 0) {
		mid = n / 2;
		high = n * 99 / 100;
		f->p50_ms = us[mid] / 1000.0;
		f->p99_ms = us[high] / 1000.0;
	}
	free(us);
}

/*
 * Works out the figures of a run.
 */
void
figures_get(const struct window *r, struct figures *f)
{
	uint32_t calm_end = r->on_ms - FIGURES_ENDS_MS;
	double good =
	    figures_goodput(r->load, r->on_ms + FIGURES_RAMP_MS, r->off_ms);

	memset(f, 0, sizeof(*f));
	f->requests = r->load->result_count;
	f->normal = served(r, calm_end - FIGURES_CALM_MS, calm_end, 0);
	f->caught = served(r, r->on_ms - FIGURES_CALM_MS, r->on_ms, 0);
	f->goodput = good / r->capacity;
	f->reachable = good / r->reachable;
	f->important = served(r, r->on_ms, r->off_ms, 1);
	f->recovery_ms = recovery(r, f->normal);
	f->worst = worst_workspace(r, r->rate);
	f->wrongful = wrongful(r);
	latency(r, f);
}

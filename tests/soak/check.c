#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define WINDOW_MS 5000
#define RATE_WINDOW_MS 4000
#define RATE_TOLERANCE 1.5     /* times a named rate */
#define RATE_TOLERANCE_COUNT 5 /* requests */
#define RATE_TOLD_MS 500       /* after an answer that names a rate */
#define LEVEL 0.95	       /* of what was served before the faults */

/*
 * Notes a broken promise.
 */
void
wrong(const char *fmt, ...)
{
	va_list ap;

	soak.failures++;
	if (soak.failures > 20)
		return;
	printf("WRONG seed=%llu at %llu ms: ", (unsigned long long)soak.seed,
	    (unsigned long long)now_ms());
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
	fflush(stdout);
}

/*
 * Checks that a request may reach a server after what that said in its answers:
 * the requests a second that it takes, and that it leaves.
 */
void
check_arrival(struct server *s, const char *id)
{
	uint64_t now = now_ms(), from;
	uint32_t i, n = 0;

	s->arrivals[s->arrival_count++ % ARRIVALS_MAX] = now;
	if (s->told_ms != 0 && now > s->told_ms + DRAIN_MS)
		wrong("%s reached %s %llu ms after that said it leaves", id,
		    s->id, (unsigned long long)(now - s->told_ms));
	if (s->named_ms == 0 || now < s->named_ms + RATE_TOLD_MS)
		return;
	from = s->named_ms + RATE_TOLD_MS;
	if (now > RATE_WINDOW_MS && from < now - RATE_WINDOW_MS)
		from = now - RATE_WINDOW_MS;
	for (i = 0; i < ARRIVALS_MAX && i < s->arrival_count; i++)
		n += s->arrivals[i] >= from;
	if (n > s->rate * RATE_WINDOW_MS / 1000 * RATE_TOLERANCE +
		    RATE_TOLERANCE_COUNT)
		wrong("%s got %u requests in 4 s at a rate of %.1f", s->id, n,
		    s->rate);
}

/*
 * Notes that a server runs a request, or breaks its exchange off.
 */
void
check_run(const char *id, int node, uint64_t at, int broke)
{
	struct request *r;
	unsigned long i;
	char *end;

	if (id[0] != 'r') {
		wrong("a server runs what nobody sent: %s", id);
		return;
	}
	i = strtoul(id + 1, &end, 10);
	if (*end != '\0')
		return; /* a call */
	if (i >= soak.request_count) {
		wrong("a server runs what nobody sent: %s", id);
		return;
	}
	r = &soak.requests[i];
	if (broke) {
		r->broke = 1;
		return;
	}
	if (!is_front(node))
		wrong("r%lu ran at the wrong service", i);
	if (++r->runs > 1 && r->once)
		wrong("r%lu ran %u times", i, r->runs);
	r->ran_ms = (uint32_t)at;
	if (r->ended == 1 && (r->status == 503 || r->status == 429) && r->once)
		wrong("r%lu ran after it was refused", i);
	if (r->ws == WS_OLD && soak.store.revoked_ms != 0 &&
	    r->sent_ms > soak.store.revoked_ms + REVOKE_MS)
		wrong("r%lu ran %llu ms after its key was withdrawn", i,
		    (unsigned long long)(r->sent_ms - soak.store.revoked_ms));
}

/*
 * Checks a workspace's runs in all windows against its limit.
 */
static void
check_rate(int small, uint32_t rate)
{
	static uint32_t per_ms[RUN_MS + WINDOW_MS];
	uint32_t sum = 0, worst = 0, i, most;

	memset(per_ms, 0, sizeof(per_ms));
	for (i = 0; i < soak.request_count; i++)
		if (soak.requests[i].runs > 0 &&
		    (soak.requests[i].ws != WS_BIG) == small &&
		    soak.requests[i].ran_ms < RUN_MS)
			per_ms[soak.requests[i].ran_ms]++;
	for (i = 0; i < RUN_MS; i++) {
		sum += per_ms[i];
		if (i >= WINDOW_MS)
			sum -= per_ms[i - WINDOW_MS];
		if (sum > worst)
			worst = sum;
	}
	most = (uint32_t)((rate * WINDOW_MS / 1000.0 + rate) * 1.1 + 20);
	note("rate %u: worst window %u of %u", rate, worst, most);
	if (worst > most)
		wrong("%u runs in 5 s at a rate of %u", worst, rate);
}

/*
 * Returns which share of the big workspace's requests was served in a span.
 */
static double
served(uint32_t from, uint32_t to)
{
	uint32_t all = 0, ok = 0, i;
	const struct request *r;

	for (i = 0; i < soak.request_count; i++) {
		r = &soak.requests[i];
		if (r->sent_ms < from || r->sent_ms >= to || r->ws != WS_BIG)
			continue;
		all++;
		ok += r->ended == 1 && r->status == 200;
	}
	return all > 0 ? (double)ok / all : 0;
}

/*
 * Checks what only shows in the end.
 */
void
check_all(void)
{
	double before = served(2000, FAULTS_FROM_MS);
	double during = served(FAULTS_FROM_MS, CALM_MS);
	double after = served(CALM_MS, RUN_MS - 1200);

	note("served before %.3f, during %.3f, after %.3f", before, during,
	    after);
	check_rate(0, RATE_BIG);
	check_rate(1, RATE_SMALL);
	if (before < 0.98)
		wrong("only %.3f served before any fault", before);
	if (after < LEVEL * before)
		wrong("only %.3f served after the faults (%.3f before)", after,
		    before);
}

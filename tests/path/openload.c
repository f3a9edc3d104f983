#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "../standin/content.h"
#include "base/clock.h"
#include "openload.h"

#define CALLS_MAX 2500 /* of one thread at once */
#define WHEEL_SLOTS 512
#define WHEEL_MS 4
#define POLL_MAX_MS 4
#define CONNECTIONS_MAX 4000L

struct call {
	struct call *next;
	CURL *curl;
	struct curl_slist *headers;
	uint64_t start; /* us, of the request */
	uint64_t sent;	/* us, of the attempt */
	uint64_t id;
	size_t got;
	int inst; /* the node of the last attempt */
	struct ol_result r;
	struct openload *load;
	int refused; /* the attempt was refused as not run */
	int over;
};

struct ol_thread {
	struct openload *load;
	int number;
	uint64_t random;
	CURLM *multi;
	struct call *free;
	struct call *wheel[WHEEL_SLOTS];
	uint64_t wheel_at;
	uint64_t due[OL_FLOWS_MAX]; /* us, of paced flows */
	size_t active;
	struct ol_result *results;
	size_t count;
	size_t cap;
};

static void *thread_loop(void *);
static void arrive(struct ol_thread *);
static double flow_rate(const struct ol_flow *, double);
static void attempt(struct ol_thread *, struct call *);
static void attempt_ended(struct ol_thread *, struct call *, CURLcode);
static void call_end(struct ol_thread *, struct call *, int);
static double draw(struct ol_thread *);

static const char *const reasons[OL_REASONS] = { "overload",
	"limits-unavailable", "ids-unavailable", "over-rate", "no-server",
	"deadline", "draining", "quarantined", "duplicate", "server-failed",
	"retry-bound", "" };

/*
 * Makes a load without flows.
 */
void
openload_init(struct openload *l, struct fleet *f)
{
	memset(l, 0, sizeof(*l));
	l->fleet = f;
	l->threads = 3;
	l->attempts = OL_ATTEMPTS_MAX;
	l->retry_ms = 60;
	l->timeout_ms = 4000;
	l->patience_ms = 6000;
	l->factor = 1.0;
}

/*
 * Frees what a load holds.
 */
void
openload_finish(struct openload *l)
{
	free(l->results);
	l->results = NULL;
}

/*
 * Returns milliseconds since the load began.
 */
uint32_t
openload_now(const struct openload *l)
{
	return (uint32_t)((clock_us() - l->began) / 1000);
}

/*
 * Changes the factor of the flows that surge.
 */
void
openload_factor(struct openload *l, double factor)
{
	__atomic_store(&l->factor, &factor, __ATOMIC_RELEASE);
}

/*
 * Draws a number from 0 to 1.
 */
static double
draw(struct ol_thread *t)
{
	t->random = content_mix(t->random);
	return (double)(t->random >> 11) / 9007199254740992.0;
}

/*
 * Counts the bytes of an answer.
 */
static size_t
on_body(char *p, size_t size, size_t n, void *ctx)
{
	struct call *c = ctx;

	(void)p;
	c->got += size * n;
	return size * n;
}

/*
 * Counts a reason for a refusal; the last row takes all others.
 */
static void
reason_count(struct openload *l, const char *word)
{
	size_t i;

	for (i = 0; i < OL_REASONS - 1; i++)
		if (strncmp(word, reasons[i], strlen(reasons[i])) == 0)
			break;
	__atomic_add_fetch(&l->reasons[i], 1, __ATOMIC_RELAXED);
}

/*
 * Returns the name of a reason, "" for the rest.
 */
const char *
openload_reason(size_t i)
{
	return reasons[i];
}

/*
 * Notes why an attempt was refused.
 */
static size_t
on_header(char *p, size_t size, size_t n, void *ctx)
{
	static const char not_run[] = "Cyclamen-Outcome: not-run";
	static const char reason[] = "Cyclamen-Reason: ";
	static const char over[] = "Cyclamen-Reason: over-rate";
	struct call *c = ctx;
	size_t len = size * n;

	if (len >= sizeof(not_run) - 1 &&
	    strncasecmp(p, not_run, sizeof(not_run) - 1) == 0)
		c->refused = 1;
	if (len >= sizeof(over) - 1 &&
	    strncasecmp(p, over, sizeof(over) - 1) == 0)
		c->over = 1;
	if (len >= sizeof(reason) - 1 &&
	    strncasecmp(p, reason, sizeof(reason) - 1) == 0)
		reason_count(c->load, p + sizeof(reason) - 1);
	return len;
}

/*
 * Sends one attempt of a request to a random node, or to that of the first
 * one where callers stay.
 */
static void
attempt(struct ol_thread *t, struct call *c)
{
	struct openload *l = t->load;
	const struct ol_flow *f = &l->flows[c->r.flow];
	char url[256], line[128];

	if (c->r.attempts == 0 || !l->stays)
		c->inst = (int)(draw(t) * l->fleet->count);
	curl_slist_free_all(c->headers);
	c->headers = NULL;
	snprintf(url, sizeof(url), "http://%s:%d%s",
	    l->fleet->list[c->inst].addr, CALLER_PORT, f->path);
	snprintf(line, sizeof(line), "Authorization: Bearer %s", f->key);
	c->headers = curl_slist_append(c->headers, line);
	curl_easy_reset(c->curl);
	if (f->order) {
		snprintf(line, sizeof(line), "Idempotency-Key: %016llx",
		    (unsigned long long)c->id);
		c->headers = curl_slist_append(c->headers, line);
		c->headers = curl_slist_append(c->headers, "Expect:");
		curl_easy_setopt(c->curl, CURLOPT_POSTFIELDS, "{}");
	}
	curl_easy_setopt(c->curl, CURLOPT_URL, url);
	curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(c->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->curl, CURLOPT_TIMEOUT_MS, l->timeout_ms);
	curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->curl, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->curl, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(c->curl, CURLOPT_PRIVATE, c);
	c->got = 0;
	c->refused = c->over = 0;
	c->r.attempts++;
	c->sent = clock_us();
	curl_multi_add_handle(t->multi, c->curl);
}

/*
 * Begins one request of a flow picked by the rates.
 */
static void
begin(struct ol_thread *t, size_t flow)
{
	struct openload *l = t->load;
	struct call *c = t->free;

	if (t->active >= CALLS_MAX) {
		__atomic_add_fetch(&l->dropped, 1, __ATOMIC_RELAXED);
		return;
	}
	if (c != NULL)
		t->free = c->next;
	else if ((c = calloc(1, sizeof(*c))) == NULL ||
		 (c->curl = curl_easy_init()) == NULL)
		abort();
	memset(&c->r, 0, sizeof(c->r));
	c->load = l;
	c->r.flow = (uint16_t)flow;
	c->start = clock_us();
	c->r.start_ms = (uint32_t)((c->start - l->began) / 1000);
	c->id = rand_u64();
	t->active++;
	attempt(t, c);
}

/*
 * Begins the next request.
 */
static void
arrive(struct ol_thread *t)
{
	struct openload *l = t->load;
	double factor, sum = 0, at;
	size_t i;

	__atomic_load(&l->factor, &factor, __ATOMIC_ACQUIRE);
	for (i = 0; i < l->flow_count; i++)
		sum += flow_rate(&l->flows[i], factor);
	at = draw(t) * sum;
	for (i = 0; i + 1 < l->flow_count; i++) {
		at -= flow_rate(&l->flows[i], factor);
		if (at < 0)
			break;
	}
	begin(t, i);
}

/*
 * Begins the requests of paced flows that are due.
 */
static void
arrive_paced(struct ol_thread *t, uint64_t now)
{
	struct openload *l = t->load;
	size_t i;

	for (i = 0; i < l->flow_count; i++) {
		if (!l->flows[i].paced)
			continue;
		if (t->due[i] == 0)
			t->due[i] =
			    now + (uint64_t)(draw(t) * 1e6 / l->flows[i].rate);
		if (t->due[i] > now)
			continue;
		t->due[i] += (uint64_t)(1e6 / l->flows[i].rate);
		begin(t, i);
	}
}

/*
 * Returns the rate at which a flow begins at random times, at a load factor.
 */
static double
flow_rate(const struct ol_flow *f, double factor)
{
	if (f->paced)
		return 0;
	return f->rate * (f->surges ? factor : 1);
}

/*
 * Returns the requests a second that one thread begins now.
 */
static double
arrival_rate(const struct openload *l)
{
	double factor, sum = 0;
	size_t i;

	__atomic_load(&l->factor, &factor, __ATOMIC_ACQUIRE);
	for (i = 0; i < l->flow_count; i++)
		sum += flow_rate(&l->flows[i], factor);
	return sum / l->threads;
}

/*
 * Notes what became of a request.
 */
static void
call_end(struct ol_thread *t, struct call *c, int whole)
{
	uint64_t now = clock_us();

	c->r.whole = (uint8_t)whole;
	c->r.end_ms = (uint32_t)((now - t->load->began) / 1000);
	c->r.last_us = (uint32_t)(now - c->sent);
	if (t->count == t->cap) {
		t->cap = t->cap == 0 ? 8192 : t->cap * 2;
		t->results = realloc(t->results, t->cap * sizeof(c->r));
		if (t->results == NULL)
			abort();
	}
	t->results[t->count++] = c->r;
	t->active--;
	c->next = t->free;
	t->free = c;
}

/*
 * Takes the end of an attempt: the request is served, sent again after a
 * short time, or given up.
 */
static void
attempt_ended(struct ol_thread *t, struct call *c, CURLcode code)
{
	struct openload *l = t->load;
	uint64_t now = clock_us(), wait_ms;
	long status = 0;
	size_t slot;

	curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(t->multi, c->curl);
	if (c->refused)
		c->r.not_run++;
	if (c->over)
		c->r.over_rate++;
	if (code == CURLE_OK && status == 200) {
		call_end(t, c, 1);
		return;
	}
	wait_ms = (uint64_t)(l->retry_ms * (0.5 + draw(t)));
	if (c->r.attempts >= l->attempts ||
	    now + wait_ms * 1000 - c->start > l->patience_ms * 1000 ||
	    __atomic_load_n(&l->stop, __ATOMIC_ACQUIRE)) {
		call_end(t, c, 0);
		return;
	}
	slot = (now / 1000 + wait_ms) / WHEEL_MS % WHEEL_SLOTS;
	c->next = t->wheel[slot];
	t->wheel[slot] = c;
}

/*
 * Sends again what is due.
 */
static void
turn_wheel(struct ol_thread *t)
{
	uint64_t now = clock_ms() / WHEEL_MS;
	struct call *c, *next;

	for (; t->wheel_at < now; t->wheel_at++) {
		c = t->wheel[t->wheel_at % WHEEL_SLOTS];
		t->wheel[t->wheel_at % WHEEL_SLOTS] = NULL;
		for (; c != NULL; c = next) {
			next = c->next;
			attempt(t, c);
		}
	}
}

/*
 * Takes all attempts that have ended.
 */
static void
collect(struct ol_thread *t)
{
	struct call *c;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(t->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    msg->easy_handle, CURLINFO_PRIVATE, (char **)&c);
		attempt_ended(t, c, msg->data.result);
	}
}

/*
 * Returns how long to wait for answers before the next request is due.
 */
static int
poll_ms(uint64_t now, uint64_t next)
{
	uint64_t ms = next > now ? (next - now) / 1000 : 0;

	return ms < 1 ? 1 : ms > POLL_MAX_MS ? POLL_MAX_MS : (int)ms;
}

/*
 * Begins requests at exponential intervals and sees to the ones in flight,
 * until told to stop and all have ended.
 */
static void *
thread_loop(void *arg)
{
	struct ol_thread *t = arg;
	struct openload *l = t->load;
	uint64_t next = clock_us(), now;
	int running;

	t->wheel_at = clock_ms() / WHEEL_MS;
	while (!__atomic_load_n(&l->stop, __ATOMIC_ACQUIRE) || t->active > 0) {
		now = clock_us();
		while (next <= now &&
		       !__atomic_load_n(&l->stop, __ATOMIC_ACQUIRE)) {
			if (arrival_rate(l) > 0)
				arrive(t);
			next += (uint64_t)(-log(1.0 - draw(t)) * 1e6 /
					   (arrival_rate(l) + 1e-3));
		}
		if (t->number == 0 &&
		    !__atomic_load_n(&l->stop, __ATOMIC_ACQUIRE))
			arrive_paced(t, now);
		turn_wheel(t);
		curl_multi_perform(t->multi, &running);
		collect(t);
		now = clock_us();
		curl_multi_poll(t->multi, NULL, 0, poll_ms(now, next), NULL);
	}
	return NULL;
}

/*
 * Starts the load.
 */
void
openload_start(struct openload *l)
{
	struct ol_thread *t;
	int i;

	l->began = clock_us();
	for (i = 0; i < l->threads; i++) {
		if ((t = calloc(1, sizeof(*t))) == NULL)
			abort();
		t->load = l;
		t->number = i;
		t->random = l->seed * 1000 + (uint64_t)i;
		t->multi = curl_multi_init();
		curl_multi_setopt(
		    t->multi, CURLMOPT_MAXCONNECTS, CONNECTIONS_MAX);
		l->list[i] = t;
		if (pthread_create(&l->ids[i], NULL, thread_loop, t) != 0)
			abort();
	}
}

/*
 * Frees the calls of a list.
 */
static void
calls_free(struct call *c)
{
	struct call *next;

	for (; c != NULL; c = next) {
		next = c->next;
		curl_slist_free_all(c->headers);
		curl_easy_cleanup(c->curl);
		free(c);
	}
}

/*
 * Ends the load, waits for the requests in flight and gathers the results.
 */
void
openload_stop(struct openload *l)
{
	struct ol_thread *t;
	size_t n = 0;
	int i;

	__atomic_store_n(&l->stop, 1, __ATOMIC_RELEASE);
	for (i = 0; i < l->threads; i++) {
		pthread_join(l->ids[i], NULL);
		n += l->list[i]->count;
	}
	if ((l->results = calloc(n + 1, sizeof(*l->results))) == NULL)
		abort();
	for (i = 0; i < l->threads; i++) {
		t = l->list[i];
		if (t->count > 0)
			memcpy(l->results + l->result_count, t->results,
			    t->count * sizeof(*t->results));
		l->result_count += t->count;
		calls_free(t->free);
		curl_multi_cleanup(t->multi);
		free(t->results);
		free(t);
	}
}

#include <stdlib.h>
#include <unistd.h>

#include "base/clock.h"
#include "load.h"

#define STOP_CHECK_US 20000

struct thread_arg {
	struct load *load;
	int number;
};

static void *load_loop(void *);
static void pace(struct load *, uint64_t);

/*
 * Sleeps until a time, but not past the order to stop.
 */
static void
pace(struct load *l, uint64_t until)
{
	uint64_t now;

	while ((now = clock_us()) < until &&
	       !__atomic_load_n(&l->stop, __ATOMIC_ACQUIRE))
		usleep(
		    (useconds_t)(until - now < STOP_CHECK_US ? until - now
							     : STOP_CHECK_US));
}

/*
 * One caller: keeps one connection and sends one request after the other.
 */
static void *
load_loop(void *arg)
{
	struct thread_arg *ta = arg;
	struct load *l = ta->load;
	CURL *h = curl_easy_init();
	struct http_req rq;
	struct http_res rs;
	uint64_t next = clock_us(), begun, seq;

	for (seq = 0; !__atomic_load_n(&l->stop, __ATOMIC_ACQUIRE); seq++) {
		http_req_init(&rq, "%s", "");
		if (l->request(l->ctx, ta->number, seq, &rq) == -1)
			break;
		begun = clock_us();
		http_call(h, &rq, &rs);
		__atomic_add_fetch(&l->sent, 1, __ATOMIC_RELAXED);
		if (l->answer != NULL)
			l->answer(l->ctx, ta->number, seq, &rq, &rs);
		http_res_finish(&rs);
		next += l->interval_us;
		if (l->spaced && next < begun + l->interval_us)
			next = begun + l->interval_us;
		if (l->interval_us > 0)
			pace(l, next);
	}
	curl_easy_cleanup(h);
	free(ta);
	return NULL;
}

/*
 * Starts all callers.  Returns 0, or -1.
 */
int
load_start(struct load *l)
{
	struct thread_arg *ta;
	int i;

	l->stop = 0;
	l->sent = 0;
	for (i = 0; i < l->threads; i++) {
		if ((ta = malloc(sizeof(*ta))) == NULL)
			return -1;
		ta->load = l;
		ta->number = i;
		if (pthread_create(&l->ids[i], NULL, load_loop, ta) != 0) {
			free(ta);
			l->threads = i;
			return -1;
		}
	}
	return 0;
}

/*
 * Tells all callers to stop and waits until each has its last answer.
 */
void
load_stop(struct load *l)
{
	int i;

	__atomic_store_n(&l->stop, 1, __ATOMIC_RELEASE);
	for (i = 0; i < l->threads; i++)
		pthread_join(l->ids[i], NULL);
}

/*
 * Runs the callers for a time, or until they all end by themselves when
 * `ms` is 0.
 */
void
load_run(struct load *l, int ms)
{
	int i;

	if (load_start(l) == -1)
		return;
	if (ms > 0) {
		usleep((useconds_t)ms * 1000);
		load_stop(l);
		return;
	}
	for (i = 0; i < l->threads; i++)
		pthread_join(l->ids[i], NULL);
}

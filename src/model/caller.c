#include <math.h>

#include "model/world.h"

#define AFTER_FAILURE_MS 50 /* before a caller repeats what failed */
#define LEFT_SHARE 3.0	    /* of the time left, that Retry-After may take */
#define LEFT_MIN_US 20000   /* less is not worth another attempt */
#define ABUSE_SALT 7	    /* which callers repeat at once */

static double hot(const struct world *);
static int pick_space(struct world *);
static void begin(
    struct world *, const struct request *, uint64_t, uint32_t, uint32_t);
static void count_end(
    struct world *, const struct request *, enum verdict, struct model_count *);
static int is_beyond(struct world *, int);

/*
 * Returns how many times the usual number of requests come since some
 * workspace sends more than usual.
 */
static double
hot(const struct world *w)
{
	const struct model_space *s;
	double usual = 0, sum = 0;
	uint32_t i;

	for (i = 0; i < w->load->space_count; i++) {
		s = &w->load->spaces[i];
		usual += s->share;
		sum += s->share * trouble(w, TROUBLE_HOT, (int)i, -1);
	}
	return usual > 0 ? sum / usual : 1;
}

/*
 * Draws a workspace by its share of the requests.
 */
static int
pick_space(struct world *w)
{
	double sum = 0, at;
	uint32_t i;

	if (w->load->space_count == 0)
		return -1;
	for (i = 0; i < w->load->space_count; i++)
		sum += w->load->spaces[i].share *
		       trouble(w, TROUBLE_HOT, (int)i, -1);
	at = draw(w) * sum;
	for (i = 0; i + 1 < w->load->space_count; i++) {
		at -= w->load->spaces[i].share *
		      trouble(w, TROUBLE_HOT, (int)i, -1);
		if (at < 0)
			break;
	}
	return (int)i;
}

/*
 * Tells whether a new request is more than its workspace's rate and burst
 * allow, whatever the nodes make of it.
 */
static int
is_beyond(struct world *w, int space)
{
	const struct model_space *s;
	double passed = (double)(w->now_us - w->allowed_us) / US_PER_S;
	uint32_t i;

	for (i = 0; i < w->load->space_count; i++) {
		s = &w->load->spaces[i];
		w->allowed[i] =
		    fmin(s->burst, w->allowed[i] + passed * s->rate);
	}
	w->allowed_us = w->now_us;
	if (space < 0 || w->load->spaces[space].rate <= 0)
		return 0;
	if (w->allowed[space] < 1)
		return 1;
	w->allowed[space]--;
	return 0;
}

/*
 * Sends an attempt like an earlier one to a node, so much later.
 */
static void
begin(struct world *w, const struct request *like, uint64_t in_us,
    uint32_t again, uint32_t rude)
{
	struct request *q;
	uint64_t first = like->first_us, due = like->due_us;
	int kind = like->kind, space = like->space, entry = like->entry;
	int beyond = like->beyond;
	handle h;

	q = request_new(w, &h);
	q->kind = kind;
	q->space = space;
	q->entry = entry;
	q->first_us = first;
	q->due_us = due;
	q->beyond = beyond;
	q->class = w->load->kinds[kind].class;
	q->root_hash = (uint64_t)g_rand_int(w->rnd) << 32 | g_rand_int(w->rnd);
	q->again = again;
	q->rude = rude;
	queue_add(w, in_us + w->load->caller_us, EVENT_TAKE, h, 0);
}

/*
 * A caller asks for something new, and another one will later.
 */
void
caller_ask(struct world *w, int kind)
{
	const struct model_kind *k = &w->load->kinds[kind];
	struct request q = { .kind = kind };
	struct model_second *s;
	double per_s, abuse;

	if ((double)w->now_us / US_PER_S >= w->load->seconds)
		return;
	per_s = k->per_s * trouble(w, TROUBLE_SURGE, 0, -1) * hot(w);
	queue_add(w, (uint64_t)(-log(1 - draw(w)) / per_s * US_PER_S),
	    EVENT_ASK, 0, kind);
	q.space = pick_space(w);
	q.beyond = is_beyond(w, q.space);
	do
		q.entry = g_rand_int_range(w->rnd, 0, (gint)w->node_count);
	while (w->nodes[q.entry].down);
	q.first_us = w->now_us;
	q.due_us = w->now_us + k->deadline_ms * US_PER_MS;
	abuse = trouble(w, TROUBLE_ABUSE, 0, -1);
	w->res->all.asked++;
	w->res->kinds[kind].asked++;
	if (q.space >= 0)
		w->res->spaces[q.space].asked++;
	s = second_of(w, q.first_us);
	if (s != NULL)
		s->all.asked++;
	begin(w, &q, 0, k->retries + (abuse > 1 ? (uint32_t)abuse : 0),
	    abuse > 1 ? (uint32_t)abuse : 0);
}

/*
 * Counts how a request ended for good.  What is over its workspace's rate is
 * not due.
 */
static void
count_end(struct world *w, const struct request *q, enum verdict how,
    struct model_count *c)
{
	const struct model_kind *k = &w->load->kinds[q->kind];
	uint64_t took = w->now_us + w->load->caller_us - q->first_us;

	if (!q->beyond)
		c->due += k->worth;
	if (q->beyond && how != VERDICT_SERVED) {
		c->over_rate++;
		return;
	}
	if (how != VERDICT_SERVED || w->now_us > q->due_us) {
		c->refused +=
		    how == VERDICT_OVERLOADED || how == VERDICT_REJECTED;
		c->failed +=
		    how != VERDICT_OVERLOADED && how != VERDICT_REJECTED;
		return;
	}
	if (took <= k->target_ms * US_PER_MS) {
		c->in_time++;
		c->credit += k->worth;
	} else {
		c->late++;
		c->credit += k->late_worth;
	}
}

/*
 * A caller gets its answer: it is content, comes back, or gives up.
 */
void
caller_answered(struct world *w, struct request *q, enum verdict how,
    enum retry_after_reason why)
{
	const struct model_kind *k = &w->load->kinds[q->kind];
	uint64_t left = q->due_us > w->now_us ? q->due_us - w->now_us : 0, in;
	int refused = how == VERDICT_OVERLOADED || how == VERDICT_REJECTED;
	struct model_second *s;

	if (how != VERDICT_SERVED)
		w->res->wasted_s += q->spent_us / US_PER_S;
	if (how != VERDICT_SERVED && q->again > 0 && left > LEFT_MIN_US &&
	    (refused || k->idempotent)) {
		in = refused ? retry_after_delay_ms(
				   why, k->target_ms, g_rand_int(w->rnd))
			     : AFTER_FAILURE_MS;
		in *= US_PER_MS;
		in = (uint64_t)fmin((double)in, (double)left / LEFT_SHARE);
		if (q->rude > 0)
			in = 0;
		begin(w, q, in, q->again - 1, q->rude > 0 ? q->rude - 1 : 0);
		return;
	}
	count_end(w, q, how, &w->res->all);
	count_end(w, q, how, &w->res->kinds[q->kind]);
	if (q->space >= 0)
		count_end(w, q, how, &w->res->spaces[q->space]);
	s = second_of(w, q->first_us);
	if (s != NULL)
		count_end(w, q, how, &s->all);
}

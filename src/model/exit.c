#include <string.h>

#include "model/world.h"

#define REFUSE_MS 1 /* that a server takes to refuse a request */

static void answer(struct world *, struct request *, enum verdict);
static void run_begin(struct world *, struct request *);
static void run_end(struct world *, struct request *, enum verdict);
static void run_next(struct world *, struct request *);
static void call(struct world *, struct request *, int);
static void next_waiting(struct world *, struct node *);
static void shed(struct world *, struct node *);

/*
 * Answers the entry.
 */
static void
answer(struct world *w, struct request *q, enum verdict how)
{
	q->verdict = how;
	queue_add(w, hop_us(w, q->exit, q->entry), EVENT_ANSWER,
	    request_handle(q, w), 0);
}

/*
 * Notes a refusal in the measured load.
 */
static void
shed(struct world *w, struct node *n)
{
	loads_measure(w, n);
	n->shed_per_s += 1;
}

/*
 * A request has come to an exit.
 */
void
exit_take(struct world *w, struct request *q)
{
	struct node *n = &w->nodes[q->exit];
	const struct request *run = request_get(w, q->parent);
	struct admission_req req;
	struct admission_waiter *out;

	if (q->entry_over) {
		q->at_exit = 0;
		request_settle(w, q);
		return;
	}
	if (n->down) {
		answer(w, q, VERDICT_UNAVAILABLE);
		return;
	}
	if (q->parent != 0 && (run == NULL || !run->running)) {
		answer(w, q, VERDICT_LATE); /* nobody waits for it any more */
		return;
	}
	memset(&req, 0, sizeof(req));
	req.class = q->class;
	if (q->parent != 0 && !w->load->policies.chains)
		req.class = ADMISSION_CRITICAL;
	req.depth = q->parent != 0;
	req.root_hash = q->root_hash;
	if (!w->load->policies.chains)
		req.root_hash = g_rand_int(w->rnd);
	req.deadline_us = q->end_us;
	loads_measure(w, n);
	switch (core_offer(&n->core, &req, &q->waiter, &out, w->now_us)) {
	case ADMISSION_RUN:
		run_begin(w, q);
		break;
	case ADMISSION_WAIT:
		q->waiting = 1;
		break;
	default:
		shed(w, n);
		answer(w, q, VERDICT_OVERLOADED);
	}
	if (out == NULL)
		return;
	shed(w, n);
	((struct request *)out)->waiting = 0;
	answer(w, (struct request *)out, VERDICT_OVERLOADED);
}

/*
 * A request gets a slot.
 */
static void
run_begin(struct world *w, struct request *q)
{
	const struct model_kind *k = &w->load->kinds[q->kind];
	struct node *n = &w->nodes[q->exit];
	double ms = k->work_ms * (1 + k->spread * (2 * draw(w) - 1)) * n->speed;

	q->waiting = 0;
	q->running = 1;
	q->run_us = w->now_us;
	profile_set_run_started(&n->profiles, kind_route(q->kind));
	ms *= trouble(w, TROUBLE_SLOW, n->service, n->index);
	q->verdict = VERDICT_SERVED;
	if (draw(w) < trouble(w, TROUBLE_SHED, n->service, n->index)) {
		q->verdict = VERDICT_REJECTED;
		ms = REFUSE_MS;
	}
	queue_add(w, (uint64_t)(ms * US_PER_MS), EVENT_WORKED,
	    request_handle(q, w), 0);
}

/*
 * Frees the slot of a run and answers.  Calls that it still waits for go on
 * for nothing.
 */
static void
run_end(struct world *w, struct request *q, enum verdict how)
{
	static const enum admission_outcome outcomes[] = {
		[VERDICT_SERVED] = ADMISSION_SERVED,
		[VERDICT_FAILED] = ADMISSION_FAILED,
		[VERDICT_REJECTED] = ADMISSION_REJECTED,
		[VERDICT_OVERLOADED] = ADMISSION_FAILED,
		[VERDICT_UNAVAILABLE] = ADMISSION_FAILED,
		[VERDICT_LATE] = ADMISSION_CANCELLED,
	};
	struct node *n = &w->nodes[q->exit];
	double took = (double)(w->now_us - q->run_us);

	loads_measure(w, n);
	q->running = 0;
	q->spent_us += took;
	w->res->work_s += took / US_PER_S;
	profile_set_run_ended(&n->profiles, kind_route(q->kind));
	if (how == VERDICT_SERVED || (how != VERDICT_LATE && !q->call_failed))
		choice_record_attempt(
		    &n->health, how != VERDICT_SERVED, now_ms(w));
	core_release(
	    &n->core, &q->waiter, outcomes[how], (uint64_t)took, w->now_us);
	answer(w, q, how);
	next_waiting(w, n);
}

/*
 * Makes a call for a run.
 */
static void
call(struct world *w, struct request *run, int kind)
{
	handle parent = request_handle(run, w), h;
	struct request *q = request_new(w, &h);
	const struct model_kind *k = &w->load->kinds[kind];
	uint64_t due = w->now_us + k->deadline_ms * US_PER_MS;

	run->out++;
	q->kind = kind;
	q->space = -1;
	q->entry = run->exit;
	q->parent = parent;
	q->class = run->class;
	q->root_hash = run->root_hash;
	q->first_us = w->now_us;
	q->due_us = due < run->end_us ? due : run->end_us;
	queue_add(w, 0, EVENT_TAKE, h, 0);
}

/*
 * Makes the next calls of a run, or ends it.
 */
static void
run_next(struct world *w, struct request *q)
{
	const struct model_kind *k = &w->load->kinds[q->kind];
	const struct model_call *c;
	uint32_t i;

	if (q->next_call == k->call_count) {
		run_end(w, q, VERDICT_SERVED);
		return;
	}
	c = &k->calls[q->next_call];
	if (c->together) {
		q->next_call++;
		for (i = 0; i < c->times; i++)
			call(w, q, c->kind);
		return;
	}
	if (++q->next_time == c->times) {
		q->next_time = 0;
		q->next_call++;
	}
	call(w, q, c->kind);
}

/*
 * A run has done its own work.
 */
void
exit_worked(struct world *w, struct request *q)
{
	if (q->verdict == VERDICT_REJECTED)
		run_end(w, q, VERDICT_REJECTED);
	else
		run_next(w, q);
}

/*
 * A call of a run has ended.  The run fails with the first that fails.
 */
void
exit_call_ended(struct world *w, struct request *q, int served, double spent)
{
	q->spent_us += spent;
	if (!q->running)
		return;
	q->out--;
	if (!served) {
		q->call_failed = w->load->policies.chains;
		run_end(w, q, VERDICT_FAILED);
	} else if (q->out == 0) {
		run_next(w, q);
	}
}

/*
 * The entry has given a request up.
 */
void
exit_cancel(struct world *w, struct request *q)
{
	struct node *n = &w->nodes[q->exit];

	if (!q->at_exit)
		return;
	if (q->waiting) {
		core_expire(&n->core, &q->waiter);
		q->waiting = 0;
		answer(w, q, VERDICT_LATE);
	} else if (q->running) {
		run_end(w, q, VERDICT_LATE);
	}
}

/*
 * Lets requests run for which there is a slot now.
 */
static void
next_waiting(struct world *w, struct node *n)
{
	struct admission_waiter *a;
	struct request *q;

	loads_measure(w, n);
	while ((a = core_next(&n->core, w->now_us)) != NULL) {
		q = (struct request *)a;
		if (a->verdict == ADMISSION_RUN) {
			run_begin(w, q);
			continue;
		}
		q->waiting = 0;
		shed(w, n);
		answer(w, q, VERDICT_OVERLOADED);
	}
}

/*
 * A server and its node go down with all that is there.
 */
void
exit_down(struct world *w, struct node *n)
{
	struct admission_waiter *a;
	struct request *q;
	uint32_t i;

	n->down = 1;
	while ((a = core_refuse_next(&n->core, ADMISSION_STOPPING)) != NULL) {
		((struct request *)a)->waiting = 0;
		answer(w, (struct request *)a, VERDICT_UNAVAILABLE);
	}
	for (i = 0; i < w->request_count; i++) {
		q = w->requests[i];
		if (q->running && &w->nodes[q->exit] == n)
			run_end(w, q, VERDICT_FAILED);
	}
}

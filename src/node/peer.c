#include <err.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "node/node.h"

/*
 * Gives a peer the version in force.
 */
static void
serve_config(struct node *n, struct request *r)
{
	char *text = config_service_snapshot(&n->config);
	struct answer a;
	struct answer_sink s;
	struct head *h = malloc(sizeof(*h));

	if (h == NULL)
		err(1, "serve_config");
	if (text == NULL) {
		answer_refuse(
		    r, OUTCOME_NOT_RUN, REASON_NO_CONFIG, NULL, 0, NULL);
		free(h);
		return;
	}
	head_init(h, 200);
	h->length = (int64_t)strlen(text);
	head_add(h, "Content-Type", "application/json");
	answer_init(&a, r);
	answer_sink(&a, &s);
	if (s.head(s.ctx, h) == 0 && s.body(s.ctx, text, strlen(text)) == 0)
		answer_end(&a);
	answer_finish(&a);
	free(text);
	free(h);
}

/*
 * Runs a forwarded request and answers the entry.
 */
static void
serve_forwarded(struct node *n, struct request *r, const struct context *cx)
{
	struct answer *a = malloc(sizeof(*a));
	struct head *more = malloc(sizeof(*more));
	struct answer_sink sink;
	struct verdict v;

	if (a == NULL || more == NULL)
		err(1, "serve_forwarded");
	answer_init(a, r);
	answer_sink(a, &sink);
	exit_run(n, cx, r, &sink, &v);
	if (v.outcome == OUTCOME_DONE) {
		answer_end(a);
	} else if (a->started) {
		answer_break(a);
	} else {
		head_init(more, 0);
		head_addf(more, "Cyclamen-Attempt", "%016" PRIx64, cx->attempt);
		verdict_add(&v, more);
		answer_refuse(r, v.outcome, v.reason, NULL, 0, more);
	}
	answer_finish(a);
	free(a);
	free(more);
}

/*
 * Serves the peer port: only requests that a peer proves to have made.
 */
void
peer_serve(struct node *n, struct request *r)
{
	struct context cx;

	if (r->context == NULL || r->mac == NULL ||
	    !context_mac_good(
		n->key, r->method, r->target, r->context, r->mac)) {
		answer_refuse(r, OUTCOME_NOT_RUN, REASON_BAD_REQUEST,
		    "not a peer of this fleet", 0, NULL);
		return;
	}
	if (strcmp(r->target, CONFIG_TARGET) == 0) {
		serve_config(n, r);
		return;
	}
	if (context_parse(&cx, r->context) == -1) {
		answer_refuse(r, OUTCOME_NOT_RUN, REASON_BAD_REQUEST,
		    "the context is malformed", 0, NULL);
		return;
	}
	serve_forwarded(n, r, &cx);
}

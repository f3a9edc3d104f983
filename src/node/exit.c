#include <err.h>
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/node.h"

#define SERVER_IDLE_MAX 256
#define DEATH_CONNECT_MS 50
#define ID_HEX 17

/* One request at the local server. */
struct run {
	struct node *node;
	const struct context *cx;
	const struct answer_sink *next;
	struct verdict *verdict;
	struct head head;
	char id[ID_HEX];
	int refused; /* the server said that it did not run */
	int wrong;   /* the answer belongs to another request */
	int passed;
};

static int run_head(void *, const struct head *);
static int run_body(void *, const char *, size_t);

/* What a verdict of admission means for the request. */
static const enum reason admission_reasons[ADMISSION_VERDICT_MAX] = {
	[ADMISSION_OVERLOAD] = REASON_OVERLOAD,
	[ADMISSION_DEADLINE] = REASON_DEADLINE,
	[ADMISSION_DRAINING] = REASON_DRAINING,
	[ADMISSION_STOPPING] = REASON_STOPPING,
	[ADMISSION_NO_SERVER] = REASON_NO_SERVER,
};

/* How each end of an exchange with the server is reported. */
static const struct end_row {
	enum outcome outcome;
	enum reason reason;
	enum admission_outcome served;
} end_rows[EXCHANGE_END_MAX] = {
	[EXCHANGE_WHOLE] = { OUTCOME_DONE, REASON_NONE, ADMISSION_SERVED },
	[EXCHANGE_UNSENT] = { OUTCOME_NOT_RUN, REASON_NO_SERVER,
	    ADMISSION_FAILED },
	[EXCHANGE_CUT] = { OUTCOME_MAY_HAVE_RUN, REASON_SERVER_FAILED,
	    ADMISSION_FAILED },
	[EXCHANGE_CUT_BODY] = { OUTCOME_MAY_HAVE_RUN, REASON_SERVER_FAILED,
	    ADMISSION_FAILED },
	[EXCHANGE_TIMEOUT] = { OUTCOME_MAY_HAVE_RUN, REASON_DEADLINE,
	    ADMISSION_TIMEOUT },
	[EXCHANGE_GARBAGE] = { OUTCOME_MAY_HAVE_RUN, REASON_SERVER_FAILED,
	    ADMISSION_FAILED },
	[EXCHANGE_ABORTED] = { OUTCOME_MAY_HAVE_RUN, REASON_SERVER_FAILED,
	    ADMISSION_CANCELLED },
};

/*
 * Refuses a request that was never sent to the server.
 */
static void
not_run(struct verdict *v, enum reason why)
{
	v->outcome = OUTCOME_NOT_RUN;
	v->reason = why;
}

/*
 * Receives the head of the server's answer: checks that it answers this
 * request, and replaces the server's own fields of ours by the exit's.
 */
static int
run_head(void *ctx, const struct head *h)
{
	struct run *r = ctx;
	const char *id = head_get(h, "Cyclamen-Request-Id");
	const char *out = head_get(h, "Cyclamen-Outcome");
	unsigned int i;

	if (id != NULL && strcmp(id, r->id) != 0) {
		r->wrong = 1;
		return -1;
	}
	if (h->status == 503 && out != NULL &&
	    strcmp(out, outcome_names[OUTCOME_NOT_RUN]) == 0) {
		r->refused = 1;
		return 0;
	}
	head_init(&r->head, h->status);
	r->head.length = h->length;
	for (i = 0; i < h->count; i++)
		if (!head_is_internal(head_name(h, i)))
			head_add(&r->head, head_name(h, i), head_value(h, i));
	head_add(&r->head, "Cyclamen-Outcome", outcome_names[OUTCOME_DONE]);
	head_addf(&r->head, "Cyclamen-Attempt", "%016" PRIx64, r->cx->attempt);
	head_addf(
	    &r->head, "Cyclamen-Retries-Left", "%u", r->verdict->retries_left);
	head_add(&r->head, "Cyclamen-Load", r->verdict->load);
	r->passed = 1;
	return r->next->head(r->next->ctx, &r->head);
}

/*
 * Receives a part of the server's answer.
 */
static int
run_body(void *ctx, const char *data, size_t len)
{
	struct run *r = ctx;

	if (r->refused)
		return 0;
	return r->next->body(r->next->ctx, data, len);
}

/*
 * Tells whether nothing listens at the server's address any more.
 */
static int
server_refuses(uint32_t addr, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(addr) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	int e = 0;
	socklen_t len = sizeof(e);

	if (fd == -1)
		return 0;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 &&
	    errno == EINPROGRESS && poll(&p, 1, DEATH_CONNECT_MS) == 1)
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &e, &len);
	else
		e = errno;
	close(fd);
	return e == ECONNREFUSED;
}

/*
 * Looks whether the server died, after an exchange with it broke.
 */
static void
look_for_death(struct node *n, const struct member_announce *a)
{
	if (!server_refuses(a->addr, a->port))
		return;
	if (!server_died(&n->server, a->server.incarnation))
		return;
	logline(LOG_WARNING, "server-died", "service=%s incarnation=%" PRIx64,
	    a->server.service, a->server.incarnation);
	client_forget(n->servers, a->addr, a->port);
	server_check(n, clock_ms());
}

/*
 * Builds what the server receives: the caller's fields, and ours.
 */
static void
run_request(struct run *r, const struct request *rq, uint32_t left)
{
	r->head = rq->head;
	head_add(&r->head, "Cyclamen-Workspace", r->cx->workspace);
	head_addf(&r->head, "Cyclamen-Deadline-Ms", "%u", left);
	head_add(&r->head, "Cyclamen-Request-Id", r->id);
	if (rq->id[0] != '\0' && head_get(&rq->head, "Idempotency-Key") == NULL)
		head_add(&r->head, "Idempotency-Key", rq->id);
}

/*
 * Sends an admitted request to the server and passes its answer on.
 */
static void
run_admitted(struct node *n, const struct context *cx, const struct request *rq,
    const struct member_announce *a, uint32_t left,
    const struct answer_sink *next, struct verdict *v,
    enum admission_outcome *served)
{
	struct run *r = calloc(1, sizeof(*r));
	struct answer_sink sink = { run_head, run_body, r };
	struct exchange_req x = { .addr = a->addr,
		.port = a->port,
		.method = rq->method,
		.target = rq->target,
		.body = rq->body,
		.body_len = rq->body_len,
		.timeout_ms = left,
		.idle_max = SERVER_IDLE_MAX };
	struct head *out = calloc(1, sizeof(*out));
	enum exchange_end end;

	if (r == NULL || out == NULL)
		err(1, "run_admitted");
	r->node = n;
	r->cx = cx;
	r->next = next;
	r->verdict = v;
	snprintf(r->id, sizeof(r->id), "%016" PRIx64, cx->attempt);
	run_request(r, rq, left);
	*out = r->head;
	x.head = out;
	end = client_exchange(n->servers, &x, &sink);
	v->outcome = end_rows[end].outcome;
	v->reason = end_rows[end].reason;
	*served = end_rows[end].served;
	if (r->wrong) {
		v->reason = REASON_SERVER_FAILED;
		*served = ADMISSION_FAILED;
	}
	if (end == EXCHANGE_WHOLE && r->refused) {
		not_run(v, REASON_OVERLOAD);
		*served = ADMISSION_SHED;
	}
	if (end == EXCHANGE_CUT || end == EXCHANGE_CUT_BODY ||
	    end == EXCHANGE_UNSENT)
		look_for_death(n, a);
	free(out);
	free(r);
}

/*
 * The exit role: admits a request to the local server, runs it and passes
 * the answer to the sink.  The verdict says truthfully whether it ran; where
 * the outcome is done, the sink has got the whole answer.
 */
void
exit_run(struct node *n, const struct context *cx, const struct request *rq,
    const struct answer_sink *next, struct verdict *v)
{
	struct admission_req ar = { .class =
					(enum admission_class)cx->importance,
		.depth = cx->depth,
		.root_hash = cx->root,
		.deadline_us = clock_us() + (uint64_t)cx->deadline_ms * 1000 };
	struct admission_load load;
	struct admission_ticket ticket;
	struct member_announce a;
	enum admission_verdict av;
	enum admission_outcome served = ADMISSION_CANCELLED;
	uint64_t begin;

	memset(v, 0, sizeof(*v));
	v->retries_left = cx->retries;
	counter_add(CTR_REQ_EXIT, 1);
	server_get(&n->server, clock_ms(), &a);
	if (a.server.state == MEMBER_SERVER_NONE ||
	    strcmp(a.server.service, cx->service) != 0) {
		not_run(v, REASON_NO_SERVER);
		return;
	}
	av = admission_enter(&n->admission, &ar, &ticket);
	admission_load(&n->admission, &load);
	admission_load_format(&load, v->load);
	if (av != ADMISSION_RUN) {
		not_run(v, admission_reasons[av]);
		return;
	}
	begin = clock_us();
	if (begin + 1000 >= ar.deadline_us)
		not_run(v, REASON_DEADLINE);
	else
		run_admitted(n, cx, rq, &a,
		    (uint32_t)((ar.deadline_us - begin) / 1000), next, v,
		    &served);
	admission_leave(&ticket, served, clock_us() - begin);
}

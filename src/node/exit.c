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
#define SUSPECT_CHECK_US 2000
#define DEATH_CONNECT_MS 50
#define DEATH_TRIES 4
#define DEATH_RETRY_US 10000
#define ID_HEX 17
#define US_PER_MS 1000

/* One request at the local server. */
struct run {
	struct node *node;
	const struct context *cx;
	const struct answer_sink *next;
	struct verdict *verdict;
	struct parent *parent;
	struct head head;
	char id[ID_HEX];
	int status;  /* of the server's answer */
	int refused; /* the server said that it did not run */
	int wrong;   /* the answer belongs to another request */
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
 * Adds to the head of an answer what an exit tells the entry.
 */
void
verdict_add(const struct verdict *v, struct head *h)
{
	head_addf(h, "Cyclamen-Retries-Left", "%u", v->retries_left);
	head_add(h, "Cyclamen-Load", v->load);
	if (v->chain_level != ADMISSION_CHAIN_LEVEL_UNKNOWN)
		head_addf(h, "Cyclamen-Chain-Level", "%u", v->chain_level);
	if (v->inner_failed)
		head_add(h, "Cyclamen-Inner", "failed");
	if (v->death != 0)
		head_addf(h, "Cyclamen-Death", "%016" PRIx64, v->death);
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
	r->status = h->status;
	r->verdict->retries_left = retry_chain_close(&r->parent->chain);
	r->verdict->chain_level = parent_chain_level(r->parent);
	r->verdict->inner_failed = parent_has_failed_calls(r->parent);
	verdict_add(r->verdict, &r->head);
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
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1)
		e = errno;
	if (e == EINPROGRESS && poll(&p, 1, DEATH_CONNECT_MS) == 1 &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &e, &len) == -1)
		e = 0;
	close(fd);
	return e == ECONNREFUSED;
}

/*
 * Strikes what was in flight at the server's death, but once.  Whoever comes
 * second waits until that is done, so that it can tell of its own strike.
 * Returns 1 to the first caller.
 */
static int
strike_death(struct node *n, uint64_t incarnation)
{
	int first;

	pthread_mutex_lock(&n->death_lock);
	first = server_died(&n->server, incarnation);
	if (first)
		quarantine_report_crash(
		    &n->quarantine, rand_u64() | 1, clock_ms());
	pthread_mutex_unlock(&n->death_lock);
	return first;
}

/*
 * Looks whether the server died, after an exchange with it broke.
 */
static void
look_for_death(struct node *n, const struct member_announce *a)
{
	int tries = 0;

	/* A dying process may close its connections before its listener. */
	while (!server_refuses(a->addr, a->port)) {
		if (++tries == DEATH_TRIES)
			return;
		usleep(DEATH_RETRY_US);
	}
	if (!strike_death(n, a->server.incarnation))
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
run_request(
    struct run *r, const struct request *rq, uint32_t left, struct head *h)
{
	char token[PARENT_TOKEN_TEXT];

	*h = rq->head;
	parent_token_format(r->parent, token);
	head_add(h, "Cyclamen-Token", token);
	head_add(h, "Cyclamen-Workspace", r->cx->workspace);
	head_addf(h, "Cyclamen-Deadline-Ms", "%u", left);
	head_add(h, "Cyclamen-Request-Id", r->id);
}

/*
 * Registers a request as one that inner calls may belong to.
 */
static struct parent *
add_parent(struct node *n, const struct context *cx, uint64_t deadline_us)
{
	struct parent_context pc = { .root_hash = cx->root,
		.root_fingerprint = { cx->print[0], cx->print[1] },
		.key_tag = cx->key_tag,
		.deadline_us = deadline_us,
		.class = (enum admission_class)cx->importance,
		.depth = cx->depth };

	snprintf(pc.workspace, sizeof(pc.workspace), "%s", cx->workspace);
	return parents_add(&n->parents, &pc, cx->retries);
}

/*
 * Turns the end of an exchange with the server into the verdict.
 */
static enum admission_outcome
run_verdict(const struct run *r, enum exchange_end end)
{
	struct verdict *v = r->verdict;

	v->outcome = end_rows[end].outcome;
	v->reason = end_rows[end].reason;
	if (r->wrong)
		return ADMISSION_FAILED;
	if (end == EXCHANGE_WHOLE && r->status >= 500 && !v->inner_failed)
		return ADMISSION_FAILED;
	if (end != EXCHANGE_WHOLE || !r->refused)
		return end_rows[end].served;
	not_run(v, REASON_OVERLOAD);
	return ADMISSION_REJECTED;
}

/*
 * Sends an admitted request to the server and passes its answer on.
 * Returns how the exchange ended.
 */
static enum exchange_end
run_admitted(struct run *r, const struct request *rq,
    const struct member_announce *a, uint32_t left)
{
	struct answer_sink sink = { run_head, run_body, r };
	struct head *h = malloc(sizeof(*h));
	struct exchange_req x = { .addr = a->addr,
		.port = a->port,
		.method = rq->method,
		.target = rq->target,
		.head = h,
		.body = rq->body,
		.body_len = rq->body_len,
		.timeout_ms = left,
		.idle_max = SERVER_IDLE_MAX };
	enum exchange_end end;

	if (h == NULL)
		err(1, "run_admitted");
	run_request(r, rq, left, h);
	end = client_exchange(r->node->servers, &x, &sink);
	free(h);
	if (end == EXCHANGE_WHOLE)
		server_heard(
		    &r->node->server, a->server.incarnation, clock_ms());
	if (end == EXCHANGE_CUT || end == EXCHANGE_CUT_BODY ||
	    end == EXCHANGE_UNSENT)
		look_for_death(r->node, a);
	return end;
}

/*
 * Tells the quarantine how a run ended.
 */
static enum quarantine_end
quarantine_end_of(enum exchange_end end)
{
	if (end == EXCHANGE_WHOLE)
		return QUARANTINE_RESULT_COMPLETE;
	if (end == EXCHANGE_CUT || end == EXCHANGE_CUT_BODY)
		return QUARANTINE_RESULT_FAILED;
	return QUARANTINE_RESULT_UNKNOWN;
}

/*
 * Asks the quarantine to let a request run, and waits while another one that
 * is under suspicion runs.  Returns 0, or -1 with the verdict.
 */
static int
begin_run(struct node *n, struct quarantine_run *qr,
    const struct quarantine_fingerprint *prints, size_t count,
    uint64_t deadline_us, struct verdict *v)
{
	int rc;

	while ((rc = quarantine_begin(
		    &n->quarantine, qr, prints, count, clock_ms())) == 1) {
		usleep(SUSPECT_CHECK_US);
		if (clock_us() + US_PER_MS >= deadline_us) {
			not_run(v, REASON_DEADLINE);
			return -1;
		}
	}
	if (rc == -1)
		not_run(v, REASON_QUARANTINED);
	return rc;
}

/*
 * Runs an admitted request, unless servers died of it or its root.
 */
static enum admission_outcome
run(struct node *n, const struct context *cx, const struct request *rq,
    const struct member_announce *a, uint64_t deadline_us,
    const struct answer_sink *next, struct verdict *v)
{
	struct quarantine_fingerprint prints[QUARANTINE_RUN_FINGERPRINTS];
	struct quarantine_run qr;
	enum admission_outcome served;
	enum exchange_end end;
	struct run *r;
	uint64_t now = clock_us();
	int quarantine = settings_policy_on(&n->settings, POLICY_QUARANTINE);

	if (now + US_PER_MS >= deadline_us) {
		not_run(v, REASON_DEADLINE);
		return ADMISSION_CANCELLED;
	}
	quarantine_fingerprint(&prints[0], cx->workspace, rq->method,
	    rq->target, rq->body != NULL ? rq->body : "", rq->body_len);
	prints[1].lo = cx->print[0];
	prints[1].hi = cx->print[1];
	if (quarantine && begin_run(n, &qr, prints, cx->depth > 0 ? 2 : 1,
			      deadline_us, v) == -1)
		return ADMISSION_CANCELLED;
	now = clock_us();
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		err(1, "run");
	r->node = n;
	r->cx = cx;
	r->next = next;
	r->verdict = v;
	r->parent = add_parent(n, cx, deadline_us);
	snprintf(r->id, sizeof(r->id), "%016" PRIx64, cx->attempt);
	end = run_admitted(r, rq, a, (uint32_t)((deadline_us - now) / 1000));
	served = run_verdict(r, end);
	v->chain_level = parent_chain_level(r->parent);
	v->inner_failed = parent_has_failed_calls(r->parent);
	v->retries_left += parents_end(&n->parents, r->parent);
	if (quarantine) {
		quarantine_end(
		    &n->quarantine, &qr, quarantine_end_of(end), clock_ms());
		v->death = qr.crash_id;
	}
	free(r);
	return served;
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
		.deadline_us =
		    clock_us() + (uint64_t)cx->deadline_ms * US_PER_MS };
	struct admission_load load;
	struct admission_ticket ticket;
	struct member_announce a;
	enum admission_verdict av;
	enum admission_outcome served;
	uint64_t begin;

	memset(v, 0, sizeof(*v));
	v->retries_left = cx->retries;
	v->chain_level = ADMISSION_CHAIN_LEVEL_UNKNOWN;
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
	v->retries_left = 0;
	served = run(n, cx, rq, &a, ar.deadline_us, next, v);
	if (v->outcome == OUTCOME_NOT_RUN)
		v->retries_left = cx->retries;
	admission_leave(&ticket, served, clock_us() - begin);
}

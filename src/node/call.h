#ifndef NODE_CALL_H
#define NODE_CALL_H

#include "limits/limits.h"
#include "node/node.h"
#include "once/once.h"
#include "quarantine/quarantine.h"
#include "retry/parents.h"
#include "retry/retry.h"
#include "route/route.h"

#define CALL_TRIED_MAX 16

/* Where a request can be sent. */
struct target {
	struct node_id id;
	uint16_t peer_port;
	int local;
};

/* A request on its way through the entry role. */
struct call {
	struct node *node;
	struct request *req;
	struct config_route route;
	struct limits_workspace limit;
	uint64_t loan; /* that a token was charged to, or 0 */
	struct context cx;
	struct quarantine_fingerprint print; /* of this very request */
	uint64_t deadline_ms;
	struct parent *parent; /* of an inner call, else NULL */
	struct retry_chain chain;
	struct once_claim claim;
	int claimed;
	struct target first; /* where the first attempt goes, if chosen */
	int chosen;
	struct node_id tried[CALL_TRIED_MAX];
	unsigned int tried_count;
	unsigned int overloads;
	struct answer answer;
	struct head scratch;
	struct verdict verdict; /* of the last attempt */
	int retry_ms;		/* told to a caller over its rate */
	int unsent;		/* the last attempt reached no peer */
	int wrong;		/* the peer's answer is to another attempt */
	int ran;		/* an attempt may have run */
};

void call_log_refusal(const struct call *, enum outcome, enum reason);
int call_is_doomed(struct call *);
void call_refund(struct call *);
void call_forward(struct call *);
int call_choose(struct call *, struct target *, enum route_reason *);
void call_request(const struct call *, struct admission_req *);
struct admission_downstream *call_echo(struct call *);
void call_observe(struct call *, const struct target *, uint64_t);
void call_attempt(struct call *, const struct target *);

#endif

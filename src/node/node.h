#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <civetweb.h>
#include <stdatomic.h>

#include "admission/admission.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/logline.h"
#include "base/nodeid.h"
#include "config/service.h"
#include "exchange/answer.h"
#include "exchange/client.h"
#include "exchange/context.h"
#include "exchange/request.h"
#include "lease/lease_service.h"
#include "limits/limits.h"
#include "logsvc/logsvc.h"
#include "member/member.h"
#include "node/server.h"
#include "once/once.h"
#include "quarantine/quarantine.h"
#include "retry/parents.h"
#include "retry/retry.h"
#include "route/route.h"
#include "rpc/rpc.h"
#include "settings/settings.h"

#define NODE_BUDGETS 256 /* retry budgets, shared by routes' hashes */

#define CONFIG_TARGET "/cyclamen/config" /* where peers fetch it */

enum port_kind {
	PORT_CALLER,
	PORT_INNER,
	PORT_PEER,
	PORT_OPERATOR,
	PORT_MAX
};

/* One process: all duties and what ties them together. */
struct node {
	struct settings settings;
	struct node_id id;
	unsigned char key[CONTEXT_KEY_BYTES]; /* from the peers' secret */
	struct logsvc_http *log_http;
	struct logsvc log;
	struct client *peers;
	struct client *servers;
	struct rpc_settings rpc_settings;
	struct rpc_server rpc_server;
	struct rpc_client rpc_client;
	struct config_service config;
	struct member_service member;
	struct admission admission;
	struct server server;
	pthread_mutex_t death_lock; /* until all that a death struck is known */
	struct lease_service lease;
	struct limits limits;
	struct once once;
	struct quarantine quarantine;
	struct route_table routes;
	struct retry_budget budgets[NODE_BUDGETS];
	atomic_ullong limit_missed_ms[NODE_BUDGETS]; /* by workspace */
	struct admission_downstream echoes[NODE_BUDGETS];
	struct parents parents;
	struct mg_context *ports[PORT_MAX];
	pthread_t ticker;
	pthread_t fetcher;
	atomic_uint inflight[PORT_MAX];
	atomic_ullong last_request_ms;
	atomic_ullong log_read_ms; /* newest read to its end was sent */
	uint64_t started_ms;
	atomic_int open; /* to callers */
	uint32_t known;	 /* members, and since when that many */
	uint64_t known_ms;
	atomic_int stopping;
	atomic_int running;
};

/* What an exit reports of one request besides the answer itself. */
struct verdict {
	enum outcome outcome;
	enum reason reason;
	uint32_t retries_left;
	/* Told by inner calls, or ADMISSION_CHAIN_LEVEL_UNKNOWN. */
	uint32_t chain_level;
	int inner_failed; /* an inner call brought no good answer */
	uint64_t death;	  /* of the server, that struck the request, or 0 */
	char load[ADMISSION_LOAD_TEXT_BYTES];
};

int node_init(struct node *, const struct settings *);
int node_start(struct node *);
int node_ready(struct node *);
int node_open(struct node *);
void node_stop(struct node *);
void node_finish(struct node *);

void entry_caller(struct node *, struct request *);
void entry_inner(struct node *, struct request *);
void verdict_add(const struct verdict *, struct head *);
void exit_run(struct node *, const struct context *, const struct request *,
    const struct answer_sink *, struct verdict *);
void peer_serve(struct node *, struct request *);
int announce_serve(struct node *, struct request *);
void operator_serve(struct node *, struct request *);
void server_check(struct node *, uint64_t);

void *fetch_main(void *);

int duties_init(struct node *);
void duties_tick(struct node *);
int duties_leases_change(void *);
void duties_regroup(struct node *);
void duties_sync(struct node *);
void duties_finish(struct node *);

int ports_start(struct node *);
int ports_open(struct node *);
void ports_close(struct node *);
void ports_stop(struct node *);

#endif

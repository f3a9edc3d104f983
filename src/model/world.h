#ifndef MODEL_WORLD_H
#define MODEL_WORLD_H

#include <glib.h>

#include "model/model.h"
#include "quota/quota.h"
#include "relay/budget.h"
#include "relay/choice.h"
#include "relay/retry_after.h"
#include "throttle/demand.h"
#include "throttle/profile.h"
#include "throttle/throttle.h"

#define US_PER_MS 1000
#define US_PER_S 1000000.0
#define MS_PER_S 1000.0
#define TRIES_MAX 4 /* nodes asked for one request, as the entry does */

/* What comes back from an exit. */
enum verdict {
	VERDICT_SERVED,
	VERDICT_FAILED,	     /* the server's own failure */
	VERDICT_REJECTED,    /* by the server, not run */
	VERDICT_OVERLOADED,  /* by the exit */
	VERDICT_UNAVAILABLE, /* no server there */
	VERDICT_LATE	     /* its time is over */
};

/* A request, or 0: index and generation in the table of requests. */
typedef uint64_t handle;

/* One attempt of a caller, or one call of a run. */
struct request {
	struct admission_waiter waiter; /* first, to be found by its waiter */
	uint32_t generation;		/* 0: unused */
	uint32_t next_unused;
	int kind;
	int space;		    /* of a root request */
	int entry;		    /* node */
	int exit;		    /* node; -1: none */
	handle parent;		    /* the run that made this call; 0: a root */
	uint64_t first_us;	    /* of the caller's first attempt */
	enum admission_class class; /* of the root */
	uint64_t root_hash;
	int beyond;	 /* its workspace asks for more than its rate */
	uint64_t due_us; /* of the caller or of the parent */
	uint64_t end_us; /* the entry gives up then */
	uint32_t again;	 /* attempts that the caller has left */
	uint32_t rude;	 /* of these, at once */
	uint32_t tries;
	int tried[TRIES_MAX];
	uint32_t arrivals; /* at servers */
	int entry_over;	   /* answered, or given up */
	int at_exit;	   /* there or on the way there */
	int waiting;	   /* for a slot */
	int running;
	int call_failed;    /* one that its run made */
	uint64_t run_us;    /* when it got the slot */
	double spent_us;    /* slot time, with that of its calls */
	uint32_t next_call; /* group of calls that the run makes next */
	uint32_t next_time; /* and which of these */
	uint32_t out;	    /* calls under way */
	enum verdict verdict;
};

/* What a node knows of another one. */
struct link {
	uint64_t heard_us; /* 0: never */
	uint64_t told_us;
	uint32_t running, waiting, slots;
	uint32_t sent_since_report, inflight;
	struct choice_health health;
	double offered, run_s, told_failing;
	struct demand demand;
};

struct node {
	int service;
	uint32_t zone;
	double speed; /* times the work */
	int index;    /* among the servers of the service */
	int down;
	struct admission_core core;
	struct throttle throttle;
	struct profile_set profiles;
	struct demand demand;
	struct choice_health health; /* of its server */
	struct budget budgets[MODEL_SERVICES];
	struct quota_owner owner;
	struct quota_cache stocks[MODEL_SPACES];
	struct link *links; /* by node */
	double busy;	    /* decaying share of slots in use or waited for */
	double shed_per_s;
	uint64_t busy_us;
};

enum event_kind {
	EVENT_ASK,     /* a caller's new request; value: its kind */
	EVENT_TAKE,    /* an attempt reaches its entry */
	EVENT_TOKENS,  /* the owner of a limit has answered */
	EVENT_AT_EXIT, /* an attempt reaches an exit */
	EVENT_WORKED,  /* a run has done its own work */
	EVENT_ANSWER,  /* the exit's answer reaches the entry */
	EVENT_TIMEOUT, /* the entry gives up */
	EVENT_CANCEL,  /* which reaches the exit */
	EVENT_BEAT,    /* value: node */
	EVENT_STEP,    /* of a throttle; value: node */
	EVENT_TROUBLE, /* some began or ended */
	EVENT_KIND_MAX
};

struct event {
	uint64_t at_us;
	uint64_t order; /* of events at the same time */
	enum event_kind kind;
	handle request;
	int value;
};

struct world {
	const struct model_load *load;
	struct model_result *res;
	GSequence *queue;
	GRand *rnd;
	uint64_t now_us;
	uint64_t events;
	struct node *nodes;
	uint32_t node_count;
	struct request **requests;
	uint32_t request_count, request_cap;
	uint32_t unused;	      /* index after one; 0: none */
	double allowed[MODEL_SPACES]; /* what is left of each rate and burst */
	uint64_t allowed_us;	      /* when these were brought up to date */
};

/* queue.c */
void queue_init(struct world *);
void queue_finish(struct world *);
void queue_add(struct world *, uint64_t, enum event_kind, handle, int);
int queue_next(struct world *, struct event *);

/* world.c */
struct request *request_new(struct world *, handle *);
struct request *request_get(struct world *, handle);
handle request_handle(const struct request *, const struct world *);
void request_settle(struct world *, struct request *);
double draw(struct world *);
uint64_t now_ms(const struct world *);
uint32_t kind_route(int);
uint64_t hop_us(const struct world *, int, int);
double trouble(const struct world *, enum model_trouble_kind, int, int);
struct model_second *second_of(struct world *, uint64_t);

/* caller.c */
void caller_ask(struct world *, int);
void caller_answered(
    struct world *, struct request *, enum verdict, enum retry_after_reason);

/* entry.c */
void entry_take(struct world *, struct request *);
void entry_tokens(struct world *, struct request *);
void entry_answer(struct world *, struct request *);
void entry_timeout(struct world *, struct request *);

/* exit.c */
void exit_take(struct world *, struct request *);
void exit_worked(struct world *, struct request *);
void exit_call_ended(struct world *, struct request *, int, double);
void exit_cancel(struct world *, struct request *);
void exit_down(struct world *, struct node *);

/* loads.c */
void loads_init(struct world *, struct node *);
void loads_measure(struct world *, struct node *);
void loads_beat(struct world *, int);
void loads_step(struct world *, int);
double loads_offered(const struct node *);
int loads_alive(const struct world *, const struct node *, int);

/* result.c */
void result_end(struct world *);

#endif

#ifndef MODEL_MODEL_H
#define MODEL_MODEL_H

#include <stdint.h>

#include <jansson.h>

#include "admission/admission_core.h"
#include "base/find.h"

/*
 * A deterministic model of a fleet under load: nodes run the decision code of
 * the project (throttle, admission, choice, retries, limits) in virtual time,
 * against modelled servers and callers.  It tells which of two decisions is
 * better under a load; it is no stand-in for real processes.
 */

#define MODEL_NAME_BYTES 48
#define MODEL_SERVICES 16
#define MODEL_SPEEDS 8
#define MODEL_KINDS 16
#define MODEL_CALLS 4
#define MODEL_SPACES 16
#define MODEL_TROUBLES 16
#define MODEL_SECONDS 120
#define MODEL_NODES 128

/* A service and its servers, each with a node beside it. */
struct model_service {
	char name[MODEL_NAME_BYTES];
	uint32_t servers;
	uint32_t slots;		     /* of each */
	double speeds[MODEL_SPEEDS]; /* times the work, server by server */
	uint32_t speed_count;
};

/* What a run of one kind calls. */
struct model_call {
	int kind;
	uint32_t times;
	int together; /* at once, not one after the other */
};

/* A kind of request. */
struct model_kind {
	char name[MODEL_NAME_BYTES];
	int service;
	enum admission_class class;
	double per_s; /* by callers; 0: only called */
	double work_ms;
	double spread; /* of the work, as a share of its mean */
	uint64_t target_ms;
	uint64_t deadline_ms;
	uint64_t timeout_ms; /* of the route */
	double worth, late_worth;
	int idempotent;
	uint32_t retries; /* of the caller */
	struct model_call calls[MODEL_CALLS];
	uint32_t call_count;
};

struct model_space {
	char name[MODEL_NAME_BYTES];
	double share; /* of all root requests */
	double rate;  /* 0: no limit */
	uint32_t burst;
};

enum model_trouble_kind {
	TROUBLE_SURGE, /* x times the requests */
	TROUBLE_SLOW,  /* servers take x times as long */
	TROUBLE_SHED,  /* servers refuse a share x of their requests */
	TROUBLE_DOWN,  /* servers and their nodes are away */
	TROUBLE_HOT,   /* a workspace sends x times as much */
	TROUBLE_ABUSE, /* a share of refused callers come back at once, x times
			*/
	TROUBLE_MAX
};

struct model_trouble {
	enum model_trouble_kind kind;
	double at_s, for_s;
	double x;
	double share; /* of the service's servers, or of callers */
	int service;
	int space;
};

/* Policies that can be left out, to see what they are worth. */
struct model_policies {
	int throttle;
	int near_first; /* the same zone is preferred */
	int retries;	/* by the nodes */
	int chains;	/* calls rank with their root request */
	int limits;
};

/* A load, as read from a file. */
struct model_load {
	double seconds;
	uint64_t beat_ms;
	uint64_t hop_us;    /* between zones, one way */
	uint64_t caller_us; /* between a caller and its node */
	uint32_t zones;
	double retry_ratio;
	double retry_slack;
	struct model_service services[MODEL_SERVICES];
	uint32_t service_count;
	struct model_kind kinds[MODEL_KINDS];
	uint32_t kind_count;
	struct model_space spaces[MODEL_SPACES];
	uint32_t space_count;
	struct model_trouble troubles[MODEL_TROUBLES];
	uint32_t trouble_count;
	struct model_policies policies;
};

/* What became of the root requests of one kind or workspace. */
struct model_count {
	uint32_t asked;
	uint32_t in_time;
	uint32_t late;
	uint32_t refused;
	uint32_t failed;
	uint32_t over_rate; /* beyond the workspace's rate: not due */
	double credit, due;
};

/* One second of a run. */
struct model_second {
	struct model_count all;
	double busiest;	 /* of the services: work that arrives, to the slots */
	uint32_t turned; /* calls that were refused for want of a slot */
};

struct model_result {
	struct model_count all;
	struct model_count kinds[MODEL_KINDS];
	struct model_count spaces[MODEL_SPACES];
	struct model_second seconds[MODEL_SECONDS];
	uint32_t second_count;
	double work_s;	      /* slot time of all runs */
	double wasted_s;      /* of those whose root failed */
	double recovered_s;   /* after the last trouble; < 0: not in the run */
	double worst_space;   /* credit to what is due */
	uint32_t inner_calls; /* that callers' requests made */
	uint32_t turned;      /* of these, for want of a slot */
	uint64_t events;
};

int model_read(json_t *, struct model_load *, struct finds *);
void model_run(const struct model_load *, uint32_t, struct model_result *);
double model_share(const struct model_count *);

#endif

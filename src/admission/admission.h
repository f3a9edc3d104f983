#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>

#include "admission/admission_core.h"

#define ADMISSION_CHAIN_LEVEL_ALL 255U /* chain level that sheds nothing */
/* No inner call reported a level. */
#define ADMISSION_CHAIN_LEVEL_UNKNOWN 256U
/* Bytes, buffer of admission_load_format(). */
#define ADMISSION_LOAD_TEXT_BYTES 64

/* Load that an exit node reports with every answer. */
struct admission_load {
	uint32_t level; /* least important rank admitted */
	uint32_t inflight;
	uint32_t limit;
	uint32_t queued;
	uint32_t service_us; /* decaying mean service time */
};

struct admission {
	pthread_mutex_t lock;
	struct admission_core core;
	uint64_t counts[ADMISSION_CLASS_MAX][ADMISSION_VERDICT_MAX];
};

/* State of one request from admission_enter() to admission_leave(). */
struct admission_ticket {
	struct admission_waiter waiter; /* first: cast back to the ticket */
	struct admission *admission;
	pthread_cond_t cond;
};

/* Decision of an entry node, from the level that was last reported to it. */
enum admission_hint {
	ADMISSION_HINT_SEND,
	ADMISSION_HINT_PROBE, /* send despite the level, to refresh it */
	ADMISSION_HINT_SHED,
	ADMISSION_HINT_MAX
};

/* Overload further down the call chain, as reported by a route's answers. */
struct admission_downstream {
	/* Time, share and level in one word; 0 if there is no report. */
	atomic_uint_fast64_t last_report;
};

void admission_init(struct admission *);
void admission_finish(struct admission *);
void admission_set_policy(struct admission *, int);
void admission_server_reset(struct admission *, uint32_t);
void admission_set_slots(struct admission *, uint32_t);
void admission_drain(struct admission *);
void admission_stop(struct admission *);

enum admission_verdict admission_enter(struct admission *,
    const struct admission_req *, struct admission_ticket *);
void admission_leave(
    struct admission_ticket *, enum admission_outcome, uint64_t);

uint32_t admission_outstanding(struct admission *);
void admission_load(struct admission *, struct admission_load *);
void admission_dump(struct admission *, FILE *);

void admission_load_format(const struct admission_load *, char *);
int admission_load_parse(struct admission_load *, const char *);
enum admission_hint admission_precheck(
    const struct admission_load *, uint64_t, uint32_t, uint64_t, uint64_t);
const char *admission_verdict_name(enum admission_verdict);

uint32_t admission_chain_rank(const struct admission_req *);
uint32_t admission_chain_level(uint32_t, const struct admission_req *);
void admission_downstream_init(struct admission_downstream *);
uint32_t admission_downstream_level(const struct admission_downstream *);
void admission_downstream_reported(
    struct admission_downstream *, uint32_t, uint64_t);
void admission_downstream_served(
    struct admission_downstream *, const struct admission_req *);
enum admission_hint admission_downstream_check(
    const struct admission_downstream *, const struct admission_req *, uint64_t,
    uint64_t);

#endif

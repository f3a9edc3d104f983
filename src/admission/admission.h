#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <pthread.h>
#include <stdint.h>
#include <stdio.h>

#include "admission/admission_core.h"

#define ADMISSION_LOAD_TEXT 64 /* bytes that admission_load_format() writes */

/* What an exit tells about itself on every answer. */
struct admission_load {
	uint32_t level; /* ranks above it are being shed */
	uint32_t inflight;
	uint32_t limit;
	uint32_t queued;
	uint32_t service_us; /* decaying mean */
};

struct admission {
	pthread_mutex_t lock;
	struct admission_core core;
	uint64_t counts[ADMISSION_CLASS_MAX][ADMISSION_VERDICT_MAX];
};

/* Held by the thread that serves the request, from enter to leave. */
struct admission_ticket {
	struct admission_waiter waiter;
	struct admission *admission;
	pthread_cond_t cond;
};

/* What an entry makes of the level it last heard from an exit. */
enum admission_hint {
	ADMISSION_HINT_SEND,
	ADMISSION_HINT_PROBE, /* expected to be shed; sent to learn */
	ADMISSION_HINT_SHED,
	ADMISSION_HINT_MAX
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

uint32_t admission_busy(struct admission *);
void admission_load(struct admission *, struct admission_load *);
void admission_dump(struct admission *, FILE *);

void admission_load_format(const struct admission_load *, char *);
int admission_load_parse(struct admission_load *, const char *);
enum admission_hint admission_precheck(
    const struct admission_load *, uint64_t, uint32_t, uint64_t, uint64_t);
const char *admission_verdict_name(enum admission_verdict);

#endif

#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>

#include "admission/admission_core.h"

#define ADMISSION_CHAIN_ALL 255U  /* a chain level that sheds nothing */
#define ADMISSION_CHAIN_NONE 256U /* no inner call has told one */
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

/* Overload further down, as a route's answers tell it to an entry. */
struct admission_echo {
	atomic_uint_fast64_t last_report; /* time, share, level; 0 for none */
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

uint32_t admission_chain_rank(const struct admission_req *);
uint32_t admission_chain_level(uint32_t, const struct admission_req *);
void admission_echo_init(struct admission_echo *);
uint32_t admission_echo_level(const struct admission_echo *);
void admission_echo_heard(struct admission_echo *, uint32_t, uint64_t);
void admission_echo_served(
    struct admission_echo *, const struct admission_req *);
enum admission_hint admission_echo_check(const struct admission_echo *,
    const struct admission_req *, uint64_t, uint64_t);

#endif

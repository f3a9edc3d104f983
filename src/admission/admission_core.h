#ifndef ADMISSION_CORE_H
#define ADMISSION_CORE_H

#include <stdint.h>

/*
 * The pure part of admission: no clock, no lock, no thread.  All times are
 * microseconds of one clock, passed in.
 */

#define ADMISSION_LEVELS 1024 /* ranks: 2 bits class, 2 depth, 6 hash */
#define ADMISSION_LEVEL_ALL (ADMISSION_LEVELS - 1) /* nothing is shed */
#define ADMISSION_QUEUE_MAX 1024		   /* waiting requests */

/* In order of importance; the same order as in a configuration. */
enum admission_class {
	ADMISSION_CRITICAL,
	ADMISSION_HIGH,
	ADMISSION_NORMAL,
	ADMISSION_LOW,
	ADMISSION_CLASS_MAX
};

enum admission_verdict {
	ADMISSION_RUN,
	ADMISSION_WAIT, /* never returned by admission_enter() */
	ADMISSION_OVERLOAD,
	ADMISSION_DEADLINE,
	ADMISSION_DRAINING,
	ADMISSION_STOPPING,
	ADMISSION_NO_SERVER,
	ADMISSION_VERDICT_MAX
};

/* How the work of an admitted request ended. */
enum admission_outcome {
	ADMISSION_SERVED,
	ADMISSION_FAILED,    /* the server answered with an error or broke */
	ADMISSION_SHED,	     /* the server refused it, not run */
	ADMISSION_TIMEOUT,   /* it ran past its deadline */
	ADMISSION_CANCELLED, /* the caller left; says nothing on the server */
	ADMISSION_OUTCOME_MAX
};

struct admission_req {
	enum admission_class class;
	uint32_t depth;	      /* 0 for a root request */
	uint64_t root_hash;   /* evenly spread, the same along a chain */
	uint64_t deadline_us; /* on the node's clock */
};

enum limiter_phase {
	LIMITER_STEADY,
	LIMITER_TRIAL_UP,
	LIMITER_TRIAL_DOWN,
	LIMITER_PHASE_MAX
};

/* What was seen since the window began. */
struct limiter_window {
	uint64_t start_us;
	double sum_us; /* service times, and their squares */
	double sum_sq;
	uint32_t served;
	uint32_t timeouts;
	int saturated;
};

struct limiter {
	double limit;
	uint32_t slots;
	enum limiter_phase phase;
	struct limiter_window window;
	double
	    base_latency_us; /* latency at which the limit was last in order */
	double ref_latency_us; /* latency and limit before the running trial */
	double ref_limit;
	double ref_log_variance; /* squared standard error of
				    log(ref_latency_us) */
	double mean_us; /* decaying mean and deviation of service times */
	double dev_us;
	uint64_t last_sample_us;    /* the last service time was seen then */
	uint64_t next_raise_us;	    /* no try upwards until then */
	uint64_t raise_delay_us;    /* grows with each try that failed */
	uint64_t timeout_exempt_us; /* until then timeouts aren't its doing */
	int ramping;		    /* no try has failed since the cold start */
	int stalled;		    /* in the last window most timed out */
	int try_cut; /* a try upwards has failed since the last one down */
	int fixed;   /* the policy is off: the limit is the slots */
};

struct level {
	uint32_t max_rank; /* the least important rank that is let in */
	uint32_t step;
	uint64_t last_tick_us;
	double arrived[ADMISSION_LEVELS]; /* decaying counts by rank */
	double served;
	uint32_t dropped; /* since the last tick */
	uint32_t wait_count;
	uint64_t wait_sum_us;
};

/* One request from its arrival until it leaves. */
struct admission_waiter {
	uint64_t order; /* lowest first */
	uint64_t seq;
	uint64_t deadline_us;
	uint64_t enter_us;
	uint64_t start_us;
	uint64_t epoch;
	enum admission_class class;
	enum admission_verdict verdict;
};

struct admission_core {
	struct limiter limiter;
	struct level level;
	struct admission_waiter *queue[ADMISSION_QUEUE_MAX];
	uint32_t queued;
	uint32_t inflight;	 /* of the server's present incarnation */
	uint32_t stale_inflight; /* of earlier incarnations */
	uint64_t epoch;
	uint64_t seq;
	int draining;
	int stopping;
	int fifo;	 /* the policy is off: first come, first served */
	int slots_known; /* the server tells them: a free one is used */
};

void limiter_init(struct limiter *, uint32_t, uint64_t);
void limiter_set_slots(struct limiter *, uint32_t);
uint32_t limiter_value(const struct limiter *);
uint64_t limiter_min_service_us(const struct limiter *, uint64_t);
void limiter_note_saturated(struct limiter *);
void limiter_record_end(
    struct limiter *, enum admission_outcome, uint64_t, uint32_t, uint64_t);

void level_init(struct level *, uint64_t);
void level_record_arrival(struct level *, uint32_t);
void level_record_drop(struct level *);
void level_record_start(struct level *, uint64_t);
void level_record_end(struct level *);
void level_tick(struct level *, double, uint64_t);

uint64_t admission_order(const struct admission_req *);
uint32_t admission_rank(const struct admission_req *);

void core_init(struct admission_core *, uint64_t);
void core_reset(struct admission_core *, uint32_t, uint64_t);
enum admission_verdict core_offer(struct admission_core *,
    const struct admission_req *, struct admission_waiter *,
    struct admission_waiter **, uint64_t);
struct admission_waiter *core_next(struct admission_core *, uint64_t);
struct admission_waiter *core_flush(
    struct admission_core *, enum admission_verdict);
uint32_t core_level(const struct admission_core *);
void core_withdraw(struct admission_core *, struct admission_waiter *);
void core_done(struct admission_core *, const struct admission_waiter *,
    enum admission_outcome, uint64_t, uint64_t);

#endif

#ifndef ADMISSION_CORE_H
#define ADMISSION_CORE_H

#include <stdint.h>

/*
 * The decisions of admission control, without clocks, locks or threads.  All
 * times are passed in, in microseconds of one clock.
 */

#define ADMISSION_RANK_COUNT 1024 /* ranks: 2 bits class, 2 depth, 6 hash */
#define ADMISSION_LEVEL_ALL (ADMISSION_RANK_COUNT - 1) /* sheds nothing */
#define ADMISSION_QUEUE_MAX 1024		       /* waiting requests */

/* Most important first; the configuration uses the same order. */
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

/* Result of an admitted request. */
enum admission_outcome {
	ADMISSION_SERVED,
	ADMISSION_FAILED,    /* the server returned an error or failed */
	ADMISSION_REJECTED,  /* the server refused it without running it */
	ADMISSION_TIMEOUT,   /* it exceeded its deadline */
	ADMISSION_CANCELLED, /* the caller disconnected; ignored by limiter */
	ADMISSION_OUTCOME_MAX
};

struct admission_req {
	enum admission_class class;
	uint32_t depth;	      /* 0 for a root request */
	uint64_t root_hash;   /* evenly distributed, equal along a chain */
	uint64_t deadline_us; /* by the node's clock */
};

enum limiter_phase {
	LIMITER_STEADY,
	LIMITER_TRIAL_UP,
	LIMITER_TRIAL_DOWN,
	LIMITER_PHASE_MAX
};

/* Samples since the window began. */
struct limiter_window {
	uint64_t start_us;
	double sum_us; /* sum of the service times */
	double sum_sq; /* sum of their squares */
	uint32_t served;
	uint32_t timeouts;
	int saturated; /* a request found no free place */
};

struct limiter {
	double limit;
	uint32_t slots;
	enum limiter_phase phase;
	struct limiter_window window;
	double base_latency_us; /* when the limit was last not too high */
	double ref_latency_us;	/* of the window before the current trial */
	double ref_limit;
	double ref_log_variance; /* squared standard error of log latency */
	double mean_us;		 /* decaying mean of service times */
	double dev_us;		 /* decaying mean deviation of service times */
	uint64_t last_sample_us; /* when the last service time was recorded */
	uint64_t next_raise_us;	 /* no trial up before this time */
	uint64_t raise_delay_us; /* doubles when the limit was too high */
	uint64_t timeout_exempt_us; /* no cut for timeouts until then */
	int ramping;	    /* no trial has failed since the ramp began */
	int stalled;	    /* most requests of the last window timed out */
	int try_cut;	    /* a trial up failed; try down next */
	int fixed_to_slots; /* policy off: the limit equals the slots */
};

struct level {
	uint32_t max_rank; /* least important rank admitted */
	uint32_t step;	   /* of the next raise, in ranks */
	uint64_t last_tick_us;
	double arrived[ADMISSION_RANK_COUNT]; /* decaying counts by rank */
	double served;			      /* decaying count */
	uint32_t dropped; /* since the last tick, as are the fields below */
	uint32_t wait_count;
	uint64_t wait_sum_us;
};

/* One request from its arrival to its end. */
struct admission_waiter {
	uint64_t order; /* by importance; the lowest runs first */
	uint64_t seq;
	uint64_t deadline_us;
	uint64_t enter_us;
	uint64_t start_us;
	uint64_t epoch; /* incarnation of the server that runs it */
	enum admission_class class;
	enum admission_verdict verdict;
};

struct admission_core {
	struct limiter limiter;
	struct level level;
	struct admission_waiter *queue[ADMISSION_QUEUE_MAX];
	uint32_t queued;
	uint32_t inflight;	 /* at the server's current incarnation */
	uint32_t stale_inflight; /* in flight at earlier incarnations */
	uint64_t epoch;		 /* counts incarnations of the server */
	uint64_t seq;		 /* of the next arrival */
	int draining;
	int stopping;
	int fifo;	 /* policy off: first come, first served */
	int slots_known; /* reported by the server; use any free one */
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
struct admission_waiter *core_refuse_next(
    struct admission_core *, enum admission_verdict);
uint32_t core_level(const struct admission_core *);
void core_expire(struct admission_core *, struct admission_waiter *);
void core_release(struct admission_core *, const struct admission_waiter *,
    enum admission_outcome, uint64_t, uint64_t);

#endif

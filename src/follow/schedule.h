#ifndef FOLLOW_SCHEDULE_H
#define FOLLOW_SCHEDULE_H

#include <stdint.h>

/* First delay before a failed read of the store is repeated. */
#define FOLLOW_RETRY_MS 60

/*
 * When a node queries others and reads the store, so that a version is in force
 * within a bound after its acknowledgement.  All times are in milliseconds.
 */
struct follow_schedule {
	uint64_t close_wait_ms; /* wait time of a reader's reads */
	/* With an older proof this node queries a reader. */
	uint64_t query_age_ms;
	uint64_t query_interval_ms; /* minimum interval between queries */
	/* With an older proof this node reads the store itself. */
	uint64_t read_age_ms;
	uint64_t check_ms;     /* interval between checks of the age */
	uint64_t retry_max_ms; /* longest delay before a needed retry */
	/*
	 * Shortest timeout of a read, beyond its wait time.  A needed read that
	 * has got no reply by then is repeated, whatever its timeout.
	 */
	uint64_t read_timeout_ms;
};

void follow_schedule_init(struct follow_schedule *, uint64_t);
uint64_t follow_schedule_worst_ms(const struct follow_schedule *);

#endif

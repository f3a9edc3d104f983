#include "follow/schedule.h"

/*
 * Times of a schedule as shares of its bound.  A reader's proofs are at most as
 * old as its wait time, so that one lost query fits between the age at which a
 * reader is queried and the one at which the store is read.
 */
#define CLOSE_WAIT_SHARE 0.2
#define QUERY_AGE_SHARE 0.25
#define QUERY_INTERVAL_SHARE 0.05
#define READ_AGE_SHARE 0.36
#define CHECK_SHARE 0.05
#define RETRY_MAX_SHARE 0.15
#define READ_TIMEOUT_SHARE 0.2
/* Longer intervals between checks would delay copies from other nodes. */
#define CHECK_MAX_MS 100
#define BOUND_MIN_MS 1000

/*
 * Computes the times with which a version is in force within bound_ms after its
 * acknowledgement at each node that can read the store.  Bounds below
 * BOUND_MIN_MS leave no time for the retry of a read and count as that.
 */
void
follow_schedule_init(struct follow_schedule *s, uint64_t bound_ms)
{
	double bound =
	    (double)(bound_ms > BOUND_MIN_MS ? bound_ms : BOUND_MIN_MS);

	s->close_wait_ms = (uint64_t)(bound * CLOSE_WAIT_SHARE);
	s->query_age_ms = (uint64_t)(bound * QUERY_AGE_SHARE);
	s->query_interval_ms = (uint64_t)(bound * QUERY_INTERVAL_SHARE);
	s->read_age_ms = (uint64_t)(bound * READ_AGE_SHARE);
	s->check_ms = (uint64_t)(bound * CHECK_SHARE);
	if (s->check_ms > CHECK_MAX_MS)
		s->check_ms = CHECK_MAX_MS;
	s->retry_max_ms = (uint64_t)(bound * RETRY_MAX_SHARE);
	s->read_timeout_ms = (uint64_t)(bound * READ_TIMEOUT_SHARE);
}

/*
 * Returns how old a node's proof can get (ms), whatever other nodes do, until
 * a read of the node is sent that the store answers.  A version that was
 * acknowledged just after the proof waits so long.  The last read before the
 * store serves the node may have failed just then, and the next one may be sent
 * on a dead connection.
 */
uint64_t
follow_schedule_worst_ms(const struct follow_schedule *s)
{
	return s->read_age_ms + s->check_ms + s->retry_max_ms +
	       s->read_timeout_ms;
}

#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdint.h>
#include <stdio.h>

/*
 * Counters are striped: a thread adds to its own stripe, a reader sums all
 * of them.  Every counter is named in counter.c's table.
 */
enum counter {
	CTR_REQ_ENTRY,
	CTR_REQ_INNER,
	CTR_REQ_EXIT,
	CTR_DONE,
	CTR_NOT_RUN,
	CTR_MAY_HAVE_RUN,
	CTR_BAD_REQUEST,
	CTR_NO_KEY,
	CTR_OVER_RATE,
	CTR_SHED,
	CTR_NO_SERVER,
	CTR_DEADLINE,
	CTR_DUPLICATE,
	CTR_QUARANTINED,
	CTR_STALE_CONFIG,
	CTR_RETRIES,
	CTR_CUT_ANSWERS,
	CTR_RPC_IN,
	CTR_RPC_OUT,
	CTR_RPC_BAD,
	CTR_RPC_BYTES_IN,
	CTR_RPC_BYTES_OUT,
	CTR_LOG_READS,
	CTR_LOG_APPENDS,
	CTR_LOG_ERRORS,
	CTR_LOG_BAD_RECORDS,
	CTR_LOANS_ASKED,
	CTR_LOANS_GRANTED,
	CTR_MAX
};

void counter_add(enum counter, uint64_t);
uint64_t counter_sum(enum counter);
const char *counter_name(enum counter);

#endif

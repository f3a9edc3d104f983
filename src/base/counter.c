#include <stdatomic.h>

#include "base/counter.h"

#define STRIPES 16
#define STRIPE_ALIGN 64

struct stripe {
	_Alignas(STRIPE_ALIGN) atomic_uint_fast64_t val[CTR_MAX];
};

static struct stripe stripes[STRIPES];
static atomic_uint next_stripe;
static _Thread_local struct stripe *own;

static const char *const names[CTR_MAX] = {
	[CTR_REQ_ENTRY] = "requests_entry",
	[CTR_REQ_INNER] = "requests_inner",
	[CTR_REQ_EXIT] = "requests_exit",
	[CTR_DONE] = "answers_done",
	[CTR_NOT_RUN] = "answers_not_run",
	[CTR_MAY_HAVE_RUN] = "answers_may_have_run",
	[CTR_BAD_REQUEST] = "refused_bad_request",
	[CTR_NO_KEY] = "refused_no_key",
	[CTR_OVER_RATE] = "refused_over_rate",
	[CTR_SHED] = "refused_shed",
	[CTR_NO_SERVER] = "refused_no_server",
	[CTR_DEADLINE] = "refused_deadline",
	[CTR_DUPLICATE] = "refused_duplicate",
	[CTR_QUARANTINED] = "refused_quarantined",
	[CTR_STALE_CONFIG] = "refused_stale_config",
	[CTR_RETRIES] = "retries",
	[CTR_CUT_ANSWERS] = "answers_cut",
	[CTR_RPC_IN] = "rpc_in",
	[CTR_RPC_OUT] = "rpc_out",
	[CTR_RPC_BAD] = "rpc_bad",
	[CTR_RPC_BYTES_IN] = "rpc_bytes_in",
	[CTR_RPC_BYTES_OUT] = "rpc_bytes_out",
	[CTR_LOG_READS] = "log_reads",
	[CTR_LOG_APPENDS] = "log_appends",
	[CTR_LOG_ERRORS] = "log_errors",
	[CTR_LOG_BAD_RECORDS] = "log_bad_records",
	[CTR_LOANS_ASKED] = "loans_asked",
	[CTR_LOANS_GRANTED] = "loans_granted",
};

/*
 * Adds to a counter.  Takes no lock; safe from any thread.
 */
void
counter_add(enum counter c, uint64_t n)
{
	if (own == NULL)
		own = &stripes[atomic_fetch_add(&next_stripe, 1) % STRIPES];
	atomic_fetch_add_explicit(&own->val[c], n, memory_order_relaxed);
}

/*
 * Returns a counter's sum over all threads.
 */
uint64_t
counter_sum(enum counter c)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < STRIPES; i++)
		sum += atomic_load_explicit(
		    &stripes[i].val[c], memory_order_relaxed);
	return sum;
}

/*
 * Returns the name under which a counter is printed.
 */
const char *
counter_name(enum counter c)
{
	return names[c];
}

#include "admission/admission.h"

/*
 * Overload that the answers of a route report from further down the call
 * chain.  An entry node refuses a request whose inner calls would be shed,
 * before the first server works on it.  The chain level consists of class
 * and root hash only, because the depth at which it was reported differs
 * from the depth at which it is applied.
 *
 * Not every request of a route makes inner calls, and the entry node cannot
 * predict which will.  It therefore sheds only on routes where nearly all
 * answers report a level.
 */

#define REPORT_MAX_AGE_MS 1000 /* an older level is ignored */
#define PROBE_ONE_IN 32	       /* one in 32 is sent despite the level */
#define SHARE_SHIFT 8
#define SHARE_MAX 65535U
#define SHED_SHARE_MIN 61600U	/* 94% of answers report a level */
#define SHARE_WEIGHT_DIVISOR 32 /* weight of an answer: 1/32 */
#define TIME_SHIFT 24
#define US_PER_MS 1000
#define CHAIN_CLASS_SHIFT 6
#define CHAIN_HASH_SHIFT 58
#define CHAIN_HASH_MAX 63U
#define LEVEL_CLASS_SHIFT 8
#define LEVEL_BAND_SHIFT 6

static uint64_t pack_report(uint64_t, uint32_t, uint32_t);
static uint32_t unpack_level(uint64_t);
static uint32_t unpack_share(uint64_t);

/*
 * Returns the rank of a request by class and root hash only.
 */
uint32_t
admission_chain_rank(const struct admission_req *req)
{
	return (uint32_t)req->class << CHAIN_CLASS_SHIFT |
	       (uint32_t)(req->root_hash >> CHAIN_HASH_SHIFT);
}

/*
 * Converts the admission level that a server reported in its answer to an
 * inner call into a chain level: the rank of the least important request at
 * that call's depth that the server admits.
 */
uint32_t
admission_chain_level(uint32_t level, const struct admission_req *call)
{
	uint32_t call_band = admission_rank(call) >> LEVEL_BAND_SHIFT & 3;
	uint32_t band = level >> LEVEL_BAND_SHIFT & 3;
	uint32_t chain = level >> LEVEL_CLASS_SHIFT << CHAIN_CLASS_SHIFT;

	if (band > call_band)
		return chain | CHAIN_HASH_MAX;
	if (band < call_band)
		return chain > 0 ? chain - 1 : 0;
	return chain | (level & CHAIN_HASH_MAX);
}

/*
 * Initialises the state with no level reported.
 */
void
admission_downstream_init(struct admission_downstream *e)
{
	atomic_init(&e->last_report, 0);
}

/*
 * Returns the chain level that was last reported, or ADMISSION_CHAIN_LEVEL_ALL
 * if there is none.  The caller reports it further up the chain with a refusal
 * that this level caused.
 */
uint32_t
admission_downstream_level(const struct admission_downstream *e)
{
	uint64_t packed = atomic_load(&e->last_report);

	return packed == 0 ? ADMISSION_CHAIN_LEVEL_ALL : unpack_level(packed);
}

/*
 * Records the chain level of an answer: the lowest of the levels reported by
 * the inner calls of that request.
 */
void
admission_downstream_reported(
    struct admission_downstream *e, uint32_t level, uint64_t now_us)
{
	uint64_t packed = atomic_load(&e->last_report);
	uint32_t share;

	if (level > ADMISSION_CHAIN_LEVEL_ALL)
		return;
	do {
		share = unpack_share(packed);
		share += (SHARE_MAX - share) / SHARE_WEIGHT_DIVISOR;
	} while (!atomic_compare_exchange_weak(&e->last_report, &packed,
	    pack_report(now_us / US_PER_MS, share, level)));
}

/*
 * Records that a request was served completely and its answer reported no
 * level.  Requests of the same or higher importance are then admitted as
 * well.
 */
void
admission_downstream_served(
    struct admission_downstream *e, const struct admission_req *req)
{
	uint64_t packed = atomic_load(&e->last_report);
	uint32_t rank = admission_chain_rank(req), share, level;

	do {
		if (packed == 0)
			return;
		share = unpack_share(packed) -
			unpack_share(packed) / SHARE_WEIGHT_DIVISOR;
		level =
		    unpack_level(packed) > rank ? unpack_level(packed) : rank;
	} while (!atomic_compare_exchange_weak(&e->last_report, &packed,
	    pack_report(packed >> TIME_SHIFT, share, level)));
}

/*
 * Decides at an entry node whether to send a request, given the overload
 * that answers of its route reported.  rnd is a random number.
 */
enum admission_hint
admission_downstream_check(const struct admission_downstream *e,
    const struct admission_req *req, uint64_t now_us, uint64_t rnd)
{
	uint64_t packed = atomic_load(&e->last_report);

	if (packed == 0 ||
	    now_us / US_PER_MS > (packed >> TIME_SHIFT) + REPORT_MAX_AGE_MS ||
	    unpack_share(packed) < SHED_SHARE_MIN ||
	    admission_chain_rank(req) <= unpack_level(packed))
		return ADMISSION_HINT_SEND;
	if (rnd % PROBE_ONE_IN == 0)
		return ADMISSION_HINT_PROBE;
	return ADMISSION_HINT_SHED;
}

/*
 * Packs a report into one word: when the level was reported (ms), the share
 * of answers that report a level, and the level.
 */
static uint64_t
pack_report(uint64_t report_ms, uint32_t share, uint32_t level)
{
	return report_ms << TIME_SHIFT | (uint64_t)share << SHARE_SHIFT | level;
}

/*
 * Returns the chain level of a packed report.
 */
static uint32_t
unpack_level(uint64_t packed)
{
	return packed & ADMISSION_CHAIN_LEVEL_ALL;
}

/*
 * Returns the share of answers that report a level, of SHARE_MAX.
 */
static uint32_t
unpack_share(uint64_t packed)
{
	return packed >> SHARE_SHIFT & SHARE_MAX;
}

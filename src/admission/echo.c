#include "admission/admission.h"

/*
 * What an entry knows of overload further down the chain of a route.  A
 * request whose inner call would be shed is refused before its first server
 * works on it.  The level told up the chain is one of class and root hash
 * only, since the depth at which it holds differs from the depth at which it
 * is used.
 *
 * Not every request of a route need make inner calls, and the entry can't
 * tell which will.  So it sheds only on routes nearly all of whose answers
 * tell a level.
 */

#define REPORT_MAX_AGE_MS 1000 /* a level heard earlier is forgotten */
#define PROBE_ONE_IN 32	       /* one in 32 is sent against the level */
#define SHARE_SHIFT 8
#define SHARE_MAX 65535U
#define SHED_SHARE_MIN 61600U	/* 94% of the answers */
#define SHARE_WEIGHT_DIVISOR 32 /* an answer counts one in 32 */
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
 * Returns a request's place in the order of classes and root hashes.
 */
uint32_t
admission_chain_rank(const struct admission_req *req)
{
	return (uint32_t)req->class << CHAIN_CLASS_SHIFT |
	       (uint32_t)(req->root_hash >> CHAIN_HASH_SHIFT);
}

/*
 * Turns the level that a server has told in its answer to an inner call into
 * one for the chain: the last request of that call's depth that it lets in.
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
 * Begins with no level known.
 */
void
admission_echo_init(struct admission_echo *e)
{
	atomic_init(&e->last_report, 0);
}

/*
 * Returns the level last heard, to be told further up with a refusal that
 * it has caused.
 */
uint32_t
admission_echo_level(const struct admission_echo *e)
{
	uint64_t packed = atomic_load(&e->last_report);

	return packed == 0 ? ADMISSION_CHAIN_ALL : unpack_level(packed);
}

/*
 * Takes the chain level that an answer has told: the least of those told by
 * the inner calls made for it.
 */
void
admission_echo_heard(struct admission_echo *e, uint32_t level, uint64_t now_us)
{
	uint64_t packed = atomic_load(&e->last_report);
	uint32_t share;

	if (level > ADMISSION_CHAIN_ALL)
		return;
	do {
		share = unpack_share(packed);
		share += (SHARE_MAX - share) / SHARE_WEIGHT_DIVISOR;
	} while (!atomic_compare_exchange_weak(&e->last_report, &packed,
	    pack_report(now_us / US_PER_MS, share, level)));
}

/*
 * Notes that a request was served whole without telling a level: at least
 * what is as important passes.
 */
void
admission_echo_served(struct admission_echo *e, const struct admission_req *req)
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
 * Decides at an entry whether a request is worth sending, given what its
 * route's answers have told of overload below.  The last argument is a
 * random number.
 */
enum admission_hint
admission_echo_check(const struct admission_echo *e,
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
 * Returns what is remembered in one word: when (ms) the level was heard, the
 * share of answers that tell one, and the level.
 */
static uint64_t
pack_report(uint64_t report_ms, uint32_t share, uint32_t level)
{
	return report_ms << TIME_SHIFT | (uint64_t)share << SHARE_SHIFT | level;
}

/*
 * Returns the level in that word.
 */
static uint32_t
unpack_level(uint64_t packed)
{
	return packed & ADMISSION_CHAIN_ALL;
}

/*
 * Returns the share in that word.
 */
static uint32_t
unpack_share(uint64_t packed)
{
	return packed >> SHARE_SHIFT & SHARE_MAX;
}

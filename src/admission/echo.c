#include "admission/admission.h"

/*
 * What an entry knows of overload further down the chain of a route.  A
 * request whose inner call would be shed is refused before its first server
 * works on it.  The level told up the chain is one of class and root hash
 * only, since the depth at which it holds differs from the depth at which it
 * is used.
 */

#define ECHO_AGE_US 1000000 /* a level heard earlier is forgotten */
#define ECHO_PROBE_SHARE 32 /* one in 32 is sent against the level */
#define ECHO_LEVEL_BITS 8
#define ECHO_LEVEL_MASK ADMISSION_CHAIN_ALL
#define CHAIN_CLASS_SHIFT 6
#define CHAIN_HASH_SHIFT 58
#define CHAIN_HASH_MAX 63U
#define LEVEL_CLASS_SHIFT 8
#define LEVEL_BAND_SHIFT 6

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
	uint32_t mine = admission_rank(call) >> LEVEL_BAND_SHIFT & 3;
	uint32_t band = level >> LEVEL_BAND_SHIFT & 3;
	uint32_t chain = level >> LEVEL_CLASS_SHIFT << CHAIN_CLASS_SHIFT;

	if (band > mine)
		return chain | CHAIN_HASH_MAX;
	if (band < mine)
		return chain > 0 ? chain - 1 : 0;
	return chain | (level & CHAIN_HASH_MAX);
}

/*
 * Begins with no level known.
 */
void
admission_echo_init(struct admission_echo *e)
{
	atomic_init(&e->heard, 0);
}

/*
 * Returns the level last heard, to be told further up with a refusal that
 * it has caused.
 */
uint32_t
admission_echo_level(const struct admission_echo *e)
{
	uint64_t was = atomic_load(&e->heard);

	return was == 0 ? ADMISSION_CHAIN_ALL
			: (uint32_t)(was & ECHO_LEVEL_MASK);
}

/*
 * Takes the chain level that an answer has told: the least of those told by
 * the inner calls made for it.
 */
void
admission_echo_heard(struct admission_echo *e, uint32_t level, uint64_t now_us)
{
	if (level > ECHO_LEVEL_MASK)
		return;
	atomic_store(&e->heard, now_us << ECHO_LEVEL_BITS | level);
}

/*
 * Notes that a request was served whole without telling a level: at least
 * what is as important passes.
 */
void
admission_echo_served(struct admission_echo *e, const struct admission_req *req)
{
	uint64_t was = atomic_load(&e->heard);
	uint32_t rank = admission_chain_rank(req);

	while (was != 0 && rank > (was & ECHO_LEVEL_MASK) &&
	       !atomic_compare_exchange_weak(
		   &e->heard, &was, (was & ~(uint64_t)ECHO_LEVEL_MASK) | rank))
		;
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
	uint64_t was = atomic_load(&e->heard);

	if (was == 0 || now_us > (was >> ECHO_LEVEL_BITS) + ECHO_AGE_US ||
	    admission_chain_rank(req) <= (was & ECHO_LEVEL_MASK))
		return ADMISSION_HINT_SEND;
	if (rnd % ECHO_PROBE_SHARE == 0)
		return ADMISSION_HINT_PROBE;
	return ADMISSION_HINT_SHED;
}

#include <err.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "retry/parents.h"

static struct parents_stripe *stripe_of(
    struct parents *, const unsigned char *);

/*
 * Initialises an empty table.
 */
void
parents_init(struct parents *ps)
{
	size_t i;

	memset(ps, 0, sizeof(*ps));
	for (i = 0; i < PARENTS_STRIPES; i++)
		pthread_mutex_init(&ps->stripes[i].lock, NULL);
}

/*
 * Frees the table.  No thread may use it any more, and all parents must have
 * been ended.
 */
void
parents_finish(struct parents *ps)
{
	size_t i;

	for (i = 0; i < PARENTS_STRIPES; i++)
		pthread_mutex_destroy(&ps->stripes[i].lock);
}

/*
 * Adds a request that is about to be sent to the local server, with the
 * retries granted to it, under a new random token.  Exits the process if
 * memory is exhausted.
 */
struct parent *
parents_add(
    struct parents *ps, const struct parent_context *ctx, uint32_t granted)
{
	struct parents_stripe *stripe;
	struct parent *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		err(1, "cannot allocate a parent request");
	randombytes_buf(p->token, sizeof(p->token));
	p->context = *ctx;
	retry_chain_init(&p->chain, granted);
	pthread_mutex_init(&p->lock, NULL);
	atomic_init(&p->refs, 1);
	atomic_init(&p->chain_level, ADMISSION_CHAIN_LEVEL_UNKNOWN);
	stripe = stripe_of(ps, p->token);
	pthread_mutex_lock(&stripe->lock);
	p->next = stripe->head;
	stripe->head = p;
	stripe->count++;
	pthread_mutex_unlock(&stripe->lock);
	return p;
}

/*
 * Ends a request.  Its token becomes unknown, and inner calls in flight see
 * that it has ended.  Returns the remaining retries for its answer.  The
 * caller must not use the parent afterwards.
 */
uint32_t
parents_end(struct parents *ps, struct parent *p)
{
	struct parents_stripe *stripe = stripe_of(ps, p->token);
	struct parent **link;
	uint32_t left;

	pthread_mutex_lock(&stripe->lock);
	for (link = &stripe->head; *link != NULL; link = &(*link)->next) {
		if (*link != p)
			continue;
		*link = p->next;
		stripe->count--;
		break;
	}
	pthread_mutex_unlock(&stripe->lock);
	atomic_store(&p->ended, 1);
	left = retry_chain_close(&p->chain);
	parent_put(p);
	return left;
}

/*
 * Returns the running request with this token (hexadecimal text), or NULL.
 * The caller must release the reference with parent_put().  Tokens are
 * compared in constant time.
 */
struct parent *
parents_get(struct parents *ps, const char *text)
{
	unsigned char token[PARENT_TOKEN_BYTES];
	struct parents_stripe *stripe;
	struct parent *p;
	size_t len;

	if (strlen(text) != PARENT_TOKEN_TEXT - 1 ||
	    sodium_hex2bin(token, sizeof(token), text, PARENT_TOKEN_TEXT - 1,
		NULL, &len, NULL) != 0 ||
	    len != sizeof(token))
		return NULL;
	stripe = stripe_of(ps, token);
	pthread_mutex_lock(&stripe->lock);
	for (p = stripe->head; p != NULL; p = p->next) {
		if (sodium_memcmp(p->token, token, sizeof(token)) == 0)
			break;
	}
	if (p != NULL)
		atomic_fetch_add(&p->refs, 1);
	pthread_mutex_unlock(&stripe->lock);
	return p;
}

/*
 * Releases a reference.
 */
void
parent_put(struct parent *p)
{
	if (atomic_fetch_sub(&p->refs, 1) != 1)
		return;
	pthread_mutex_destroy(&p->lock);
	free(p);
}

/*
 * Stores the request hash of an inner call that failed.
 */
void
parent_record_failed_call(struct parent *p, uint64_t call)
{
	pthread_mutex_lock(&p->lock);
	if (p->failed_call_count < PARENT_FAILED_CALLS_MAX)
		p->failed_calls[p->failed_call_count++] = call;
	pthread_mutex_unlock(&p->lock);
}

/*
 * Reports whether an inner call failed before and so is a retry by the
 * server itself.  When the store of failed calls is full, every call counts
 * as a retry.
 */
int
parent_call_is_retry(struct parent *p, uint64_t call)
{
	uint32_t i;
	int is_retry;

	pthread_mutex_lock(&p->lock);
	for (i = 0; i < p->failed_call_count && p->failed_calls[i] != call; i++)
		;
	is_retry = i < p->failed_call_count ||
		   p->failed_call_count == PARENT_FAILED_CALLS_MAX;
	pthread_mutex_unlock(&p->lock);
	return is_retry;
}

/*
 * Reports whether an inner call has failed.  A failure of the request then
 * says nothing about its own server.
 */
int
parent_has_failed_calls(struct parent *p)
{
	int failed;

	pthread_mutex_lock(&p->lock);
	failed = p->failed_call_count > 0;
	pthread_mutex_unlock(&p->lock);
	return failed;
}

/*
 * Records the chain level that the answer to an inner call reported.
 */
void
parent_lower_chain_level(struct parent *p, uint32_t level)
{
	unsigned int current = atomic_load(&p->chain_level);

	while (level < current &&
	       !atomic_compare_exchange_weak(&p->chain_level, &current, level))
		;
}

/*
 * Returns the minimum chain level reported to the inner calls, or
 * ADMISSION_CHAIN_LEVEL_UNKNOWN.
 */
uint32_t
parent_chain_level(const struct parent *p)
{
	return atomic_load(&p->chain_level);
}

/*
 * Reports whether the request has ended.  Work for it is then wasted.
 */
int
parent_has_ended(const struct parent *p)
{
	return atomic_load(&p->ended);
}

/*
 * Writes the token into PARENT_TOKEN_TEXT bytes.
 */
void
parent_token_format(const struct parent *p, char *buf)
{
	sodium_bin2hex(buf, PARENT_TOKEN_TEXT, p->token, sizeof(p->token));
}

/*
 * Returns the number of requests that the local server is running.
 */
uint32_t
parents_count(struct parents *ps)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < PARENTS_STRIPES; i++) {
		pthread_mutex_lock(&ps->stripes[i].lock);
		n += ps->stripes[i].count;
		pthread_mutex_unlock(&ps->stripes[i].lock);
	}
	return n;
}

/*
 * Returns the stripe of a token.
 */
static struct parents_stripe *
stripe_of(struct parents *ps, const unsigned char *token)
{
	return &ps->stripes[token[0] % PARENTS_STRIPES];
}

#ifndef RETRY_PARENTS_H
#define RETRY_PARENTS_H

#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "admission/admission.h"
#include "retry/retry.h"

#define PARENT_TOKEN_BYTES 16
#define PARENT_TOKEN_TEXT 33	/* hexadecimal, with the final NUL */
#define PARENT_WORKSPACE_MAX 64 /* bytes of a name, with the final NUL */
#define PARENTS_STRIPES 64
#define PARENT_FAILED_CALLS_MAX 32 /* stored per request */

/* Attributes that inner calls inherit from the request being run. */
struct parent_context {
	uint64_t root_hash;
	uint64_t root_fingerprint[2]; /* fingerprint of the root request */
	uint64_t key_tag; /* tag of the root request's API key, or 0 */
	uint64_t deadline_us;
	enum admission_class class;
	uint32_t depth;
	char workspace[PARENT_WORKSPACE_MAX]; /* empty without API key */
};

/*
 * A request that the local server is running.  The chain holds the retries
 * granted to it.  The struct is freed when the last reference is released.
 */
struct parent {
	struct parent *next;
	unsigned char token[PARENT_TOKEN_BYTES];
	struct parent_context context;
	struct retry_chain chain;
	pthread_mutex_t lock; /* protects the failed calls */
	uint64_t failed_calls[PARENT_FAILED_CALLS_MAX]; /* request hashes */
	uint32_t failed_call_count;
	atomic_uint refs;
	atomic_int ended;
	atomic_uint chain_level; /* minimum reported to its inner calls */
};

struct parents_stripe {
	pthread_mutex_t lock;
	struct parent *head;
	uint32_t count;
};

struct parents {
	struct parents_stripe stripes[PARENTS_STRIPES];
};

void parents_init(struct parents *);
void parents_finish(struct parents *);
struct parent *parents_add(
    struct parents *, const struct parent_context *, uint32_t);
uint32_t parents_end(struct parents *, struct parent *);
struct parent *parents_get(struct parents *, const char *);
void parent_put(struct parent *);
void parent_record_failed_call(struct parent *, uint64_t);
int parent_call_is_retry(struct parent *, uint64_t);
void parent_lower_chain_level(struct parent *, uint32_t);
uint32_t parent_chain_level(const struct parent *);
int parent_has_failed_calls(struct parent *);
int parent_has_ended(const struct parent *);
void parent_token_format(const struct parent *, char *);
uint32_t parents_count(struct parents *);

#endif

#include <err.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/age.h"
#include "base/counter.h"
#include "limits/limits_int.h"

/* Time over which empty_requests are counted. */
#define EMPTY_WINDOW_US 100000
#define RETRY_AFTER_MIN_US 1000 /* until an entry node's next request */
#define RETRY_AFTER_MAX_US 400000
/* Spaces out the requests of all entry nodes for an overloaded limit. */
#define RETRY_AFTER_PER_REQUEST_US 500
/* An empty bucket is no sign of use for this long after a new lease. */
#define NEW_OWNER_US 1000000
#define US_PER_MS 1000

/* The bucket of one shard. */
struct limits_shard_bucket {
	struct limits_shard_bucket *next;
	uint64_t hash;
	uint32_t part;
	uint64_t tenure;	 /* of the lease that the bucket belongs to */
	uint64_t empty_since_us; /* when it started empty; 0: started full */
	uint64_t window_start_us;
	/* Loan requests in this window that left the bucket empty. */
	uint32_t empty_requests;
	uint32_t previous_empty_requests; /* the same, in the previous window */
	struct limits_bucket bucket;
	pthread_mutex_t lock; /* guards all but next, hash and part */
};

static struct limits_shard_bucket *find_shard_bucket(
    struct limits_shard_bucket *, uint64_t, uint32_t);
static struct limits_shard_bucket *get_shard_bucket(
    struct limits *, uint64_t, uint32_t);
static int apply_lease_and_limit(struct limits_shard_bucket *,
    const struct lease_view *, const struct limits_workspace *, uint64_t);
static uint32_t count_empty_request(struct limits_shard_bucket *, uint64_t);
static struct limits_shard_bucket *lock_shard_bucket(struct limits *, uint64_t,
    uint32_t, struct lease_view *, uint64_t, limits_status *);

/*
 * Frees all shard buckets.
 */
void
limits_owner_finish(struct limits *l)
{
	struct limits_shard_bucket *s, *next;
	size_t i;

	for (i = 0; i < LIMITS_TABLE_CHAINS; i++)
		for (s = l->shard_buckets[i]; s != NULL; s = next) {
			next = s->next;
			bucket_finish(&s->bucket);
			pthread_mutex_destroy(&s->lock);
			free(s);
		}
}

/*
 * Returns the shard bucket of a workspace and partition in a chain, or NULL.
 */
static struct limits_shard_bucket *
find_shard_bucket(struct limits_shard_bucket *s, uint64_t hash, uint32_t part)
{
	while (s != NULL && (s->hash != hash || s->part != part))
		s = s->next;
	return s;
}

/*
 * Returns the shard bucket of a workspace in a partition, a new one if there
 * was none.  Shard buckets are never removed; hence a lookup takes no lock
 * unless it inserts.
 */
static struct limits_shard_bucket *
get_shard_bucket(struct limits *l, uint64_t hash, uint32_t part)
{
	size_t i = (hash / LEASE_PARTS + part) % LIMITS_TABLE_CHAINS;
	struct limits_shard_bucket *s;

	s = find_shard_bucket(atomic_load(&l->shard_buckets[i]), hash, part);
	if (s != NULL)
		return s;
	pthread_mutex_lock(&l->lock);
	s = find_shard_bucket(atomic_load(&l->shard_buckets[i]), hash, part);
	if (s == NULL) {
		s = calloc(1, sizeof(*s));
		if (s == NULL)
			err(1, "cannot allocate a rate limit bucket");
		s->hash = hash;
		s->part = part;
		pthread_mutex_init(&s->lock, NULL);
		s->next = atomic_load(&l->shard_buckets[i]);
		atomic_store(&l->shard_buckets[i], s);
	}
	pthread_mutex_unlock(&l->lock);
	return s;
}

/*
 * Applies the current lease and limit to a locked shard bucket.  With a new
 * lease the bucket starts empty; it starts full only if the lease is the first
 * ever and the limit was in the first configuration.  Returns 0, or -1 if the
 * partition holds no shard of the limit or the bucket belongs to a newer
 * lease.
 */
static int
apply_lease_and_limit(struct limits_shard_bucket *s, const struct lease_view *v,
    const struct limits_workspace *ws, uint64_t now_us)
{
	struct limits_share share;
	uint64_t start_ms;
	int shard = limits_partition_shard(ws, s->part), full;

	if (shard == -1 || v->tenure < s->tenure)
		return -1;
	limits_compute_share(ws, (uint32_t)shard, &share);
	if (v->tenure == s->tenure) {
		bucket_resize(&s->bucket, &share, now_us);
		return 0;
	}
	full = v->first && ws->changed_ms == 0;
	start_ms = v->effective_ms;
	if (ws->changed_ms > start_ms)
		start_ms = ws->changed_ms;
	bucket_finish(&s->bucket);
	bucket_init(&s->bucket, &share, full, start_ms * US_PER_MS);
	s->empty_since_us = full ? 0 : start_ms * US_PER_MS;
	s->tenure = v->tenure;
	return 0;
}

/*
 * Counts a request for a loan that left the bucket empty.  Returns the time
 * (us) after which the entry node should try again: when the next token is
 * due, but late enough to space out the requests of the previous window.
 */
static uint32_t
count_empty_request(struct limits_shard_bucket *s, uint64_t now_us)
{
	uint64_t wait = bucket_wait_us(&s->bucket, 1), spacing;

	if (age_at(now_us, s->window_start_us) >= EMPTY_WINDOW_US) {
		s->previous_empty_requests =
		    age_at(now_us, s->window_start_us) < 2 * EMPTY_WINDOW_US
			? s->empty_requests
			: 0;
		s->empty_requests = 0;
		s->window_start_us = now_us;
	}
	s->empty_requests++;
	spacing =
	    (uint64_t)s->previous_empty_requests * RETRY_AFTER_PER_REQUEST_US;
	if (wait < spacing)
		wait = spacing;
	if (wait < RETRY_AFTER_MIN_US)
		wait = RETRY_AFTER_MIN_US;
	return (
	    uint32_t)(wait < RETRY_AFTER_MAX_US ? wait : RETRY_AFTER_MAX_US);
}

/*
 * Returns the locked shard bucket if this node owns it at now_us, or NULL with
 * the reason in *st.
 */
static struct limits_shard_bucket *
lock_shard_bucket(struct limits *l, uint64_t hash, uint32_t part,
    struct lease_view *v, uint64_t now_us, limits_status *st)
{
	struct limits_workspace ws;
	struct limits_shard_bucket *s;

	*st = LIMITS_NOT_OWNER;
	if (part >= LEASE_PARTS)
		return NULL;
	l->cfg.lookup(l->cfg.lookup_ctx, part, now_us / US_PER_MS, v);
	if (v->valid_until_ms <= now_us / US_PER_MS + 1)
		return NULL;
	if (l->cfg.find_limit(l->cfg.find_limit_ctx, hash, &ws) == -1 ||
	    limits_partition_shard(&ws, part) == -1) {
		*st = LIMITS_NO_WORKSPACE;
		return NULL;
	}
	s = get_shard_bucket(l, hash, part);
	pthread_mutex_lock(&s->lock);
	if (apply_lease_and_limit(s, v, &ws, now_us) == 0)
		return s;
	pthread_mutex_unlock(&s->lock);
	return NULL;
}

/*
 * Grants a loan if this node is the owner.  No loan outlives the lease: the
 * entry node counts the lifetime from before its request, hence from before
 * now.
 */
void
limits_serve_token_request(struct limits *l,
    const limits_token_request_arg *arg, limits_token_request_res *res)
{
	uint64_t now = l->cfg.clock_us(), life_ms, expire_us;
	struct lease_view v;
	struct limits_shard_bucket *s;
	u_int i;

	memset(res, 0, sizeof(*res));
	s = lock_shard_bucket(
	    l, arg->workspace, arg->part, &v, now, &res->status);
	if (s == NULL)
		return;
	life_ms = v.valid_until_ms - now / US_PER_MS - 1;
	if (life_ms > arg->life_ms)
		life_ms = arg->life_ms;
	if (life_ms > LIMITS_LOAN_MAX_MS)
		life_ms = LIMITS_LOAN_MAX_MS;
	expire_us = now + (life_ms + LIMITS_EXPIRY_MARGIN_MS) * US_PER_MS;
	for (i = 0; i < arg->reports.reports_len; i++)
		bucket_settle_loan(&s->bucket, arg->reports.reports_val[i].loan,
		    arg->reports.reports_val[i].unspent, now);
	res->tokens = bucket_grant(
	    &s->bucket, arg->loan, arg->need, arg->want, now, expire_us);
	res->status = LIMITS_GRANTED;
	res->level = bucket_level(&s->bucket);
	res->life_ms = (u_int)life_ms;
	if (arg->need > res->tokens || bucket_wait_us(&s->bucket, 1) > 0)
		res->retry_after_us = count_empty_request(s, now);
	if (arg->need > 0 && res->tokens == 0)
		res->status = LIMITS_EMPTY;
	res->bucket_is_new =
	    s->empty_since_us != 0 && now < s->empty_since_us + NEW_OWNER_US;
	pthread_mutex_unlock(&s->lock);
	counter_add(CTR_LOANS_GRANTED, res->tokens);
}

/*
 * Puts the unspent tokens that an entry node reports back into the bucket.
 */
void
limits_serve_report(
    struct limits *l, const limits_report_arg *arg, limits_report_res *res)
{
	uint64_t now = l->cfg.clock_us();
	struct lease_view v;
	struct limits_shard_bucket *s;
	limits_status st;
	u_int i;

	res->taken = 0;
	s = lock_shard_bucket(l, arg->workspace, arg->part, &v, now, &st);
	if (s == NULL)
		return;
	for (i = 0; i < arg->reports.reports_len; i++)
		if (bucket_settle_loan(&s->bucket,
			arg->reports.reports_val[i].loan,
			arg->reports.reports_val[i].unspent, now) == 0)
			res->taken++;
	pthread_mutex_unlock(&s->lock);
}

/*
 * Prints every shard bucket that this node owns or has owned.
 */
void
limits_owner_dump(struct limits *l, FILE *out)
{
	struct limits_shard_bucket *s;
	size_t i;

	for (i = 0; i < LIMITS_TABLE_CHAINS; i++)
		for (s = atomic_load(&l->shard_buckets[i]); s != NULL;
		     s = s->next) {
			pthread_mutex_lock(&s->lock);
			fprintf(out,
			    "bucket workspace=%016" PRIx64 " part=%u "
			    "tenure=%" PRIu64 " level=%.3f outstanding=%" PRIu64
			    " burst=%u rate=%.3f\n",
			    s->hash, s->part, s->tenure,
			    (double)s->bucket.level_nt / 1e9,
			    s->bucket.outstanding, s->bucket.share.burst,
			    (double)s->bucket.share.rate_mt / 1e3);
			pthread_mutex_unlock(&s->lock);
		}
}

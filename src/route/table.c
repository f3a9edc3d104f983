#include <err.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "route/route.h"

#define HASH_MULTIPLIER 0x9e3779b97f4a7c15ULL

static uint64_t server_key(const struct node_id *);
static struct route_bucket *bucket_of(const struct route_table *, uint64_t);
static struct route_stat *find_stat(struct route_bucket *, uint64_t);
static struct route_stat *find_or_add(struct route_bucket *, uint64_t);

/*
 * Initialises an empty table of observations.  Exits the process if memory
 * is exhausted.
 */
void
route_table_init(struct route_table *b)
{
	size_t i;

	b->buckets = calloc(ROUTE_BUCKETS, sizeof(*b->buckets));
	if (b->buckets == NULL)
		err(1, "cannot allocate the table of server observations");
	for (i = 0; i < ROUTE_BUCKETS; i++)
		pthread_mutex_init(&b->buckets[i].lock, NULL);
}

/*
 * Frees the table.  No thread may use it any more.
 */
void
route_table_finish(struct route_table *b)
{
	size_t i;

	for (i = 0; i < ROUTE_BUCKETS; i++)
		pthread_mutex_destroy(&b->buckets[i].lock);
	free(b->buckets);
	b->buckets = NULL;
}

/*
 * Records that a request is being sent to a server.  Each call must be
 * followed by one call of route_request_ended().
 */
void
route_request_started(
    struct route_table *b, const struct node_id *id, uint64_t now_ms)
{
	uint64_t key = server_key(id);
	struct route_bucket *bk = bucket_of(b, key);
	struct route_stat *s;

	pthread_mutex_lock(&bk->lock);
	s = find_or_add(bk, key);
	s->inflight++;
	s->last_used_ms = now_ms;
	pthread_mutex_unlock(&bk->lock);
}

/*
 * Records the outcome of a request to a server, its latency, and the load
 * that the answer reported, or NULL.
 */
void
route_request_ended(struct route_table *b, const struct node_id *id,
    enum route_outcome outcome, uint64_t latency_us,
    const struct admission_load *load, uint64_t now_ms)
{
	uint64_t key = server_key(id);
	struct route_bucket *bk = bucket_of(b, key);
	struct route_stat *s;

	pthread_mutex_lock(&bk->lock);
	s = find_or_add(bk, key);
	if (s->inflight > 0)
		s->inflight--;
	route_stat_update(s, outcome, latency_us, load, now_ms);
	pthread_mutex_unlock(&bk->lock);
}

/*
 * Copies the observations of a server; all zero if there are none.
 */
void
route_table_get(
    struct route_table *b, const struct node_id *id, struct route_stat *out)
{
	uint64_t key = server_key(id);
	struct route_bucket *bk = bucket_of(b, key);
	struct route_stat *s;

	pthread_mutex_lock(&bk->lock);
	s = find_stat(bk, key);
	if (s != NULL)
		*out = *s;
	else
		memset(out, 0, sizeof(*out));
	pthread_mutex_unlock(&bk->lock);
}

/*
 * Chooses a server by the table's observations.  Returns its index, or -1
 * with the reason.  If there are more than ROUTE_CANDIDATES_MAX candidates,
 * considers a random contiguous range of them.
 */
int
route_table_choose(struct route_table *b, const struct route_candidate *cand,
    size_t count, const struct route_query *q, enum route_reason *why)
{
	struct route_stat *stats;
	size_t i, first = 0;
	int chosen;

	if (count > ROUTE_CANDIDATES_MAX) {
		first = (q->rnd >> 32) % (count - ROUTE_CANDIDATES_MAX + 1);
		count = ROUTE_CANDIDATES_MAX;
	}
	/* On the heap, because used stack pages of a thread stay resident. */
	stats = calloc(count + 1, sizeof(*stats));
	if (stats == NULL)
		err(1, "cannot allocate the observations of candidates");
	for (i = 0; i < count; i++)
		route_table_get(b, &cand[first + i].id, &stats[i]);
	chosen = route_choose(cand + first, stats, count, q, why);
	free(stats);
	return chosen < 0 ? chosen : (int)first + chosen;
}

/*
 * Prints one line per candidate.
 */
void
route_dump(struct route_table *b, const struct route_candidate *cand,
    size_t count, uint64_t now_ms, FILE *out)
{
	char name[NODE_ID_TEXT];
	struct route_stat s;
	size_t i;

	for (i = 0; i < count; i++) {
		route_table_get(b, &cand[i].id, &s);
		nodeid_format(&cand[i].id, name);
		fprintf(out,
		    "route server=%s slots=%u inflight=%u told=%u/%u "
		    "level=%u latency_us=%.0f good=%.1f bad=%.1f streak=%u "
		    "ejections=%u ejected_ms=%" PRIu64 " returning=%d "
		    "leaving=%d\n",
		    name, cand[i].slots, s.inflight, s.load.inflight,
		    s.load.limit, s.load.level, s.latency_us, s.successes,
		    s.failures, s.consecutive_failures, s.ejections,
		    s.ejected_until_ms > now_ms ? s.ejected_until_ms - now_ms
						: 0,
		    s.needs_probe,
		    cand[i].leaving || now_ms < s.leaving_until_ms);
	}
}

/*
 * Returns a hash of a server's id, never 0.
 */
static uint64_t
server_key(const struct node_id *id)
{
	uint64_t h = id->incarnation;

	h ^= ((uint64_t)id->addr << 16 | id->rpc_port) * HASH_MULTIPLIER;
	h ^= h >> 31;
	h *= HASH_MULTIPLIER;
	h ^= h >> 29;
	return h != 0 ? h : 1;
}

/*
 * Returns the bucket of a key.
 */
static struct route_bucket *
bucket_of(const struct route_table *b, uint64_t key)
{
	return &b->buckets[key % ROUTE_BUCKETS];
}

/*
 * Returns the observations with this key, or NULL.
 */
static struct route_stat *
find_stat(struct route_bucket *bk, uint64_t key)
{
	size_t i;

	for (i = 0; i < ROUTE_WAYS; i++) {
		if (bk->ways[i].key == key)
			return &bk->ways[i];
	}
	return NULL;
}

/*
 * Returns the observations with this key.  If there are none, replaces the
 * least recently used entry of the bucket, preferably one without requests
 * in flight.
 */
static struct route_stat *
find_or_add(struct route_bucket *bk, uint64_t key)
{
	struct route_stat *s = find_stat(bk, key), *w;
	size_t i;

	if (s != NULL)
		return s;
	s = &bk->ways[0];
	for (i = 1; i < ROUTE_WAYS; i++) {
		w = &bk->ways[i];
		if (!w->inflight != !s->inflight
			? w->inflight == 0
			: w->last_used_ms < s->last_used_ms)
			s = w;
	}
	memset(s, 0, sizeof(*s));
	s->key = key;
	return s;
}

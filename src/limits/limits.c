#include <err.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "limits/limits_int.h"

static struct limits_entry *find_entry(struct limits_entry *, uint64_t);
static int handle_token_request(
    void *, const struct sockaddr_in *, const void *, void *);
static int handle_report(
    void *, const struct sockaddr_in *, const void *, void *);

const struct rpc_proc limits_procs[LIMITS_PROC_MAX] = {
	[LIMITS_PROC_TOKEN_REQUEST] = { RPC_BLOCK_LIMITS + 1,
	    (xdrproc_t)xdr_limits_token_request_arg,
	    sizeof(limits_token_request_arg),
	    (xdrproc_t)xdr_limits_token_request_res,
	    sizeof(limits_token_request_res), handle_token_request },
	[LIMITS_PROC_REPORT] = { RPC_BLOCK_LIMITS + 2,
	    (xdrproc_t)xdr_limits_report_arg, sizeof(limits_report_arg),
	    (xdrproc_t)xdr_limits_report_res, sizeof(limits_report_res),
	    handle_report },
};

/*
 * Initialises the limits of a node.
 */
void
limits_init(struct limits *l, const struct limits_config *cfg)
{
	memset(l, 0, sizeof(*l));
	l->cfg = *cfg;
	if (l->cfg.clock_us == NULL)
		l->cfg.clock_us = clock_us;
	pthread_mutex_init(&l->lock, NULL);
}

/*
 * Frees all memory.  No thread may use the limits any more.
 */
void
limits_finish(struct limits *l)
{
	struct limits_entry *e, *next;
	size_t i;

	limits_owner_finish(l);
	for (i = 0; i < LIMITS_TABLE_CHAINS; i++)
		for (e = l->entries[i]; e != NULL; e = next) {
			next = e->next;
			pthread_mutex_destroy(&e->lock);
			pthread_cond_destroy(&e->borrow_done);
			free(e);
		}
	pthread_mutex_destroy(&l->lock);
}

/*
 * Returns the entry of a workspace in a chain, or NULL.
 */
static struct limits_entry *
find_entry(struct limits_entry *e, uint64_t hash)
{
	while (e != NULL && e->hash != hash)
		e = e->next;
	return e;
}

/*
 * Returns the entry of a workspace, a new one if there was none.  Entries are
 * never removed; hence a lookup takes no lock unless it inserts.
 */
struct limits_entry *
limits_entry_get(struct limits *l, uint64_t hash)
{
	size_t i = hash % LIMITS_TABLE_CHAINS;
	struct limits_entry *e;
	pthread_condattr_t attr;

	e = find_entry(atomic_load(&l->entries[i]), hash);
	if (e != NULL)
		return e;
	pthread_mutex_lock(&l->lock);
	e = find_entry(atomic_load(&l->entries[i]), hash);
	if (e == NULL) {
		e = calloc(1, sizeof(*e));
		if (e == NULL)
			err(1, "entry_get");
		e->hash = hash;
		pthread_mutex_init(&e->lock, NULL);
		pthread_condattr_init(&attr);
		pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
		pthread_cond_init(&e->borrow_done, &attr);
		pthread_condattr_destroy(&attr);
		e->next = atomic_load(&l->entries[i]);
		atomic_store(&l->entries[i], e);
	}
	pthread_mutex_unlock(&l->lock);
	return e;
}

/*
 * Handles the RPC by which an entry node borrows tokens.
 */
static int
handle_token_request(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	limits_serve_token_request(ctx, arg, res);
	return 0;
}

/*
 * Handles the RPC by which an entry node reports unspent tokens.
 */
static int
handle_report(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	limits_serve_report(ctx, arg, res);
	return 0;
}

/*
 * Prints the loans of this node as an entry node and its buckets as an owner.
 */
void
limits_dump(struct limits *l, FILE *out)
{
	struct limits_entry *e;
	size_t i;

	for (i = 0; i < LIMITS_TABLE_CHAINS; i++)
		for (e = atomic_load(&l->entries[i]); e != NULL; e = e->next) {
			pthread_mutex_lock(&e->lock);
			fprintf(out,
			    "loans workspace=%016" PRIx64 " held=%u "
			    "demand=%.1f\n",
			    e->hash,
			    limits_available_tokens(e, l->cfg.clock_us()),
			    e->demand_rate_per_s);
			pthread_mutex_unlock(&e->lock);
		}
	limits_owner_dump(l, out);
}

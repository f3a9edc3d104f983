#include <string.h>

#include "base/age.h"
#include "once/once_int.h"

#define COPY_RETRY_MS 200 /* after the start of a copy that failed */

static int is_standby(struct once *, uint32_t, uint64_t, uint64_t);
static int update_standby_term(struct once_part *, uint64_t, uint64_t);
static int next_page(struct once *, uint32_t, const struct lease_view *,
    size_t *, uint32_t *, once_copy_arg *);
static void copy_part(struct once *, uint32_t, const struct lease_view *);
static void free_unused_memory(
    struct once *, uint32_t, const struct lease_view *);

/*
 * Returns whether this node may act as the standby in a term: it knows of no
 * newer term, and of no other standby in this one.
 */
static int
is_standby(struct once *o, uint32_t part, uint64_t term, uint64_t now_ms)
{
	struct lease_view v;

	o->cfg.lookup(o->cfg.lookup_ctx, part, now_ms, &v);
	if (v.term != term)
		return v.term < term;
	return nodeid_equal(&v.standby, &o->cfg.self);
}

/*
 * Updates a locked partition to a term in which this node is the standby.
 * Returns 0, or -1 if the node has acted as standby in a newer term, or as
 * owner in this one or a newer one.
 */
static int
update_standby_term(struct once_part *p, uint64_t term, uint64_t now_ms)
{
	if (p->term >= term || p->standby_term > term)
		return -1;
	if (p->standby_term < term) {
		p->standby_term = term;
		p->copy_complete = 0;
	}
	p->last_used_ms = now_ms;
	return 0;
}

/*
 * Records an id for the owner of a term, so that this node knows the id if
 * it takes the partition over.
 */
void
once_serve_note(struct once *o, const once_note_arg *arg, once_note_res *res)
{
	uint64_t now = o->cfg.clock_ms();
	uint32_t now_s = (uint32_t)(now / MS_PER_S), part;
	struct once_part *p;
	struct once_id id;

	res->noted = 0;
	memcpy(id.byte, arg->id, sizeof(id.byte));
	part = once_part(&id);
	p = &o->part[part];
	if (!is_standby(o, part, arg->term, now))
		return;
	pthread_mutex_lock(&p->lock);
	if (update_standby_term(p, arg->term, now) == 0)
		res->noted = memory_add_noted(&p->memory, &id, arg->attempt,
				 now_s, now_s) == 0;
	pthread_mutex_unlock(&p->lock);
}

/*
 * Adds a page of the owner's memory.  After the last page the memory is
 * complete.
 */
void
once_serve_copy(struct once *o, const once_copy_arg *arg, once_copy_res *res)
{
	uint64_t now = o->cfg.clock_ms();
	uint32_t now_s = (uint32_t)(now / MS_PER_S);
	const once_copy_cell *c;
	struct once_part *p;
	struct once_id id;
	u_int i;

	res->accepted = 0;
	if (arg->part >= LEASE_PARTS ||
	    !is_standby(o, arg->part, arg->term, now))
		return;
	p = &o->part[arg->part];
	pthread_mutex_lock(&p->lock);
	res->accepted = update_standby_term(p, arg->term, now) == 0;
	for (i = 0; i < arg->cells.cells_len && res->accepted; i++) {
		c = &arg->cells.cells_val[i];
		memcpy(id.byte, c->id, sizeof(id.byte));
		if (once_part(&id) != arg->part || c->age_s > now_s ||
		    memory_add_noted(&p->memory, &id, c->attempt,
			now_s - c->age_s, now_s) == -1)
			res->accepted = 0;
	}
	if (res->accepted && arg->last) {
		p->copy_complete = 1;
		p->copy_since_ms = (int64_t)now - (int64_t)arg->age_ms;
	}
	pthread_mutex_unlock(&p->lock);
}

/*
 * Fills the next page of the copy to a lease's standby.  Entries have the
 * standby note later claims.  Returns 1 if there is a page, or 0 if the
 * lease has been replaced or the table rebuilt since the first page.
 */
static int
next_page(struct once *o, uint32_t part, const struct lease_view *v,
    size_t *pos, uint32_t *generation, once_copy_arg *arg)
{
	uint64_t now = o->cfg.clock_ms();
	uint32_t now_s = (uint32_t)(now / MS_PER_S);
	struct memory_cell cells[ONCE_PAGE_CELLS];
	struct once_part *p = &o->part[part];
	int64_t age;
	size_t n, i;

	pthread_mutex_lock(&p->lock);
	if (*pos == 0)
		*generation = p->memory.generation;
	if (once_update_lease(p, v) == -1 ||
	    *generation != p->memory.generation) {
		pthread_mutex_unlock(&p->lock);
		return 0;
	}
	n = memory_page(&p->memory, pos, now_s, cells, ONCE_PAGE_CELLS);
	age = (int64_t)now - p->since_ms;
	arg->last = *pos >= p->memory.cap;
	pthread_mutex_unlock(&p->lock);
	if (age > (int64_t)ONCE_WINDOW_S * MS_PER_S)
		age = (int64_t)ONCE_WINDOW_S * MS_PER_S;
	arg->age_ms = age > 0 ? (uint64_t)age : 0;
	arg->cells.cells_len = (u_int)n;
	for (i = 0; i < n; i++) {
		memcpy(arg->cells.cells_val[i].id, cells[i].id.byte,
		    ONCE_ID_BYTES);
		arg->cells.cells_val[i].attempt = cells[i].attempt;
		arg->cells.cells_val[i].age_s =
		    now_s > cells[i].time_s ? now_s - cells[i].time_s : 0;
	}
	return 1;
}

/*
 * Copies the memory of a partition to the standby.  If that fails, or the
 * table is rebuilt during the copy, the copy has to be restarted.
 */
static void
copy_part(struct once *o, uint32_t part, const struct lease_view *v)
{
	once_copy_cell cells[ONCE_PAGE_CELLS];
	once_copy_arg arg = { .part = part, .term = v->term };
	once_copy_res res;
	struct once_part *p = &o->part[part];
	uint32_t generation = 0;
	size_t pos = 0;

	arg.cells.cells_val = cells;
	do {
		if (next_page(o, part, v, &pos, &generation, &arg) == 0 ||
		    once_call(o, &v->standby, ONCE_PROC_COPY, &arg, &res) ==
			-1 ||
		    !res.accepted)
			return;
	} while (!arg.last);
	pthread_mutex_lock(&p->lock);
	if (p->term == v->term)
		p->copied_term = v->term;
	pthread_mutex_unlock(&p->lock);
}

/*
 * Frees the memory of a partition of which this node is neither owner nor
 * standby, once it is unused for longer than ONCE_WINDOW_S.
 */
static void
free_unused_memory(struct once *o, uint32_t part, const struct lease_view *v)
{
	uint64_t now = o->cfg.clock_ms();
	struct once_part *p = &o->part[part];

	if (v->term == 0 || nodeid_equal(&v->owner, &o->cfg.self) ||
	    nodeid_equal(&v->standby, &o->cfg.self))
		return;
	pthread_mutex_lock(&p->lock);
	if (p->memory.cap > 0 &&
	    age_at(now, p->last_used_ms) > (uint64_t)ONCE_WINDOW_S * MS_PER_S) {
		memory_clear(&p->memory);
		p->copy_complete = 0;
		p->since_ms = (int64_t)now;
	}
	pthread_mutex_unlock(&p->lock);
}

/*
 * Copies the memories of the partitions that this node owns to the standbys
 * that don't have them yet.
 */
void
once_copy_memories(struct once *o)
{
	struct lease_view v;
	struct once_part *p;
	uint64_t now;
	uint32_t part;
	int due;

	for (part = 0; part < LEASE_PARTS; part++) {
		p = &o->part[part];
		now = o->cfg.clock_ms();
		o->cfg.lookup(o->cfg.lookup_ctx, part, now, &v);
		free_unused_memory(o, part, &v);
		if (v.valid_until_ms == 0 || nodeid_is_none(&v.standby))
			continue;
		pthread_mutex_lock(&p->lock);
		due = p->copied_term != v.term && now >= p->next_copy_ms;
		if (due)
			p->next_copy_ms = now + COPY_RETRY_MS;
		pthread_mutex_unlock(&p->lock);
		if (due)
			copy_part(o, part, &v);
	}
}

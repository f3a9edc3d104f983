#include <stdlib.h>
#include <string.h>

#include "once/once_memory.h"

#define CAP_MIN 64
#define LOAD_NUM 3 /* the table is at most LOAD_NUM / LOAD_DEN full */
#define LOAD_DEN 4

static size_t start_index(const struct once_memory *, const struct once_id *);
static struct memory_cell *find_cell(
    const struct once_memory *, const struct once_id *);
static int is_retained(const struct memory_cell *, uint32_t);
static int budget_allocate(struct memory_budget *, size_t);
static int rebuild(struct once_memory *, uint32_t);
static void insert_cell(struct once_memory *, const struct memory_cell *);

/*
 * Initializes an empty memory.
 */
void
memory_init(struct once_memory *m, struct memory_budget *budget)
{
	memset(m, 0, sizeof(*m));
	m->budget = budget;
}

/*
 * Frees a memory.
 */
void
memory_finish(struct once_memory *m)
{
	memory_clear(m);
}

/*
 * Removes all ids and returns the cells to the budget.
 */
void
memory_clear(struct once_memory *m)
{
	atomic_fetch_add(&m->budget->left, m->cap);
	free(m->cells);
	m->cells = NULL;
	m->cap = m->used = 0;
	m->generation++;
}

/*
 * Returns the index at which the search for an id begins.
 */
static size_t
start_index(const struct once_memory *m, const struct once_id *id)
{
	uint64_t h;

	/* The first half of the id selects the partition. */
	memcpy(&h, &id->byte[sizeof(h)], sizeof(h));
	return (size_t)h & (m->cap - 1);
}

/*
 * Returns the cell of an id, or else the free cell where the search ended,
 * or NULL in an empty table.
 */
static struct memory_cell *
find_cell(const struct once_memory *m, const struct once_id *id)
{
	size_t i;

	if (m->cap == 0)
		return NULL;
	for (i = start_index(m, id); m->cells[i].state != MEMORY_FREE;
	     i = (i + 1) & (m->cap - 1))
		if (memcmp(&m->cells[i].id, id, sizeof(*id)) == 0)
			break;
	return &m->cells[i];
}

/*
 * Returns whether a cell is claimed and within its window.
 */
static int
is_retained(const struct memory_cell *c, uint32_t now_s)
{
	/* Times are rounded down to seconds; one more completes the window. */
	return c->state == MEMORY_CLAIMED &&
	       (now_s <= c->time_s || now_s - c->time_s <= ONCE_WINDOW_S + 1);
}

/*
 * Takes n cells from a budget.  Returns 0, or -1 if too few are left.
 */
static int
budget_allocate(struct memory_budget *b, size_t n)
{
	size_t left = atomic_load(&b->left);

	do {
		if (left < n)
			return -1;
	} while (!atomic_compare_exchange_weak(&b->left, &left, left - n));
	return 0;
}

/*
 * Adds a cell to a table that has room and doesn't contain its id.
 */
static void
insert_cell(struct once_memory *m, const struct memory_cell *c)
{
	*find_cell(m, &c->id) = *c;
	m->used++;
}

/*
 * Moves the cells within their window to a new table that has room for one
 * more id.  Returns 0, or -1 if the budget or the memory of the process is
 * exhausted.
 */
static int
rebuild(struct once_memory *m, uint32_t now_s)
{
	struct once_memory old = *m;
	size_t live = 0, cap = CAP_MIN, i;

	for (i = 0; i < old.cap; i++)
		live += (size_t)is_retained(&old.cells[i], now_s);
	while ((live + 1) * 2 > cap)
		cap *= 2;
	if (budget_allocate(m->budget, cap) == -1)
		return -1;
	m->cells = calloc(cap, sizeof(*m->cells));
	if (m->cells == NULL) {
		m->cells = old.cells;
		atomic_fetch_add(&m->budget->left, cap);
		return -1;
	}
	m->cap = cap;
	m->used = 0;
	m->generation++;
	for (i = 0; i < old.cap; i++)
		if (is_retained(&old.cells[i], now_s))
			insert_cell(m, &old.cells[i]);
	atomic_fetch_add(&m->budget->left, old.cap);
	free(old.cells);
	return 0;
}

/*
 * Returns whether an id is stored, and whether by this attempt.
 */
enum memory_result
memory_lookup(const struct once_memory *m, const struct once_id *id,
    uint64_t attempt, uint32_t now_s)
{
	const struct memory_cell *c = find_cell(m, id);

	if (c == NULL || !is_retained(c, now_s))
		return MEMORY_ADDED;
	return c->attempt == attempt ? MEMORY_SAME_ATTEMPT
				     : MEMORY_OTHER_ATTEMPT;
}

/*
 * Adds an id that was claimed at time_s, unless it is stored already.
 */
enum memory_result
memory_add(struct once_memory *m, const struct once_id *id, uint64_t attempt,
    uint32_t time_s, uint32_t now_s)
{
	enum memory_result res = memory_lookup(m, id, attempt, now_s);
	struct memory_cell *c = find_cell(m, id);
	int known = c != NULL && c->state != MEMORY_FREE;

	if (res != MEMORY_ADDED)
		return res;
	if (!known && (m->used + 1) * LOAD_DEN > m->cap * LOAD_NUM) {
		if (rebuild(m, now_s) == -1)
			return MEMORY_FULL;
		c = find_cell(m, id);
	}
	if (c == NULL)
		return MEMORY_FULL;
	if (!known)
		m->used++;
	c->id = *id;
	c->attempt = attempt;
	c->time_s = time_s;
	c->state = MEMORY_CLAIMED;
	return MEMORY_ADDED;
}

/*
 * Adds an id at the standby.  If another attempt has added it before,
 * neither can release it any more.  Returns 0, or -1 if there is no room.
 */
int
memory_add_noted(struct once_memory *m, const struct once_id *id,
    uint64_t attempt, uint32_t time_s, uint32_t now_s)
{
	enum memory_result res = memory_add(m, id, attempt, time_s, now_s);
	struct memory_cell *c;

	if (res == MEMORY_FULL)
		return -1;
	if (res == MEMORY_ADDED)
		return 0;
	c = find_cell(m, id);
	if (c == NULL)
		return -1;
	if (res == MEMORY_OTHER_ATTEMPT)
		c->attempt = 0;
	if (time_s > c->time_s)
		c->time_s = time_s;
	return 0;
}

/*
 * Removes an id if this attempt claimed it.  Returns 0, or -1 if it did not.
 */
int
memory_release(
    struct once_memory *m, const struct once_id *id, uint64_t attempt)
{
	struct memory_cell *c = find_cell(m, id);

	if (c == NULL || c->state != MEMORY_CLAIMED || attempt == 0 ||
	    c->attempt != attempt)
		return -1;
	c->state = MEMORY_RELEASED;
	return 0;
}

/*
 * Copies up to max cells within their window, from index *pos on, and
 * advances *pos.  Returns the number copied, 0 at the end of the table.
 */
size_t
memory_page(const struct once_memory *m, size_t *pos, uint32_t now_s,
    struct memory_cell *out, size_t max)
{
	size_t n = 0;

	for (; *pos < m->cap && n < max; (*pos)++)
		if (is_retained(&m->cells[*pos], now_s))
			out[n++] = m->cells[*pos];
	return n;
}

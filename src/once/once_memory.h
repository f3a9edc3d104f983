#ifndef ONCE_ONCE_MEMORY_H
#define ONCE_ONCE_MEMORY_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#define ONCE_ID_SIZE 16
#define ONCE_WINDOW_S 600 /* for how long an id is remembered */

struct once_id {
	uint8_t byte[ONCE_ID_SIZE];
};

enum memory_state {
	MEMORY_FREE,
	MEMORY_RELEASED,
	MEMORY_CLAIMED
};

struct memory_cell {
	struct once_id id;
	uint64_t attempt; /* 0: can't be released any more */
	uint32_t time_s;
	uint32_t state;
};

/* Cells that all memories of a node may have together. */
struct memory_budget {
	atomic_size_t left;
};

/*
 * Ids claimed in one partition: a hash table with linear probing.  Cells
 * are dropped only once their window has passed.
 */
struct once_memory {
	struct memory_budget *budget;
	struct memory_cell *cells;
	size_t cap;	 /* a power of two, or 0 */
	size_t used;	 /* cells that are not free */
	uint32_t layout; /* changes when cells move */
};

enum memory_result {
	MEMORY_ADDED, /* or, when looked for, not there */
	MEMORY_SAME,  /* already there, by the same attempt */
	MEMORY_OTHER, /* already there, by another attempt */
	MEMORY_FULL
};

void memory_init(struct once_memory *, struct memory_budget *);
void memory_finish(struct once_memory *);
void memory_clear(struct once_memory *);
enum memory_result memory_add(
    struct once_memory *, const struct once_id *, uint64_t, uint32_t, uint32_t);
enum memory_result memory_look(
    const struct once_memory *, const struct once_id *, uint64_t, uint32_t);
int memory_note(
    struct once_memory *, const struct once_id *, uint64_t, uint32_t, uint32_t);
int memory_release(struct once_memory *, const struct once_id *, uint64_t);
size_t memory_page(const struct once_memory *, size_t *, uint32_t,
    struct memory_cell *, size_t);

#endif

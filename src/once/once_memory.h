#ifndef ONCE_ONCE_MEMORY_H
#define ONCE_ONCE_MEMORY_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#define ONCE_ID_SIZE 16
#define ONCE_WINDOW_S 600 /* how long an id is stored after its claim */

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
	uint64_t attempt; /* that claimed it; 0: it can't be released */
	uint32_t time_s;  /* of the claim */
	uint32_t state;	  /* enum memory_state */
};

/* The number of cells that a node's memories may still allocate. */
struct memory_budget {
	atomic_size_t left;
};

/*
 * The ids claimed in one partition: a hash table with linear probing.  A
 * claimed id is dropped only after ONCE_WINDOW_S.
 */
struct once_memory {
	struct memory_budget *budget;
	struct memory_cell *cells;
	size_t cap;	     /* a power of two, or 0 */
	size_t used;	     /* cells that are not free */
	uint32_t generation; /* changes when cells move */
};

enum memory_result {
	MEMORY_ADDED,	      /* from memory_lookup(): not stored */
	MEMORY_SAME_ATTEMPT,  /* stored already, by the same attempt */
	MEMORY_OTHER_ATTEMPT, /* stored already, by another attempt */
	MEMORY_FULL	      /* no room left in the budget */
};

void memory_init(struct once_memory *, struct memory_budget *);
void memory_finish(struct once_memory *);
void memory_clear(struct once_memory *);
enum memory_result memory_add(
    struct once_memory *, const struct once_id *, uint64_t, uint32_t, uint32_t);
enum memory_result memory_lookup(
    const struct once_memory *, const struct once_id *, uint64_t, uint32_t);
int memory_add_noted(
    struct once_memory *, const struct once_id *, uint64_t, uint32_t, uint32_t);
int memory_release(struct once_memory *, const struct once_id *, uint64_t);
size_t memory_page(const struct once_memory *, size_t *, uint32_t,
    struct memory_cell *, size_t);

#endif

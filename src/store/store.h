#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stddef.h>
#include <stdint.h>

/*
 * A log of keyed records that outlives all nodes, without blocking.  Calls
 * return at once; each ends in exactly one callback, unless it is cancelled.
 */

/* The logs that nodes use. */
enum store_log {
	STORE_CONFIG, /* configurations, written by operators */
	STORE_NODES,  /* addresses of nodes, by name */
	STORE_LOG_MAX
};

enum store_status {
	STORE_OK,
	STORE_TRIMMED, /* the records asked for are gone: start anew */
	STORE_REFUSED, /* nothing was done */
	STORE_UNKNOWN, /* no answer: it may have been done */
	STORE_STATUS_MAX
};

struct store_record {
	const char *key;
	size_t key_len;
	const char *value; /* NULL: the key was removed */
	size_t value_len;
	uint64_t offset;
};

struct store_reply {
	enum store_status status;
	const struct store_record *records;
	size_t count;
	uint64_t end;	   /* offset after the newest record */
	uint64_t asked_ms; /* when the question was sent */
	int more;	   /* of the newest of each key, after the last one */
};

typedef void (*store_fn)(void *, const struct store_reply *);

struct store_ops {
	/* The newest record of each key, after a key if one is given. */
	void (*newest)(
	    void *, enum store_log, const char *, uint64_t, store_fn, void *);
	/* Records from an offset, waiting so long (ms) for the first. */
	void (*read)(void *, enum store_log, uint64_t, uint64_t, uint64_t,
	    store_fn, void *);
	/* Appends one record of a key. */
	void (*append)(void *, enum store_log, const char *, const char *,
	    size_t, uint64_t, store_fn, void *);
};

#endif

#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Asynchronous interface to logs of keyed records that outlive all nodes.  A
 * call does not block.  It ends in exactly one callback unless it is
 * cancelled.
 */

/* Logs that nodes use. */
enum store_log {
	STORE_CONFIG, /* configurations, written by operators */
	STORE_NODES,  /* IPv4 addresses of nodes, by node name */
	STORE_LOG_MAX
};

enum store_status {
	STORE_OK,
	STORE_TRIMMED, /* the records were deleted: read the newest again */
	STORE_REFUSED, /* the request had no effect */
	STORE_UNKNOWN, /* no reply: the request may have had effect */
	STORE_STATUS_MAX
};

struct store_record {
	const char *key;
	size_t key_len;
	const char *value; /* NULL if the key was removed */
	size_t value_len;
	uint64_t offset;
};

struct store_reply {
	enum store_status status;
	const struct store_record *records;
	size_t count;
	uint64_t end_offset;	  /* offset after the newest record */
	uint64_t request_sent_ms; /* time when the request was sent */
	/*
	 * Rises when the log loses its newest records and gives their offsets
	 * out again; 0 if the reply doesn't state it.
	 */
	uint64_t era;
	int more_keys; /* keys remain; in newest records only */
};

typedef void (*store_reply_fn)(void *, const struct store_reply *);

struct store_ops {
	/*
	 * Reads the newest record of each key: context, log, the key after
	 * which to start or NULL, timeout (ms), callback and its context.
	 */
	void (*read_newest)(void *, enum store_log, const char *, uint64_t,
	    store_reply_fn, void *);
	/*
	 * Reads records: context, log, first offset, time (ms) to wait for a
	 * first record, timeout (ms), callback and its context.
	 */
	void (*read)(void *, enum store_log, uint64_t, uint64_t, uint64_t,
	    store_reply_fn, void *);
	/*
	 * Appends a record: context, log, key, value and its length, timeout
	 * (ms), callback and its context.
	 */
	void (*append)(void *, enum store_log, const char *, const char *,
	    size_t, uint64_t, store_reply_fn, void *);
	/* Closes idle connections, which may be dead.  Optional. */
	void (*drop_idle)(void *);
};

#endif

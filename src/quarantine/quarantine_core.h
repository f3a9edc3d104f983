#ifndef QUARANTINE_CORE_H
#define QUARANTINE_CORE_H

#include <stddef.h>
#include <stdint.h>

/*
 * The pure part of the quarantine: no clock, no lock.  Times are
 * milliseconds of one clock, passed in.
 */

#define QUARANTINE_MS 600000 /* how long a strike counts */
#define QUARANTINE_SETS 512
#define QUARANTINE_WAYS 8
#define QUARANTINE_DEATHS 4 /* remembered for one fingerprint */
#define QUARANTINE_PROVEN 8192

/* The fingerprint of a request: the same for each copy of it. */
struct quarantine_print {
	uint64_t lo;
	uint64_t hi;
};

enum quarantine_state {
	QUARANTINE_FREE,
	QUARANTINE_STRUCK,  /* in flight at one death: one run at a time */
	QUARANTINE_REFUSED, /* in flight at as many as it takes */
	QUARANTINE_STATE_MAX
};

/* A server's death that a request was in flight at. */
struct quarantine_strike {
	uint64_t death; /* random; 0 for none */
	uint64_t at_ms;
	int acquitted; /* the request has run to its end since */
};

struct quarantine_suspect {
	struct quarantine_print print;
	uint64_t touched_ms; /* 0 for a free place */
	struct quarantine_strike strikes[QUARANTINE_DEATHS];
};

/* A fingerprint that ran to its end not long ago. */
struct quarantine_proof {
	uint64_t lo;
	uint64_t at_ms;
};

struct quarantine_table {
	struct quarantine_suspect sets[QUARANTINE_SETS][QUARANTINE_WAYS];
	struct quarantine_proof proven[QUARANTINE_PROVEN];
	uint32_t suspects; /* places in use */
};

int table_strike(struct quarantine_table *, const struct quarantine_print *,
    uint64_t, int, uint64_t, uint64_t);
size_t table_succeed(struct quarantine_table *, const struct quarantine_print *,
    uint64_t, uint64_t *);
enum quarantine_state table_state(
    const struct quarantine_table *, const struct quarantine_print *, uint64_t);
int table_proven(
    const struct quarantine_table *, const struct quarantine_print *, uint64_t);

#endif

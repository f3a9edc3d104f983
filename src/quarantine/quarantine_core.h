#ifndef QUARANTINE_CORE_H
#define QUARANTINE_CORE_H

#include <stddef.h>
#include <stdint.h>

/*
 * The quarantine table.  It reads no clock and takes no lock: callers pass
 * in times, in milliseconds of one clock, and serialize access.
 */

/* Lifetime of a crash report and of a recorded success. */
#define QUARANTINE_REPORT_TTL_MS 600000

#define QUARANTINE_SETS 512
#define QUARANTINE_WAYS 8
#define QUARANTINE_CRASHES_MAX 4      /* stored per fingerprint */
#define QUARANTINE_SUCCESSES_MAX 8192 /* slots for recent successes */

/* The fingerprint of a request; all copies of a request share it. */
struct quarantine_fingerprint {
	uint64_t lo;
	uint64_t hi;
};

enum quarantine_state {
	QUARANTINE_UNRESTRICTED,
	QUARANTINE_SUSPECT, /* in flight at one crash: one run at a time */
	QUARANTINE_REFUSED, /* in flight at enough crashes */
	QUARANTINE_STATE_MAX
};

/* A server crash during which a request was in flight. */
struct quarantine_report {
	uint64_t crash_id; /* random id of the crash; 0: free slot */
	uint64_t crashed_ms;
	int cleared; /* the request has since run without a crash */
};

/* A request that may crash servers. */
struct quarantine_suspect {
	struct quarantine_fingerprint fingerprint;
	uint64_t changed_ms; /* last change; 0: free slot */
	struct quarantine_report reports[QUARANTINE_CRASHES_MAX];
};

/* The last successful run of a request. */
struct quarantine_success {
	uint64_t lo;
	uint64_t succeeded_ms;
};

struct quarantine_table {
	struct quarantine_suspect sets[QUARANTINE_SETS][QUARANTINE_WAYS];
	struct quarantine_success successes[QUARANTINE_SUCCESSES_MAX];
	uint32_t suspects; /* slots in use */
};

int table_add_report(struct quarantine_table *,
    const struct quarantine_fingerprint *, uint64_t, int, uint64_t, uint64_t);
size_t table_record_success(struct quarantine_table *,
    const struct quarantine_fingerprint *, uint64_t, uint64_t *);
enum quarantine_state table_get_state(const struct quarantine_table *,
    const struct quarantine_fingerprint *, uint64_t);
int table_has_success(const struct quarantine_table *,
    const struct quarantine_fingerprint *, uint64_t);

#endif

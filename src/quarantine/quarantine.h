#ifndef QUARANTINE_QUARANTINE_H
#define QUARANTINE_QUARANTINE_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/nodeid.h"
#include "quarantine/quarantine_core.h"
#include "rpc/rpc.h"

#define QUARANTINE_RUN_FINGERPRINTS 2  /* its own and its root request's */
#define QUARANTINE_FAILED_RUNS_MAX 256 /* no crash reported yet */

enum quarantine_proc {
	QUARANTINE_PROC_REPORT,
	QUARANTINE_PROC_PAGE,
	QUARANTINE_PROC_MAX
};

/* The result of a request at the local server. */
enum quarantine_end {
	QUARANTINE_RESULT_COMPLETE, /* complete response of any status */
	QUARANTINE_RESULT_FAILED,   /* the exchange failed or was refused */
	QUARANTINE_RESULT_UNKNOWN   /* cancelled or never sent: no evidence */
};

/* A request that runs at the local server; owned by its thread. */
struct quarantine_run {
	struct quarantine_run *next;
	struct quarantine_run *prev;
	struct quarantine_fingerprint fingerprints[QUARANTINE_RUN_FINGERPRINTS];
	uint32_t count;
	uint64_t crash_id; /* last crash reported against it, or 0 */
};

/* A request whose exchange failed before a crash was reported. */
struct quarantine_failed_run {
	struct quarantine_fingerprint fingerprint;
	uint64_t failed_ms;
};

/*
 * Sends one message to all other members.  It must not block for long.  It
 * may lose messages, since quarantine_sync() fetches what was missed.
 */
typedef void (*quarantine_broadcast_fn)(
    void *, const struct rpc_proc *, const void *);

struct quarantine {
	pthread_mutex_t lock;
	struct quarantine_table *table;
	struct quarantine_run runs; /* head of a circular list */
	struct quarantine_failed_run failed_runs[QUARANTINE_FAILED_RUNS_MAX];
	uint32_t failed_run_next;
	quarantine_broadcast_fn broadcast;
	void *broadcast_ctx;
	uint64_t crashes; /* of the local server */
	uint64_t refused;
};

/* Procedures for the RPC server; their context is struct quarantine. */
extern const struct rpc_proc quarantine_procs[QUARANTINE_PROC_MAX];

void quarantine_fingerprint(struct quarantine_fingerprint *, const char *,
    const char *, const char *, const void *, size_t);
void quarantine_init(struct quarantine *, quarantine_broadcast_fn, void *);
void quarantine_finish(struct quarantine *);
enum quarantine_state quarantine_check(
    struct quarantine *, const struct quarantine_fingerprint *, uint64_t);
void quarantine_record_success(
    struct quarantine *, const struct quarantine_fingerprint *, uint64_t);
int quarantine_choose_server(const struct quarantine_fingerprint *,
    const struct node_id *, const int *, size_t);
int quarantine_begin(struct quarantine *, struct quarantine_run *,
    const struct quarantine_fingerprint *, size_t, uint64_t);
void quarantine_end(struct quarantine *, struct quarantine_run *,
    enum quarantine_end, uint64_t);
size_t quarantine_report_crash(struct quarantine *, uint64_t, uint64_t);
int quarantine_sync(
    struct quarantine *, rpc_call_fn, void *, const struct node_id *);
void quarantine_dump(struct quarantine *, uint64_t, FILE *);

/* Used by the message handlers. */
void quarantine_merge_report(struct quarantine *,
    const struct quarantine_fingerprint *, uint64_t, int, uint64_t, uint64_t);
uint32_t quarantine_read_page(struct quarantine *, uint32_t, uint64_t,
    void (*)(void *, const struct quarantine_fingerprint *,
	const struct quarantine_report *),
    void *, size_t);
void quarantine_broadcast(struct quarantine *, uint64_t, int,
    const struct quarantine_fingerprint *, size_t);

#endif

#ifndef EXCHANGE_REASON_H
#define EXCHANGE_REASON_H

/* Whether a request ran, as far as a node can say truthfully. */
enum outcome {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN,
	OUTCOME_MAY_HAVE_RUN,
	OUTCOME_MAX
};

/* Why a request was refused. */
enum reason {
	REASON_NONE,
	REASON_BAD_REQUEST,
	REASON_NO_KEY,
	REASON_NO_ROUTE,
	REASON_DUPLICATE,
	REASON_TOO_LARGE,
	REASON_OVER_RATE,
	REASON_SERVER_FAILED,
	REASON_OVERLOAD,
	REASON_NO_SERVER,
	REASON_DRAINING,
	REASON_STOPPING,
	REASON_QUARANTINED,
	REASON_STALE_CONFIG,
	REASON_NO_CONFIG,
	REASON_LIMITS_UNAVAILABLE,
	REASON_IDS_UNAVAILABLE,
	REASON_DEADLINE,
	REASON_DEAD_TOKEN,
	REASON_RETRY_BOUND,
	REASON_MAX
};

struct reason_row {
	const char *name;
	const char *detail;
	int status;
	int retry_after; /* seconds; 0 where waiting doesn't help */
	int counter;	 /* enum counter */
};

extern const struct reason_row reason_rows[REASON_MAX];
extern const char *const outcome_names[OUTCOME_MAX];

enum reason reason_of(const char *);
enum outcome outcome_of(const char *);

#endif

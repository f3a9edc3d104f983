#include <string.h>

#include "base/counter.h"
#include "exchange/reason.h"

const char *const outcome_names[OUTCOME_MAX] = {
	[OUTCOME_DONE] = "done",
	[OUTCOME_NOT_RUN] = "not-run",
	[OUTCOME_MAY_HAVE_RUN] = "may-have-run",
};

const struct reason_row reason_rows[REASON_MAX] = {
	[REASON_NONE] = { "none", "", 200, 0, CTR_DONE },
	[REASON_BAD_REQUEST] = { "bad-request", "the request is malformed", 400,
	    0, CTR_BAD_REQUEST },
	[REASON_NO_KEY] = { "no-key", "no key in force came with the request",
	    401, 0, CTR_NO_KEY },
	[REASON_NO_ROUTE] = { "no-route", "no route matches the path", 404, 0,
	    CTR_BAD_REQUEST },
	[REASON_DUPLICATE] = { "duplicate",
	    "a request with this id ran, runs or may have run", 409, 0,
	    CTR_DUPLICATE },
	[REASON_TOO_LARGE] = { "too-large", "the request's body is too large",
	    413, 0, CTR_BAD_REQUEST },
	[REASON_OVER_RATE] = { "over-rate",
	    "the workspace is over its rate and burst", 429, 1, CTR_OVER_RATE },
	[REASON_SERVER_FAILED] = { "server-failed",
	    "the backend server failed before its answer was whole", 502, 0,
	    CTR_MAY_HAVE_RUN },
	[REASON_OVERLOAD] = { "overload",
	    "more important requests take all capacity", 503, 1, CTR_SHED },
	[REASON_NO_SERVER] = { "no-server",
	    "no backend server of the service can be reached", 503, 1,
	    CTR_NO_SERVER },
	[REASON_DRAINING] = { "draining", "the backend server is leaving", 503,
	    1, CTR_NO_SERVER },
	[REASON_STOPPING] = { "stopping", "the node is stopping", 503, 1,
	    CTR_NO_SERVER },
	[REASON_QUARANTINED] = { "quarantined",
	    "backend servers died while they ran this request", 503, 0,
	    CTR_QUARANTINED },
	[REASON_STALE_CONFIG] = { "stale-config",
	    "the node can't tell which keys are in force", 503, 1,
	    CTR_STALE_CONFIG },
	[REASON_NO_CONFIG] = { "no-config", "no configuration is known yet",
	    503, 1, CTR_STALE_CONFIG },
	[REASON_LIMITS_UNAVAILABLE] = { "limits-unavailable",
	    "no owner of the workspace's limit can be reached", 503, 1,
	    CTR_OVER_RATE },
	[REASON_IDS_UNAVAILABLE] = { "ids-unavailable",
	    "no owner of the request's id can be reached", 503, 1,
	    CTR_DUPLICATE },
	[REASON_DEADLINE] = { "deadline", "the deadline passed", 504, 0,
	    CTR_DEADLINE },
	[REASON_RETRY_BOUND] = { "retry-bound",
	    "the retries of the whole chain are used up", 503, 0, CTR_NOT_RUN },
	[REASON_DEAD_TOKEN] = { "dead-token",
	    "the request that this call belongs to has ended", 401, 0,
	    CTR_NO_KEY },
};

/*
 * Returns the reason of that name, or REASON_NONE.
 */
enum reason
reason_of(const char *name)
{
	int i;

	for (i = 0; name != NULL && i < REASON_MAX; i++)
		if (strcmp(reason_rows[i].name, name) == 0)
			return (enum reason)i;
	return REASON_NONE;
}

/*
 * Returns the outcome of that name; an unknown one may have run.
 */
enum outcome
outcome_of(const char *name)
{
	int i;

	for (i = 0; name != NULL && i < OUTCOME_MAX; i++)
		if (strcmp(outcome_names[i], name) == 0)
			return (enum outcome)i;
	return OUTCOME_MAY_HAVE_RUN;
}

/* RPC messages by which an entry node borrows tokens from an owner. */

const LIMITS_REPORTS_MAX = 32;

enum limits_status {
	LIMITS_GRANTED = 0,
	LIMITS_EMPTY = 1,		/* not enough tokens */
	LIMITS_NOT_OWNER = 2,
	LIMITS_NO_WORKSPACE = 3	/* not in the owner's configuration */
};

/*
 * Reports the end of a loan: so many of its tokens were not spent, the others
 * were.  A later report of the same loan may give a higher number if a request
 * that had spent a token did not run.
 */
struct limits_report {
	unsigned hyper loan;
	unsigned int unspent;
};

struct limits_token_request_arg {
	unsigned hyper workspace;
	unsigned int part;
	unsigned hyper loan;
	unsigned int need;
	unsigned int want;
	unsigned int life_ms;
	limits_report reports<LIMITS_REPORTS_MAX>;
};

struct limits_token_request_res {
	limits_status status;
	unsigned int tokens;
	unsigned int life_ms;
	unsigned int retry_after_us;
	unsigned int level;	/* whole tokens left in the bucket */
	/* 1: the bucket is empty because its lease is new, not by use. */
	unsigned int bucket_is_new;
};

struct limits_report_arg {
	unsigned hyper workspace;
	unsigned int part;
	limits_report reports<LIMITS_REPORTS_MAX>;
};

struct limits_report_res {
	unsigned int taken;
};

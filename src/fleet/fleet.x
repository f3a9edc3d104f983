/*
 * Messages that nodes exchange in datagrams.
 */

const FLEET_NAME_MAX = 63;
const FLEET_CALLS_MAX = 8;
const FLEET_REQUESTED_MAX = 16;
const FLEET_CLASSES = 4;
const FLEET_RATES_MAX = 64;	/* requested rows times classes */
const FLEET_SILENT_MAX = 32;
const FLEET_DOWN = 1;	/* server accepted no connection lately */
const FLEET_LEAVING = 2;	/* server announced its shutdown */

typedef string fleet_name<FLEET_NAME_MAX>;

/* The backend server of a node as it announced itself. */
struct fleet_server_state {
	fleet_name id;
	fleet_name service;
	unsigned hyper born_ms;
	unsigned int slots;
	unsigned int cold_ms;	 /* rest of its warm-up */
	unsigned int away;	 /* 0, FLEET_DOWN or FLEET_LEAVING */
};

/* The part of a heartbeat that changes all the time. */
struct fleet_load {
	unsigned hyper sequence;
	unsigned hyper config_version;
	unsigned int out;	 /* 1: isolated, owns no limits */
	unsigned int nodes;	 /* known to the sender; 0: not known yet */
	unsigned int running;
	unsigned int waiting;
	unsigned int offered;	 /* arriving work, 1/1000 of the slots */
	unsigned int run_us;	 /* mean duration of a run; 0: unknown */
	unsigned int failing;	 /* failed runs of 1000 */
	unsigned int chained;	 /* calls of 1000 with a known run */
	/* Name hashes of nodes whose heartbeats do not arrive. */
	unsigned int silent<FLEET_SILENT_MAX>;
	/*
	 * Calls per 1000 runs to each downstream service; in full heartbeats
	 * only.
	 */
	unsigned int calls_per_1000<FLEET_CALLS_MAX>;
	/*
	 * Root requests per requested row and class, encoded by
	 * demand_encode_rate().
	 */
	opaque demands<FLEET_RATES_MAX>;
};

/* A full heartbeat with the whole state of the sender. */
struct fleet_heartbeat {
	fleet_name node;
	fleet_name zone;
	unsigned hyper incarnation;
	unsigned int address;	 /* IPv4, host order */
	unsigned int port;	 /* for forwarded requests */
	unsigned int stopping;
	fleet_server_state server;
	fleet_name calls<FLEET_CALLS_MAX>;     /* services, as in the load */
	fleet_name demands<FLEET_REQUESTED_MAX>; /* services, as in the load */
	fleet_load load;
	/*
	 * Ids of the routes to those services.  A heartbeat of an older version
	 * ends before: no ids.
	 */
	unsigned int demand_routes<FLEET_REQUESTED_MAX>;
	/*
	 * One element: the sender can't read the store.  Empty otherwise, and
	 * in a heartbeat of an older version.
	 */
	unsigned int store_lost<1>;
};

/* A load heartbeat: the rest is as in the last full heartbeat. */
struct fleet_load_heartbeat {
	unsigned hyper incarnation;
	unsigned hyper print;	 /* digest of that heartbeat */
	fleet_load load;
};

/* A token request to the owner of a limit. */
struct fleet_token_request {
	unsigned hyper workspace;
	unsigned hyper id;
	unsigned int need;
	unsigned int want;
};

/* The answer to a token request. */
struct fleet_token_grant {
	unsigned hyper workspace;
	unsigned hyper id;
	unsigned int tokens;
	unsigned int owner;	 /* 0: the sender does not own the limit */
	unsigned int wait_ms;	 /* until tokens are available again */
};

/* Transfers the bucket of a limit from a stopping owner to its successor. */
struct fleet_bucket {
	unsigned hyper workspace;
	unsigned int level;	 /* whole tokens */
};

/* A proof query to a store reader: how recent is its configuration? */
struct fleet_proof_query {
	unsigned hyper id;
};

/* States that a version was the newest one age_ms before this answer. */
struct fleet_proof {
	unsigned hyper id;
	unsigned hyper config_version;
	unsigned int age_ms;
};

/*
 * A crash report: a server crashed while it ran the request with this
 * fingerprint, or the request has run without a crash since.
 */
struct fleet_crash_report {
	unsigned hyper lo;
	unsigned hyper hi;
	unsigned hyper death;
	unsigned int acquitted;
};

/*
 * Reminds a restarted node that its server had announced its shutdown.  born_ms
 * is the start of the server, or a time by which it had started.
 */
struct fleet_departure {
	fleet_name server;
	unsigned hyper born_ms;
};

/* Calls that a run of some route makes to a route of a service. */
struct fleet_call {
	fleet_name service;
	unsigned int route;	 /* id */
	unsigned int per_1000;	 /* calls per 1000 runs */
};

/* Measured runs of one route at the sender's server. */
struct fleet_route_profile {
	fleet_name service;
	unsigned int route;	 /* id */
	unsigned int cost_per_1000; /* mean run time, to that of all runs */
	fleet_call calls<FLEET_CALLS_MAX>;
};

enum fleet_kind {
	FLEET_HEARTBEAT = 1,
	FLEET_GOODBYE = 2,
	FLEET_TOKEN_REQUEST = 3,
	FLEET_TOKEN_GRANT = 4,
	FLEET_CRASH_REPORT = 5,
	FLEET_BUCKET = 6,
	FLEET_PROOF_QUERY = 7,
	FLEET_PROOF = 8,
	FLEET_LOAD_HEARTBEAT = 9,
	FLEET_DEPARTURE = 10,
	FLEET_ROUTE_PROFILE = 11
};

union fleet_msg switch (fleet_kind kind) {
case FLEET_HEARTBEAT:
	fleet_heartbeat beat;
case FLEET_GOODBYE:
	fleet_heartbeat bye;
case FLEET_TOKEN_REQUEST:
	fleet_token_request ask;
case FLEET_TOKEN_GRANT:
	fleet_token_grant give;
case FLEET_CRASH_REPORT:
	fleet_crash_report strike;
case FLEET_BUCKET:
	fleet_bucket bucket;
case FLEET_PROOF_QUERY:
	fleet_proof_query doubt;
case FLEET_PROOF:
	fleet_proof proof;
case FLEET_LOAD_HEARTBEAT:
	fleet_load_heartbeat pulse;
case FLEET_DEPARTURE:
	fleet_departure left;
case FLEET_ROUTE_PROFILE:
	fleet_route_profile profile;
};

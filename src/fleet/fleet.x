/*
 * What nodes tell each other in datagrams.
 */

const FLEET_NAME_MAX = 63;
const FLEET_CALLS_MAX = 8;
const FLEET_DEMANDS_MAX = 8;
const FLEET_CLASSES = 4;
const FLEET_RATES_MAX = 32;	/* services by classes */
const FLEET_SILENT_MAX = 32;
const FLEET_DOWN = 1;	/* a server that took no connection lately */
const FLEET_LEAVING = 2;	/* one that said that it ends */

typedef string fleet_name<FLEET_NAME_MAX>;

/* The backend server beside a node, as it announced itself. */
struct fleet_server_state {
	fleet_name id;
	fleet_name service;
	unsigned hyper born_ms;
	unsigned int slots;
	unsigned int cold_ms;	 /* how much longer it is slow */
	unsigned int away;	 /* FLEET_DOWN or FLEET_LEAVING */
};

/* What changes all the time. */
struct fleet_load {
	unsigned hyper sequence;
	unsigned hyper config_version;
	unsigned int out;	 /* 1: it decides for no limit */
	unsigned int nodes;	 /* that the sender knows of; 0: not yet */
	unsigned int running;
	unsigned int waiting;
	unsigned int offered;	 /* work, in thousandths of the slots */
	unsigned int run_us;	 /* mean time of a run; 0: not known */
	unsigned int failing;	 /* of 1000 runs */
	unsigned int chained;	 /* of 1000 calls, those whose run is known */
	/* Nodes that it doesn't hear, by the hash of their name. */
	unsigned int silent<FLEET_SILENT_MAX>;
	/* Calls of 1000 runs to each service that the server calls. */
	unsigned int calls_per_1000<FLEET_CALLS_MAX>;
	/* Root requests for each service asked for, by class: demand_encode_rate(). */
	opaque demands<FLEET_RATES_MAX>;
};

/* A node's sign of life, with all that it tells of itself. */
struct fleet_beat {
	fleet_name node;
	fleet_name zone;
	unsigned hyper incarnation;
	unsigned int address;	 /* IPv4, host order */
	unsigned int port;	 /* for forwarded requests */
	unsigned int stopping;
	fleet_server_state server;
	fleet_name calls<FLEET_CALLS_MAX>;     /* services, see the load */
	fleet_name demands<FLEET_DEMANDS_MAX>; /* services, see the load */
	fleet_load load;
};

/* A sign of life where the rest is as in the last whole beat. */
struct fleet_pulse {
	unsigned hyper incarnation;
	unsigned hyper print;	 /* of that beat */
	fleet_load load;
};

/* Asks the owner of a limit for tokens. */
struct fleet_ask {
	unsigned hyper workspace;
	unsigned hyper id;
	unsigned int need;
	unsigned int want;
};

struct fleet_give {
	unsigned hyper workspace;
	unsigned hyper id;
	unsigned int tokens;
	unsigned int owner;	 /* 0: ask another */
	unsigned int wait_ms;	 /* until there are tokens again */
};

/* A limit's bucket, from an owner that stops to the next one. */
struct fleet_bucket {
	unsigned hyper workspace;
	unsigned int level;	 /* whole tokens */
};

/* Asks a node that reads the store how new its configuration is. */
struct fleet_doubt {
	unsigned hyper id;
};

/* This version was the newest so long before the answer. */
struct fleet_proof {
	unsigned hyper id;
	unsigned hyper config_version;
	unsigned int age_ms;
};

/* A request was at work on a server when that died, or has run well since. */
struct fleet_strike {
	unsigned hyper lo;
	unsigned hyper hi;
	unsigned hyper death;
	unsigned int acquitted;
};

/* A server said to its node, before that started again, that it ends. */
struct fleet_left {
	fleet_name server;
	unsigned hyper born_ms;
};

enum fleet_kind {
	FLEET_BEAT = 1,
	FLEET_BYE = 2,
	FLEET_ASK = 3,
	FLEET_GIVE = 4,
	FLEET_STRIKE = 5,
	FLEET_BUCKET = 6,
	FLEET_DOUBT = 7,
	FLEET_PROOF = 8,
	FLEET_PULSE = 9,
	FLEET_LEFT = 10
};

union fleet_msg switch (fleet_kind kind) {
case FLEET_BEAT:
	fleet_beat beat;
case FLEET_BYE:
	fleet_beat bye;
case FLEET_ASK:
	fleet_ask ask;
case FLEET_GIVE:
	fleet_give give;
case FLEET_STRIKE:
	fleet_strike strike;
case FLEET_BUCKET:
	fleet_bucket bucket;
case FLEET_DOUBT:
	fleet_doubt doubt;
case FLEET_PROOF:
	fleet_proof proof;
case FLEET_PULSE:
	fleet_pulse pulse;
case FLEET_LEFT:
	fleet_left left;
};

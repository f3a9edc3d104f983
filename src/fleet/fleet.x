/*
 * What nodes tell each other in datagrams.
 */

const FLEET_NAME_MAX = 63;
const FLEET_CALLS_MAX = 8;

/* Calls of a server to a service, for 1000 requests that it ran. */
struct fleet_calls {
	string service<FLEET_NAME_MAX>;
	unsigned int per_1000;
};

/* The backend server beside a node, as it announced itself. */
struct fleet_server_state {
	string id<FLEET_NAME_MAX>;
	string service<FLEET_NAME_MAX>;
	unsigned hyper born_ms;
	unsigned int slots;
	unsigned int cold_ms;	 /* how much longer it is slow */
	unsigned int running;
	unsigned int waiting;
	unsigned int offered;	 /* work, in thousandths of the slots */
	unsigned int leaving;
	fleet_calls calls<FLEET_CALLS_MAX>;
};

/* A node's sign of life. */
struct fleet_beat {
	string node<FLEET_NAME_MAX>;
	string zone<FLEET_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned int address;	 /* IPv4, host order */
	unsigned int port;	 /* for forwarded requests */
	unsigned int stopping;
	unsigned hyper config_version;
	fleet_server_state server;
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

/* A request was at work on a server when that died. */
struct fleet_strike {
	unsigned hyper lo;
	unsigned hyper hi;
	unsigned hyper death;
};

enum fleet_kind {
	FLEET_BEAT = 1,
	FLEET_BYE = 2,
	FLEET_ASK = 3,
	FLEET_GIVE = 4,
	FLEET_STRIKE = 5,
	FLEET_BUCKET = 6,
	FLEET_DOUBT = 7,
	FLEET_PROOF = 8
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
};

/*
 * Messages of the membership protocol.  All are one-way: an answer is a
 * separate message with the nonce of the message that it answers.
 */
const MEMBER_DOMAIN_BYTES = 31;
const MEMBER_SERVICE_BYTES = 63;
const MEMBER_DIGESTS = 200;
const MEMBER_ENTRIES_MAX = 64;
const MEMBER_STATUSES_MAX = 64;

enum member_kind {
	MEMBER_PING = 0,
	MEMBER_ACK = 1,
	MEMBER_PING_REQ = 2,
	MEMBER_RELAYED_ACK = 3,
	MEMBER_GOSSIP = 4,
	MEMBER_SYNC = 5,
	MEMBER_SYNC_REPLY = 6,
	MEMBER_PAGE = 7
};

/* A process at an address and port.  The epoch orders successive processes at
 * the same address and port. */
struct member_name {
	unsigned int addr;
	unsigned int port;
	unsigned hyper incarnation;
	unsigned hyper epoch;
};

struct member_server_entry {
	unsigned int state;
	string service<MEMBER_SERVICE_BYTES>;
	unsigned hyper incarnation;
	unsigned int slots;
	unsigned int connections;
	unsigned int load;
};

struct member_entry {
	member_name name;
	unsigned int peer_port;
	unsigned int state;
	unsigned int seq;
	unsigned int rev;
	unsigned int age_s;
	string domain<MEMBER_DOMAIN_BYTES>;
	string region<MEMBER_DOMAIN_BYTES>;
	unsigned hyper config_version;
	member_server_entry *server;
};

/* The state of a member that the receiver is expected to know. */
struct member_status {
	unsigned int addr;
	unsigned int port_state;
	unsigned hyper incarnation;
	unsigned int seq;
};

/* The highest configuration version known and a node that has it. */
struct member_config {
	unsigned hyper number;
	unsigned int addr;
	unsigned int peer_port;
};

struct member_message {
	member_kind kind;
	unsigned int nonce;
	unsigned int target_addr;
	unsigned int target_port;
	unsigned int log_age_ms;
	member_config config;
	member_entry self;
	member_entry entries<MEMBER_ENTRIES_MAX>;
	member_status statuses<MEMBER_STATUSES_MAX>;
	unsigned int digests<MEMBER_DIGESTS>;
};

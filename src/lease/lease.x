/* Messages of leases: heartbeats to standbys and pages of the table. */

const LEASE_PARTS_MAX = 48;
const LEASE_PAGE = 24;

struct lease_node {
	unsigned int addr;
	unsigned int port;
	unsigned hyper incarnation;
};

struct lease_heartbeat_item {
	unsigned int part;
	unsigned hyper term;
};

struct lease_heartbeat_arg {
	lease_node owner;
	lease_node standby;
	lease_heartbeat_item items<LEASE_PARTS_MAX>;
};

/* Bit i is set if the standby gives its promise for item i. */
struct lease_heartbeat_res {
	unsigned hyper promised;
};

struct lease_page_arg {
	unsigned int from;
};

struct lease_row {
	unsigned hyper term;
	lease_node owner;
	lease_node standby;
};

struct lease_page_res {
	unsigned int from;
	lease_row rows<LEASE_PAGE>;
};

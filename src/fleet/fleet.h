#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "fleet/fleet_xdr.h"
#include "fleet/seal.h"

#define FLEET_NAME_BYTES (FLEET_NAME_MAX + 1)
/* Returned in place of a peer's handle. */
#define FLEET_SELF (-1)
#define FLEET_NONE (-2)
#define FLEET_SIZE_UNKNOWN UINT32_MAX

/* A backend server that announced its shutdown. */
struct fleet_departed_server {
	char id[FLEET_NAME_BYTES]; /* empty: none */
	/* Unix time (ms) by which its process had started; 0: unknown. */
	uint64_t started_by_ms;
};

/* A backend server as reported by its node. */
struct fleet_server {
	char id[FLEET_NAME_BYTES]; /* empty: the node has no server */
	char service[FLEET_NAME_BYTES];
	/* Start of the server's process, Unix time (ms); 0: unknown. */
	uint64_t process_started_ms;
	uint32_t slots;
	uint64_t cold_until_ms; /* on this node's clock */
	uint32_t running;
	uint32_t waiting;
	double offered_load;   /* arriving work as a share of its slots */
	double mean_run_s;     /* mean duration of a run; 0: unknown */
	double failure_share;  /* share of its runs that fail */
	int unavailable_state; /* 0, FLEET_DOWN or FLEET_LEAVING */
};

/* Numbers of nodes, including this one. */
struct fleet_counts {
	uint32_t known; /* FLEET_SIZE_UNKNOWN: not known yet */
	uint32_t alive;
	uint32_t unheard; /* known, but sent no heartbeat yet */
};

/* Another node. */
struct fleet_peer {
	char node[FLEET_NAME_BYTES];
	char zone[FLEET_NAME_BYTES];
	uint64_t name_hash; /* of the node's name */
	uint64_t incarnation;
	uint64_t sequence; /* of the last heartbeat */
	uint32_t address;  /* IPv4, host order */
	uint16_t port;	   /* for forwarded requests; 0: not reported yet */
	uint64_t learned_ms;
	uint64_t heard_ms; /* time of the last heartbeat; 0: none yet */
	uint64_t config_version;
	uint64_t full_digest; /* digest of the last full heartbeat */
	int stopping;
	int has_departed;      /* sent a goodbye or has long been silent */
	int reported_isolated; /* the peer reports that it is isolated */
	int isolated;	/* isolated by its own report or by majority vote */
	int store_lost; /* reports that it can't read the store */
	int delisted;	/* removed from the store's list since it was heard */
	/* Hashes of the nodes from which the peer gets no heartbeats. */
	uint32_t silent_hashes[FLEET_SILENT_MAX];
	uint32_t silent_count;
	struct fleet_server server;
	/* The last server of the node that announced its shutdown. */
	struct fleet_departed_server departed_server;
};

/* The known nodes.  Handles of peers stay valid until the table is freed. */
struct fleet_table {
	struct fleet_peer *peers;
	size_t count, cap;
	char node[FLEET_NAME_BYTES]; /* name of this node */
	uint64_t node_hash;	     /* of the name of this node */
	uint64_t heartbeat_interval_ms;
	uint64_t members_changed_ms; /* last change of the set of live nodes */
	uint64_t live_digest;	     /* digest of that set */
	int node_list_complete; /* the node list of the store has been read */
	uint32_t reported_size; /* largest fleet size that a peer reported */
	int self_store_lost;	/* this node can't read the store */
	int self_isolated;	/* this node is isolated: it owns no limits */
	/* This node has taken part in ownership since the quorum. */
	int was_participating;
	/* Last time at which no majority received this node's heartbeats. */
	uint64_t unheard_by_majority_ms;
	/* End of this node's isolation after a pause. */
	uint64_t isolated_until_ms;
};

void fleet_table_init(struct fleet_table *, const char *, uint64_t);
void fleet_table_finish(struct fleet_table *);
int fleet_find(const struct fleet_table *, const char *);
void fleet_set_node_list_complete(struct fleet_table *);
int fleet_add_node(struct fleet_table *, const char *, uint32_t, uint64_t);
int fleet_apply_heartbeat(
    struct fleet_table *, const struct fleet_heartbeat *, uint64_t, int *);
int fleet_apply_load_heartbeat(struct fleet_table *,
    const struct fleet_load_heartbeat *, uint32_t, uint64_t);
void fleet_note_departure(struct fleet_peer *, const struct fleet_heartbeat *);
int fleet_server_has_departed(
    const struct fleet_departed_server *, const char *, uint64_t);
uint64_t fleet_heartbeat_digest(const struct fleet_heartbeat *);
void fleet_apply_goodbye(
    struct fleet_table *, const struct fleet_heartbeat *, uint64_t);
uint64_t fleet_dead_after_ms(const struct fleet_table *);
int fleet_is_alive(const struct fleet_table *, size_t, uint64_t);
int fleet_has_quorum(const struct fleet_table *, uint64_t);
void fleet_count(const struct fleet_table *, uint64_t, struct fleet_counts *);
int fleet_owner(const struct fleet_table *, uint64_t, uint64_t);
int fleet_successor(const struct fleet_table *, uint64_t);
size_t fleet_store_readers(const struct fleet_table *, int *, size_t);
uint64_t fleet_weight(uint64_t, uint64_t);
uint32_t fleet_size(const struct fleet_table *);
void fleet_update_members(struct fleet_table *, uint64_t);
uint32_t fleet_list_silent(const struct fleet_table *, uint64_t, uint32_t *);
int fleet_must_prune(const struct fleet_table *, uint64_t);
int fleet_is_prunable(const struct fleet_table *, const char *, uint64_t);
void fleet_set_pruned(struct fleet_table *, uint64_t);
void fleet_apply_pause(struct fleet_table *, uint64_t, uint64_t);
uint64_t fleet_interval_ms(const struct fleet_table *);

/* Callbacks of a fleet socket.  Each gets the context of fleet_net_init(). */
struct fleet_ops {
	/* Fills in this node's own full heartbeat. */
	void (*fill_heartbeat)(void *, struct fleet_heartbeat *);
	/* A peer, given by its handle, sent a full heartbeat. */
	void (*on_full_heartbeat)(void *, int, const struct fleet_heartbeat *);
	/* A peer reported its load, in a full or in a load heartbeat. */
	void (*on_load)(void *, int, const struct fleet_load *);
	/* The live nodes or one peer changed: its handle, or FLEET_NONE. */
	void (*on_members_changed)(void *, int);
	void (*on_token_request)(void *, const struct fleet_token_request *,
	    const struct sockaddr_in *);
	void (*on_token_grant)(void *, const struct fleet_token_grant *);
	void (*on_crash_report)(void *, const struct fleet_crash_report *);
	void (*on_bucket_transfer)(void *, const struct fleet_bucket *);
	void (*on_proof_query)(void *, const struct fleet_proof_query *,
	    const struct sockaddr_in *);
	void (*on_proof)(void *, const struct fleet_proof *);
	void (*on_server_departed)(void *, const struct fleet_departure *);
	void (*on_route_profile)(void *, const struct fleet_route_profile *);
};

/* The UDP socket through which nodes exchange messages. */
struct fleet_net {
	uv_loop_t *loop;
	uv_udp_t udp;
	uv_timer_t timer;
	uint16_t port; /* the same at all nodes */
	struct fleet_table *table;
	const struct seal *seal;
	const struct fleet_ops *ops;
	void *ctx;
	uint64_t members_updated_ms; /* last update of the live nodes */
	uint64_t heartbeats_sent;    /* heartbeats sent to all nodes */
	uint64_t sent_digest;	     /* digest of the last full heartbeat */
	/* Number of full heartbeats still to be sent after a change. */
	uint32_t full_heartbeats_due;
	uint64_t undecodable;	/* datagrams that could not be decoded */
	uint64_t seal_rejected; /* datagrams without a valid seal */
};

int fleet_net_init(struct fleet_net *, uv_loop_t *, const struct sockaddr_in *,
    struct fleet_table *, const struct seal *, const struct fleet_ops *,
    void *);
void fleet_net_close(struct fleet_net *);
void fleet_send_heartbeat_all(struct fleet_net *, int);
void fleet_send_heartbeat(struct fleet_net *, uint32_t);
void fleet_send(struct fleet_net *, const struct fleet_msg *, uint32_t);
void fleet_send_all(struct fleet_net *, const struct fleet_msg *);

#endif

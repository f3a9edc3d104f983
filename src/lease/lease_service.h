#ifndef LEASE_LEASE_SERVICE_H
#define LEASE_LEASE_SERVICE_H

#include <pthread.h>
#include <stdio.h>

#include "lease/lease.h"
#include "logsvc/logsvc.h"
#include "rpc/rpc.h"

#define LEASE_MEMBERS_MAX 4096 /* members considered by decisions */

enum lease_proc {
	LEASE_PROC_HEARTBEAT,
	LEASE_PROC_PAGE,
	LEASE_PROC_MAX
};

/* Settings and callbacks of the service. */
struct lease_config {
	struct node_id self;
	struct logsvc log;
	rpc_call_fn call;
	void *call_ctx;
	/* Lists up to max members with this node; returns their number. */
	size_t (*members)(void *, struct lease_member *, size_t);
	void *members_ctx;
	lease_ready_fn ready;
	void *ready_ctx;
	uint64_t long_ms;      /* 0: LEASE_LONG_MS */
	uint64_t retention_ms; /* retention of records in the log */
};

struct lease_service {
	struct lease_config cfg;
	pthread_mutex_t lock; /* guards all fields below except published */
	pthread_cond_t wake;
	struct lease_table table;
	struct lease_decider decider;
	struct lease_member *members;
	uint64_t log_start; /* oldest offset in the log at the last read */
	uint64_t started_ms;
	/* Time since when a new node can't rebuild the table; 0: it can. */
	uint64_t unreadable_since_ms;
	uint64_t jitter_ms;  /* random delay of this node */
	int poll_soon;	     /* an owner is unreachable */
	int peer_table_read; /* a peer has reported its table */
	int poll_now;	     /* this standby got a request for the owner */
	int stop;
	pthread_t log_thread;
	pthread_t heartbeat_thread;
	struct lease_table *published; /* copy for request threads, under RCU */
};

/* Procedures for the RPC server; their context is the service. */
extern const struct rpc_proc lease_procs[LEASE_PROC_MAX];

int lease_service_init(struct lease_service *, const struct lease_config *);
void lease_service_finish(struct lease_service *);
void lease_service_lookup(void *, uint32_t, uint64_t, struct lease_view *);
void lease_service_poll_soon(struct lease_service *);
void lease_service_poll_now(struct lease_service *);
int lease_service_hand_over(struct lease_service *, uint32_t);
int lease_service_wait_released(struct lease_service *, uint32_t);
int lease_service_ready(struct lease_service *);
void lease_service_dump(struct lease_service *, FILE *);

/* lease_rpc.c */
void lease_send_heartbeats(struct lease_service *);
void lease_fetch_peer_table(struct lease_service *);
void lease_publish(struct lease_service *);

#endif

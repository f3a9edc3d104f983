#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "fleet/fleet_xdr.h"
#include "fleet/seal.h"

#define FLEET_NAME_BYTES (FLEET_NAME_MAX + 1)
#define FLEET_SELF (-1) /* in place of a peer's handle */
#define FLEET_NONE (-2)
#define FLEET_SIZE_UNKNOWN UINT32_MAX

/* A backend server, as its node told. */
struct fleet_server {
	char id[FLEET_NAME_BYTES]; /* empty: the node has no server */
	char service[FLEET_NAME_BYTES];
	uint64_t born_ms;
	uint32_t slots;
	uint64_t cold_until_ms; /* on this node's clock */
	uint32_t running;
	uint32_t waiting;
	double offered; /* work that arrives, as a share of its slots */
	double run_s;	/* mean time of a run; 0: not known */
	double failing; /* share of its runs */
	int leaving;
};

/* Another node. */
struct fleet_peer {
	char node[FLEET_NAME_BYTES];
	char zone[FLEET_NAME_BYTES];
	uint64_t hash; /* of the name */
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t address; /* IPv4, host order */
	uint16_t port;	  /* for forwarded requests; 0 until heard */
	uint64_t learned_ms;
	uint64_t heard_ms; /* 0: never */
	uint64_t config_version;
	uint64_t print; /* of the last whole beat */
	int stopping;
	int gone;     /* it said goodbye, or hasn't been heard of for long */
	int says_out; /* it decides for no limit */
	int out;      /* so it says, or most nodes don't hear it */
	uint32_t silent[FLEET_SILENT_MAX]; /* nodes that it doesn't hear */
	uint32_t silent_count;
	struct fleet_server server;
	/* The last server beside it that said that it ends. */
	char left_id[FLEET_NAME_BYTES];
	uint64_t left_born_ms;
};

/* Who is there, as this node knows.  Handles stay valid for good. */
struct fleet_table {
	struct fleet_peer *peers;
	size_t count, cap;
	char node[FLEET_NAME_BYTES];
	uint64_t hash;
	uint64_t interval_ms; /* of beats */
	uint64_t turned_ms;   /* when the set of live nodes last changed */
	uint64_t live_print;  /* a hash over that set */
	int listed;	      /* the store's list of nodes was read */
	uint32_t told_size;   /* most nodes that another one knew of */
	int out;	      /* most nodes don't hear this one, or lately */
	int was_in;	      /* it was not out since there was a quorum */
	uint64_t unheard_ms;  /* when most nodes last didn't hear it */
	uint64_t judged_ms;   /* after a pause, when it can know again */
};

void fleet_table_init(struct fleet_table *, const char *, uint64_t);
void fleet_table_finish(struct fleet_table *);
int fleet_find(const struct fleet_table *, const char *);
void fleet_listed(struct fleet_table *);
int fleet_learn(struct fleet_table *, const char *, uint32_t, uint64_t);
int fleet_heard(
    struct fleet_table *, const struct fleet_beat *, uint64_t, int *);
int fleet_pulsed(
    struct fleet_table *, const struct fleet_pulse *, uint32_t, uint64_t);
void fleet_note_left(struct fleet_peer *, const struct fleet_beat *);
int fleet_same_server(const char *, uint64_t, const char *, uint64_t);
int fleet_has_left(
    const struct fleet_peer *, const struct fleet_server_state *);
uint64_t fleet_print(const struct fleet_beat *);
void fleet_said_bye(struct fleet_table *, const struct fleet_beat *, uint64_t);
int fleet_alive(const struct fleet_table *, size_t, uint64_t);
int fleet_quorum(const struct fleet_table *, uint64_t);
int fleet_owner(const struct fleet_table *, uint64_t, uint64_t);
int fleet_successor(const struct fleet_table *, uint64_t);
size_t fleet_readers(const struct fleet_table *, int *, size_t);
uint32_t fleet_size(const struct fleet_table *);
void fleet_tick(struct fleet_table *, uint64_t);
uint32_t fleet_silent(const struct fleet_table *, uint64_t, uint32_t *);
void fleet_paused(struct fleet_table *, uint64_t, uint64_t);
uint64_t fleet_interval_ms(const struct fleet_table *);

/* What the owner of a fleet socket hears; all get the context given there. */
struct fleet_ops {
	void (*fill)(void *, struct fleet_beat *); /* this node's own beat */
	void (*heard)(void *, int, const struct fleet_beat *); /* a whole one */
	void (*told)(
	    void *, int, const struct fleet_load *); /* after it, too */
	void (*turned)(void *, int); /* a peer, or FLEET_NONE: who is alive */
	void (*ask)(
	    void *, const struct fleet_ask *, const struct sockaddr_in *);
	void (*give)(void *, const struct fleet_give *);
	void (*strike)(void *, const struct fleet_strike *);
	void (*bucket)(void *, const struct fleet_bucket *);
	void (*doubt)(
	    void *, const struct fleet_doubt *, const struct sockaddr_in *);
	void (*proof)(void *, const struct fleet_proof *);
	void (*left)(void *, const struct fleet_left *);
};

/* The socket over which nodes talk. */
struct fleet_net {
	uv_loop_t *loop;
	uv_udp_t udp;
	uv_timer_t timer;
	uint16_t port; /* the same at all nodes */
	struct fleet_table *table;
	const struct seal *seal;
	const struct fleet_ops *ops;
	void *ctx;
	uint64_t ticked_ms;
	uint64_t beats;	   /* sent to all */
	uint64_t print;	   /* of the last whole one */
	uint32_t wholes;   /* that are still to come, since much has changed */
	uint64_t bad;	   /* datagrams that could not be read */
	uint64_t unsealed; /* datagrams without the seal of the fleet's key */
};

int fleet_net_init(struct fleet_net *, uv_loop_t *, const struct sockaddr_in *,
    struct fleet_table *, const struct seal *, const struct fleet_ops *,
    void *);
void fleet_net_close(struct fleet_net *);
void fleet_beat_all(struct fleet_net *, int);
void fleet_beat_one(struct fleet_net *, uint32_t);
void fleet_send(struct fleet_net *, const struct fleet_msg *, uint32_t);
void fleet_send_all(struct fleet_net *, const struct fleet_msg *);

#endif

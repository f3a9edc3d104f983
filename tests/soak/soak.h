#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <stdint.h>
#include <stdio.h>

#include <uv.h>

#include "http1/http1.h"

/*
 * A randomized soak: real nodes as processes, with stand-ins for the store,
 * the servers and the callers in this one, and faults from outside.
 */

#define NODES_MAX 200
#define NODES 5	       /* of the first seeds */
#define RELAYED_MAX 48 /* nodes between which this program can stand */
#define FRONTS(count) ((count)*3 / 5) /* beside servers of "front" */
#define REQUESTS_MAX 65536
#define SLOTS 24
#define RUN_MS 16000
#define FAULTS_FROM_MS 3000
#define FAULTS_TO_MS 9000 /* none begins later */
#define CALM_MS 13500	  /* from then on all must be well */
#define RATE_BIG 600
#define RATE_SMALL 20
#define REVOKE_MS 5000
#define DRAIN_MS 2000
#define ARRIVALS_MAX 64 /* more than any rate allows in its window */

enum port {
	PORT_ENTRY = 7001,
	PORT_EXIT,
	PORT_CONTROL,
	PORT_READY,
	PORT_FLEET,
	PORT_SERVER,	   /* the server itself */
	PORT_SERVER_PROXY, /* as its node reaches it */
	PORT_STORE,
	PORT_STORE_PROXY
};

enum workspace {
	WS_BIG,
	WS_SMALL,
	WS_OLD,
	WS_MAX
};

/* What became of a request, from both sides. */
struct request {
	uint32_t sent_ms; /* since the start of the run */
	uint8_t node;
	uint8_t ws;
	uint8_t once; /* must not be repeated */
	uint8_t runs;
	uint8_t broke; /* its server broke the exchange off */
	uint8_t ended; /* 1: answered, 2: broken, 3: not sent */
	uint16_t status;
	uint32_t ran_ms;
};

/* A link through a proxy, and what is done to it. */
enum link_mode {
	LINK_PASS,
	LINK_SILENT,
	LINK_ONE_WAY,
	LINK_SLOW
};

struct proxy {
	uv_tcp_t listener;
	struct sockaddr_in to;
	enum link_mode mode;
	struct proxy_pair *pairs;
};

struct server {
	struct h1_server http;
	int node;
	int up;
	int leaving;
	char id[32];
	uint64_t born_ms;
	uint64_t sequence;
	uint64_t acked_ms; /* that it leaves; 0: no */
	double break_share, extra_share, slow_x;
	double rate;	   /* that it names in its answers; 0: none */
	uint64_t named_ms; /* first answer that named it; 0: none yet */
	uint64_t told_ms;  /* first answer that said it leaves; 0: none */
	uint64_t arrivals[ARRIVALS_MAX]; /* times of the last requests */
	uint32_t arrival_count;
	struct h1_pool control;
	struct h1_pool calls;
	uv_timer_t beat;
};

struct node {
	uv_process_t process;
	int running; /* as this program started and has not seen it end */
	int stopped; /* SIGSTOP */
	int asked;   /* SIGTERM was sent */
	int ready;
	int misses;
	uint64_t probed_ms;
	uint64_t harmed_ms; /* last unplanned harm to it ended */
	struct h1_pool entry;
	struct h1_pool probe;
	struct server server;
	struct proxy store_link;
	struct proxy server_link;
	struct proxy node_link; /* connections of other nodes to this one */
	uv_udp_t relay;		/* datagrams of other nodes to this one */
	int deaf;		/* datagrams to it are lost */
	int mute;		/* those from it are */
	uv_timer_t caller;
	uv_timer_t respawn;
	FILE *log;
};

struct store {
	struct h1_server http;
	int down;
	double lose;	  /* share of appends without an answer */
	uint64_t slow_ms; /* before each answer */
	uint64_t version;
	uint64_t revoked_ms; /* since the start of the run; 0: not yet */
};

struct soak {
	uv_loop_t loop;
	uint64_t seed, rnd;
	uint64_t start_ms;
	int net; /* second byte of all addresses */
	struct node nodes[NODES_MAX];
	int count;	     /* of nodes */
	int relayed;	     /* nodes reach each other through this program */
	unsigned int starts; /* of nodes so far */
	int lossy;	     /* a part of all datagrams is lost */
	uint32_t kinds;	     /* of faults that are drawn */
	struct store store;
	struct request *requests;
	uint32_t request_count;
	uint32_t failures;
	uint32_t hot; /* times its usual that the small workspace sends */
	int over;
	uv_timer_t end;
	uv_timer_t faults[64];
	uint32_t fault_count;
};

extern struct soak soak;

uint64_t now_ms(void);
uint64_t chance(uint64_t);
void address(struct sockaddr_in *, int, enum port);
void address_told(struct sockaddr_in *, int, enum port);
void check_arrival(struct server *, const char *);
void wrong(const char *, ...) __attribute__((format(printf, 1, 2)));
void note(const char *, ...) __attribute__((format(printf, 1, 2)));

void settings_path(int, char *, size_t);
void settings_init(int);
void settings_change(int);
void settings_change_some(int);
void settings_storm(int);
void settings_well(int);
void store_init(struct store *);
void store_publish(struct store *);
void server_init(struct server *, int);
void server_start(struct server *);
void server_crash(struct server *);
void server_leave(struct server *);
void proxy_init(
    struct proxy *, const struct sockaddr_in *, const struct sockaddr_in *);
void proxy_mode(struct proxy *, enum link_mode);
void proxy_reset(struct proxy *);
void relay_init(struct node *);
int is_front(int);
void caller_init(struct node *);
void check_run(const char *, int, uint64_t, int);
void check_all(void);

#endif

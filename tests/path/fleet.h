#ifndef PATH_FLEET_H
#define PATH_FLEET_H

#include <jansson.h>

#include "harness.h"
#include "http.h"

/*
 * A whole system for a test: a log, nodes and backend servers, each pair of
 * node and server on a loopback address of its own.
 */

#define INST_MAX 40
#define CALLER_PORT 8080
#define INNER_PORT 8081
#define PEER_PORT 8082
#define RPC_PORT 8083
#define OPERATOR_PORT 8084
#define SERVER_PORT 9000
#define LOG_PORT 7000
#define PROXY_PORT 7001
#define EXTRA_MAX 10

/*
 * What an instance is made of.  Lists of extra arguments end with NULL.
 */
struct inst_spec {
	const char *domain;
	const char *service;
	int slots;
	int connections;
	int service_us;
	const char *server_args[EXTRA_MAX];
	const char *node_args[EXTRA_MAX];
};

struct inst {
	struct inst_spec spec;
	char addr[ADDR_TEXT];	    /* where it listens */
	char advertised[ADDR_TEXT]; /* where peers reach it */
	int node;
	int server;
	char runs[128]; /* file with the server's runs */
};

struct fleet {
	struct inst list[INST_MAX];
	int count;
	int log;
	int proxy; /* -1 unless peers reach each other through it */
	char log_addr[ADDR_TEXT];
	char proxy_addr[ADDR_TEXT];
	int version;
};

void fleet_init(struct fleet *, int);
int fleet_add(struct fleet *, const struct inst_spec *);
int fleet_start(struct fleet *);
void fleet_node_start(struct fleet *, int);
void fleet_server_start(struct fleet *, int);
int fleet_publish(struct fleet *, json_t *);
int fleet_publish_raw(struct fleet *, const char *, int, int, json_t *, long *);
int fleet_ready(struct fleet *, const char *, const char *, int);
void fleet_log_control(struct fleet *, const char *);
json_t *fleet_log_state(struct fleet *);
void fleet_server_control(struct fleet *, int, const char *);
json_t *fleet_server_state(struct fleet *, int);
json_t *fleet_runs(struct fleet *, int);
char *fleet_dump(struct fleet *, int);
char *fleet_received(struct fleet *, int);
void fleet_link(struct fleet *, const char *, const char *, const char *);
void fleet_call(
    struct fleet *, int, const char *, const char *, struct http_res *);
void fleet_show(struct fleet *);

/*
 * Configurations.
 */
struct route_spec {
	const char *name;
	const char *prefix;
	const char *service;
	int open;
	int idempotent;
	const char *priority;
	int deadline_ms;
	int retries;
};

json_t *conf_new(void);
void conf_route(json_t *, const struct route_spec *);
void conf_workspace(json_t *, const char *, const char *, double, int);
void conf_key(json_t *, const char *, const char *, const char *);
void conf_key_remove(json_t *, const char *, const char *);

#endif

#ifndef REVIEW_LAB_2_H
#define REVIEW_LAB_2_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins of the platform for the scripts of the second review: the store,
 * backend servers and callers, as threads of one program that also starts the
 * nodes as processes.  All addresses are loopback addresses: 127.NET.K.1 for
 * machine K, and 127.NET.250.1 for the store.
 */

#define LAB_NODES_MAX 16
#define LAB_ID_BYTES 64
#define LAB_FDS_MAX 4096

/* A blocking connection with a read buffer. */
struct lab_conn {
	int fd;
	size_t len;
	char buf[65536];
};

/* A message as it was read: the head as text and the body. */
struct lab_msg {
	char head[16384];
	char method[16];
	char target[512];
	int status;
	char *body;
	size_t body_len;
};

struct lab_server;

/* Runs a request at a server and writes the answer to the connection. */
typedef void (*lab_run_fn)(
    struct lab_server *, struct lab_conn *, const struct lab_msg *);

/* A backend server beside a node. */
struct lab_server {
	int machine;
	char service[LAB_ID_BYTES];
	char id[LAB_ID_BYTES];
	uint64_t born_ms; /* Unix time */
	uint64_t sequence;
	int slots;
	volatile int running; /* requests at work */
	volatile int listening;
	volatile int leaving; /* health says 503, no more heartbeats */
	volatile int ended;
	int listener;
	char open_fds[LAB_FDS_MAX]; /* of its connections */
	lab_run_fn run;
	void *ctx;
};

/* A node process. */
struct lab_node {
	int machine;
	char service[LAB_ID_BYTES];
	pid_t pid;
	int ended; /* by itself */
};

void lab_init(const char *);
int lab_finish(int);
uint64_t lab_ms(void);
void lab_sleep_until(uint64_t);
void lab_note(const char *, ...) __attribute__((format(printf, 1, 2)));
void lab_thread(void *(*)(void *), void *);
int lab_trouble(void);

void lab_publish(const char *);
void lab_store_silence(void);
void lab_store_return(size_t);

void lab_node_start(int, const char *);
void lab_node_signal(int, int);
void lab_node_wait(int);
int lab_node_alive(int);
int lab_wait_ready(int, int);

void lab_server_init(struct lab_server *, int, const char *, lab_run_fn);
void lab_server_start(struct lab_server *);
int lab_server_beat(struct lab_server *, const char *, const char *);
int lab_server_beat_numbered(
    struct lab_server *, const char *, const char *, uint64_t);
int lab_server_delete(struct lab_server *);
void lab_server_end(struct lab_server *);
void lab_answer(struct lab_server *, struct lab_conn *, const struct lab_msg *,
    int, const char *, const char *);
void lab_run_for(struct lab_server *, struct lab_conn *, const struct lab_msg *,
    int);

int lab_connect(struct lab_conn *, int, int, int);
void lab_close(struct lab_conn *);
int lab_write(struct lab_conn *, const void *, size_t);
int lab_printf(struct lab_conn *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
int lab_read_head(struct lab_conn *, struct lab_msg *, int);
int lab_read_body(struct lab_conn *, struct lab_msg *, int);
int lab_header(const struct lab_msg *, const char *, char *, size_t);

enum lab_port {
	LAB_ENTRY,
	LAB_EXIT,
	LAB_READY,
	LAB_CONTROL,
	LAB_SERVER,
	LAB_FLEET,
	LAB_METRICS,
	LAB_STORE,
	LAB_PORTS
};

int lab_port(enum lab_port);
void lab_ip(int, char *, size_t);

#endif

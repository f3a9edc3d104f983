#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins for the store, the servers and the clients, and a starter of
 * nodes.  Each connection has a thread.  All addresses are loopback addresses.
 */

#define LAB_MACHINES_MAX 8
#define LAB_HEAD_MAX 16384

enum lab_port {
	LAB_READY = 8546,
	LAB_INBOUND = 8543,
	LAB_OUTBOUND = 8548,
	LAB_CONTROL = 8540,
	LAB_APP = 8547,
	LAB_STORE = 8545,
	LAB_FLEET = 7000,
	LAB_METRICS = 9464
};

/* A connection with a read buffer. */
struct lab_conn {
	int fd;
	double opened_s;
	char buf[65536];
	size_t pos, len;
};

/* A request as a server or the store received it. */
struct lab_request {
	char head[LAB_HEAD_MAX];
	char method[16];
	char path[512];
	char id[128]; /* X-Cyclamenvale-Attempt-Id */
	char *body;
	size_t body_len;
	double received_s; /* when its head was complete */
};

struct lab_machine;

/* Answers a request; returns -1 to close the connection. */
typedef int (*lab_handler)(
    struct lab_machine *, struct lab_conn *, struct lab_request *);

struct lab_machine {
	int index;
	char name[32], ip[32], zone[16], service[32];
	pid_t pid; /* of the node; 0: none */
	char id[32];
	uint64_t born_ms;
	uint64_t sequence;
	int slots;
	int heartbeats; /* 1: the server announces itself */
	int leaving;
	double beat_s; /* time of the last acknowledged heartbeat */
	lab_handler handler;
	/* 1: the handler is called before the body has been read. */
	int early;
	int running;
	int listener;
	int ended;
};

struct lab_answer {
	int status; /* 0: none */
	int complete;
	char head[LAB_HEAD_MAX];
	char *body;
	size_t body_len;
	size_t length; /* from Content-Length */
	int closes;
	double retry_after_s;
	char id[128];
};

extern struct lab_machine lab_machines[LAB_MACHINES_MAX];
extern int lab_count;
extern int lab_trouble; /* 0 with TROUBLE=0 */

void lab_init(int, const char *const *);
void lab_servers_start(void);
void lab_fail_setup(const char *, ...) __attribute__((format(printf, 1, 2)));
double lab_now(void);
void lab_sleep_until(double);
void lab_record(const char *, ...) __attribute__((format(printf, 1, 2)));
void lab_publish(const char *);
void lab_node_start(int);
void lab_node_signal(int, int);
int lab_node_ended(int);
void lab_node_reap(int);
void lab_await_ready(double);
int lab_announce(struct lab_machine *, const char *, const char *);
void lab_server_end(struct lab_machine *);
void lab_first_request(int, const char *, const char *);
int lab_finish(int);

int lab_listen(const char *, int);
int lab_connect(const char *, int, int, int, double);
int lab_send(int, const void *, size_t);
int lab_read_head(struct lab_conn *, char *, size_t);
int lab_read_body(struct lab_conn *, const char *, char **, size_t *);
ssize_t lab_read(struct lab_conn *, void *, size_t);
int lab_field(const char *, const char *, char *, size_t);
int lab_reply(struct lab_conn *, const struct lab_machine *,
    const struct lab_request *, int, const char *, const void *, size_t);
void lab_answer_free(struct lab_answer *);
int lab_read_answer(struct lab_conn *, struct lab_answer *, double);
void lab_thread(void *(*)(void *), void *);

#endif

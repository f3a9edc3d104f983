#ifndef LAB_H
#define LAB_H

/*
 * Stand-ins for the cases of the third review: the store, servers beside the
 * nodes and clients, with a thread for each connection.  The nodes are real
 * processes on loopback addresses.
 */

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define NODES_MAX 16
#define PORT_ENTRY 8548
#define PORT_EXIT 8543
#define PORT_READY 8546
#define PORT_CONTROL 8540
#define PORT_SERVER 8547
#define PORT_STORE 8545
#define PORT_FLEET 7000
#define PORT_METRICS 9464

/* A message as received: a request at a server, or a response at a client. */
struct msg {
	char head[16384];
	char method[16], target[512];
	char id[128];
	int status;
	int complete;	/* the whole body was received */
	int keep_alive;
	uint64_t body_len; /* bytes of the body received */
	char body[65536];  /* its beginning */
};

struct server {
	int node;
	char id[64];
	char service[64];
	uint64_t born_ms;
	unsigned int sequence;
	int slots;
	volatile int running; /* requests at work */
	volatile int silent;  /* sends no heartbeats */
	volatile int draining;
	volatile int health;  /* status of its health check */
	/* Serves a request.  Returns 0 to close the connection. */
	int (*serve)(struct server *, int, struct msg *);
	void *ctx;
};

uint64_t lab_ms(void);
uint64_t lab_unix_ms(void);
void lab_sleep(uint64_t);
uint64_t lab_random(void);
int lab_trouble(void);
void lab_init(const char *);
void lab_record(const char *, ...) __attribute__((format(printf, 1, 2)));
void lab_die(const char *, ...) __attribute__((format(printf, 1, 2), noreturn));
int lab_finish(int);

const char *lab_ip(int);
void lab_store_start(void);
void lab_publish(const char *);
void lab_store_restore(uint64_t, size_t);
void lab_node_start(int, const char *, const char *);
void lab_node_signal(int, int);
int lab_node_ended(int, int);
int lab_ready(int, int);
void lab_wait_ready(int, int);
void lab_server_start(struct server *);
int lab_beat(struct server *, const char *, unsigned int);
int lab_leave(struct server *);
void lab_thread(void *(*)(void *), void *);

int lab_connect(const char *, int, int);
int lab_write(int, const void *, size_t);
int lab_read_head(int, struct msg *, uint64_t);
int lab_read_message(int, struct msg *, uint64_t);
int lab_read_body(int, struct msg *, uint64_t);
const char *lab_field(const struct msg *, const char *, char *, size_t);
int lab_answer(int, const struct msg *, int, const char *, const void *, size_t);
void lab_new_id(char *, size_t);

#endif

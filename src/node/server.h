#ifndef NODE_SERVER_H
#define NODE_SERVER_H

#include <pthread.h>
#include <stdint.h>

#include "member/member.h"

/* The backend server beside a node, as it last announced itself. */
struct server {
	pthread_mutex_t lock;
	struct member_announce announce;
	uint64_t heard_ms;
	uint64_t dead_incarnation; /* refused until a new one is announced */
	int draining;
};

enum server_change {
	SERVER_SAME,
	SERVER_NEW,
	SERVER_REPLACED, /* another process, the one before was still up */
	SERVER_CHANGED,
	SERVER_CHANGE_MAX
};

void server_init(struct server *);
void server_finish(struct server *);
enum server_change server_announced(
    struct server *, const struct member_announce *, uint64_t);
void server_drain(struct server *);
void server_gone(struct server *);
void server_heard(struct server *, uint64_t, uint64_t);
int server_died(struct server *, uint64_t);
void server_get(struct server *, uint64_t, struct member_announce *);

#endif

#ifndef CONFIG_SERVICE_H
#define CONFIG_SERVICE_H

#include <pthread.h>
#include <stdio.h>

#include "config/config.h"
#include "logsvc/logsvc.h"

/* Called on the reader's thread after a version came in force. */
typedef void (*config_changed_fn)(void *, const struct config *);

/* Called after each read that reached the end of the stream. */
typedef void (*config_read_fn)(void *, uint64_t);

/*
 * Follows the stream of publications and keeps the version in force where
 * request threads read it without locks.
 */
struct config_service {
	struct logsvc log;
	struct config *current; /* read under rcu_read_lock() */
	struct config_state state;
	pthread_mutex_t lock; /* of state */
	pthread_t thread;
	int wake_fd;
	int running;
	uint32_t poll_ms;
	config_changed_fn changed;
	config_read_fn read_done;
	void *ctx;
};

int config_service_init(struct config_service *, const struct logsvc *,
    uint32_t, config_changed_fn, config_read_fn, void *);
int config_service_start(struct config_service *);
void config_service_finish(struct config_service *);
const struct config *config_current(const struct config_service *);
uint64_t config_service_version(struct config_service *);
int config_service_offer(struct config_service *, const char *, size_t);
char *config_service_snapshot(struct config_service *);

#endif

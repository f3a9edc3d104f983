#ifndef PUBLISH_PUBLISH_H
#define PUBLISH_PUBLISH_H

#include <stddef.h>
#include <stdint.h>

#include "base/find.h"
#include "config/config.h"
#include "logsvc/logsvc.h"

#define PUBLISH_ID_BYTES (CONFIG_ID_HEX + 1) /* an id with its NUL */

/*
 * What the publisher uses of the world: the log, a clock (ms) and a sleep
 * (ms), so that tests can stand in.
 */
struct publish_env {
	struct logsvc log;
	uint64_t (*now)(void *);
	void (*sleep)(void *, uint32_t);
	void *ctx;
};

/*
 * A reader of the stream of publications.  It works out the version in force
 * as the nodes do, and what became of the publication with one id.
 */
struct publish_reader {
	const struct publish_env *env;
	struct config_state state;
	char id[PUBLISH_ID_BYTES];
	int found;
	enum config_outcome outcome; /* of the publication, if sighted */
	uint64_t published_version;  /* that the publication made, if taken */
	int log_trimmed;	     /* the log's oldest records are gone */
};

enum publish_status {
	PUBLISH_WON,
	PUBLISH_LOST,	     /* another version is in force */
	PUBLISH_INVALID,     /* the nodes reject the record */
	PUBLISH_UNAVAILABLE, /* nothing was written */
	PUBLISH_UNSYNCED,    /* the log doesn't tell the version in force */
	PUBLISH_UNKNOWN,     /* it may have been written */
	PUBLISH_PENDING,     /* not written yet */
	PUBLISH_STATUS_MAX
};

/* A configuration to publish and the version it was made from. */
struct publication {
	const char *text;
	const char *author;
	uint64_t base;
	uint32_t timeout; /* ms */
};

void publish_id(char *);
void publish_reader_init(
    struct publish_reader *, const struct publish_env *, const char *);
void publish_reader_finish(struct publish_reader *);
enum logsvc_status publish_catch_up(struct publish_reader *, uint32_t);
uint64_t publish_version(const struct publish_reader *);
enum publish_status publish_run(
    struct publish_reader *, const struct publication *, uint64_t *);

char *publish_grant(
    const char *, const char *, const char *, const char *, struct finds *);
char *publish_withdraw(
    const char *, const char *, const char *, struct finds *);

#endif

#ifndef PUBLISH_PUBLISH_H
#define PUBLISH_PUBLISH_H

#include <stddef.h>
#include <stdint.h>

#include "base/find.h"
#include "config/config.h"
#include "logsvc/logsvc.h"

#define PUBLISH_ID_BYTES (CONFIG_ID_HEX + 1) /* with the NUL */

/*
 * Environment of the publisher: the log, a clock (ms) and a sleep (ms).  Tests
 * replace it.
 */
struct publish_env {
	struct logsvc log;
	uint64_t (*now_ms)(void *);
	void (*sleep_ms)(void *, uint32_t);
	void *ctx;
};

/*
 * A reader of the stream of publications.  It determines the version in force
 * by the same rules as the nodes, and the outcome of the publication with id.
 */
struct publish_reader {
	const struct publish_env *env;
	struct config_state state;
	char id[PUBLISH_ID_BYTES];
	int found;		     /* a publication with id was read */
	enum config_outcome outcome; /* of that publication, if found */
	uint64_t published_version;  /* created by it if it was accepted */
	int log_trimmed;	     /* the oldest records were deleted */
};

enum publish_status {
	PUBLISH_ACCEPTED,    /* the configuration came into force */
	PUBLISH_CONFLICT,    /* its base is not the version in force */
	PUBLISH_INVALID,     /* the nodes reject the record */
	PUBLISH_UNAVAILABLE, /* nothing was written */
	PUBLISH_UNSYNCED,    /* the version in force is unknown */
	PUBLISH_UNKNOWN,     /* it may have been written or accepted */
	PUBLISH_PENDING,     /* not written yet */
	PUBLISH_STATUS_MAX
};

/* A configuration to publish. */
struct publication {
	const char *text;
	const char *author;
	uint64_t base_version; /* version that the text was made from */
	uint32_t timeout_ms;
};

void publish_new_id(char *);
void publish_reader_init(
    struct publish_reader *, const struct publish_env *, const char *);
void publish_reader_finish(struct publish_reader *);
enum logsvc_status publish_catch_up(struct publish_reader *, uint32_t);
uint64_t publish_current_version(const struct publish_reader *);
enum publish_status publish_config(
    struct publish_reader *, const struct publication *, uint64_t *);

char *publish_add_key(
    const char *, const char *, const char *, const char *, struct finds *);
char *publish_remove_key(
    const char *, const char *, const char *, struct finds *);

#endif

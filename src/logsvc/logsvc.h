#ifndef LOGSVC_LOGSVC_H
#define LOGSVC_LOGSVC_H

#include <stddef.h>
#include <stdint.h>

#define LOGSVC_RECORD_MAX (1024 * 1024) /* bytes of one record */

enum logsvc_status {
	LOGSVC_OK,
	LOGSVC_REFUSED,	    /* the service said no: nothing was written */
	LOGSVC_UNAVAILABLE, /* never sent: nothing was written */
	LOGSVC_UNKNOWN,	    /* no answer: an append may have been written */
	LOGSVC_STATUS_MAX
};

struct logsvc_record {
	uint64_t offset;
	char *data;
	size_t len;
};

struct logsvc_batch {
	uint64_t first; /* oldest offset that the service still keeps */
	uint64_t next;	/* offset that the next record will get */
	struct logsvc_record *list;
	size_t count;
};

/*
 * The platform's log as the rest of the program sees it.  Another protocol
 * takes its place by filling in these two functions.  Both block up to the
 * timeout (ms) and are called by control threads only.
 */
struct logsvc {
	enum logsvc_status (*append)(
	    void *, const char *, const char *, size_t, uint32_t, uint64_t *);
	enum logsvc_status (*read)(void *, const char *, uint64_t, uint32_t,
	    uint32_t, uint32_t, struct logsvc_batch *);
	void *ctx;
};

struct logsvc_http;

struct logsvc_http *logsvc_http_new(const char *);
void logsvc_http_free(struct logsvc_http *);
void logsvc_http_use(struct logsvc_http *, struct logsvc *);
void logsvc_batch_finish(struct logsvc_batch *);

#endif

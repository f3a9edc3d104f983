#ifndef OPTIONS_WATCH_H
#define OPTIONS_WATCH_H

#include <uv.h>

#include "http1/http1.h"
#include "options/options.h"

/* Settings that are read again when their file changes. */
struct options_watch {
	struct node_options *in_force;
	struct node_options accepted; /* of the last valid file */
	const struct options_source *source;
	void (*on_change)(void *); /* settings in force have changed */
	void *ctx;
	uv_timer_t timer;
	uv_signal_t sighup;
	uint64_t rejected_digest; /* of the last file with errors; 0: none */
	int unreadable;		  /* the file couldn't be read */
	uint64_t accepted_ms;
	int left_out; /* larger values not in force yet */
	uint64_t reloads;
	uint64_t rejections;
};

void options_watch_init(struct options_watch *, uv_loop_t *,
    struct node_options *, const struct options_source *, void (*)(void *),
    void *);
void options_watch_close(struct options_watch *);
void options_watch_read(struct options_watch *, const char *);
void options_watch_metrics(const struct options_watch *, struct h1_text *);

#endif

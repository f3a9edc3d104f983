#ifndef OPTIONS_OPTIONS_H
#define OPTIONS_OPTIONS_H

#include "base/find.h"
#include "relay/relay.h"

#define OPTIONS_PATH_BYTES 1024
#define OPTIONS_FILE_BYTES_MAX 65536

/* Settings of a node from its command line, environment and file. */
struct node_options {
	struct relay_settings relay;
	struct sockaddr_in control_addr; /* for announcements of the server */
	struct sockaddr_in ready_addr;	 /* for readiness requests */
	struct sockaddr_in metrics_addr; /* port 0: no metrics port */
	struct sockaddr_in store_addr;
	uint64_t grace_ms;	       /* time from SIGTERM to SIGKILL */
	char path[OPTIONS_PATH_BYTES]; /* of the settings file; empty: none */
	uint64_t file_digest;	       /* of the text of that file */
	int check_only;
	int quiet; /* write no log lines */
};

/* Where the settings were given, to read them again. */
struct options_source {
	int argc;
	char **argv;
	char *const *envp;
};

/* How a changed setting takes effect. */
enum options_effect {
	OPTIONS_AT_RESTART,
	OPTIONS_AT_ONCE,
	/* A smaller value at once, a larger one when all nodes have it. */
	OPTIONS_STRICTER_FIRST
};

/* Gets the name of a changed setting and how it takes effect. */
typedef void (*options_change_fn)(void *, const char *, enum options_effect);

int options_read(
    struct node_options *, int, char **, char *const *, struct finds *);
int options_read_again(
    struct node_options *, const struct options_source *, struct finds *);
size_t options_compare(const struct node_options *, const struct node_options *,
    options_change_fn, void *);
int options_apply(struct node_options *, const struct node_options *, int);
void options_usage(void);

#endif

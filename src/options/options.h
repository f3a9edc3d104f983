#ifndef OPTIONS_OPTIONS_H
#define OPTIONS_OPTIONS_H

#include "base/find.h"
#include "relay/relay.h"

/* What the command line of a node on a platform says. */
struct node_options {
	struct relay_settings relay;
	struct sockaddr_in control; /* announcements of the server come here */
	struct sockaddr_in ready;   /* where readiness is asked for */
	struct sockaddr_in metrics; /* port 0: none */
	struct sockaddr_in store;
	uint64_t grace_ms; /* from SIGTERM to SIGKILL */
	uint64_t end_ms;   /* from SIGTERM to the end in any case */
	int check_only;
	int quiet; /* no log lines */
};

int options_read(
    struct node_options *, int, char **, char *const *, struct finds *);
void options_usage(void);

#endif

#ifndef OPTIONS_OPTIONS_H
#define OPTIONS_OPTIONS_H

#include "base/find.h"
#include "relay/relay.h"

/* What the command line of a node on a platform says. */
struct node_options {
	struct relay_settings relay;
	struct sockaddr_in
	    control_addr; /* announcements of the server come here */
	struct sockaddr_in ready_addr;	 /* where readiness is asked for */
	struct sockaddr_in metrics_addr; /* port 0: none */
	struct sockaddr_in store_addr;
	uint64_t grace_ms;	  /* from SIGTERM to SIGKILL */
	uint64_t stop_timeout_ms; /* from SIGTERM to the end in any case */
	int check_only;
	int quiet; /* no log lines */
};

int options_read(
    struct node_options *, int, char **, char *const *, struct finds *);
void options_usage(void);

#endif

#ifndef OPTIONS_OPTIONS_H
#define OPTIONS_OPTIONS_H

#include "base/find.h"
#include "relay/relay.h"

/* Settings of a node from its command line and environment. */
struct node_options {
	struct relay_settings relay;
	struct sockaddr_in control_addr; /* for announcements of the server */
	struct sockaddr_in ready_addr;	 /* for readiness requests */
	struct sockaddr_in metrics_addr; /* port 0: no metrics port */
	struct sockaddr_in store_addr;
	uint64_t grace_ms;	  /* time from SIGTERM to SIGKILL */
	uint64_t stop_timeout_ms; /* longest time from SIGTERM to the exit */
	int check_only;
	int quiet; /* write no log lines */
};

int options_read(
    struct node_options *, int, char **, char *const *, struct finds *);
void options_usage(void);

#endif

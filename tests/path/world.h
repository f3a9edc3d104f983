#ifndef PATH_WORLD_H
#define PATH_WORLD_H

#include "openload.h"

/*
 * The two workloads at their sizes of today, with service times stretched
 * so that one machine carries them.
 */

#define WORLD_SERVICES 4
#define WORLD_WORKSPACES 8
#define WORLD_IMPORTANT 0.3 /* share of a service's demand */

struct world_service {
	const char *name;
	int servers;
	int slots;
	int connections;
	int service_ms;
	int orders; /* its important requests are not idempotent */
	const char *important_class;
	const char *bulk_class;
};

struct world {
	const char *name;
	int delay_us; /* one way between failure domains */
	struct world_service services[WORLD_SERVICES];
};

extern const struct world world_qarta;
extern const struct world world_brazos;

double world_capacity(const struct world *);
double world_server_capacity(const struct world *, const char *);
double world_service_capacity(const struct world_service *);
int world_start(struct fleet *, const struct world *, const char *, int);
json_t *world_conf(const struct world *, double, int);
void world_flows(struct openload *, const struct world *, int);
void world_slow(struct fleet *, const char *, int);
void world_quicken(struct fleet *, const struct world *, int);
void world_delays(struct fleet *, const struct world *);
void world_restart_dead(struct fleet *);
int world_ready(struct fleet *, const struct world *);
double world_share(int);
void world_key(int, char *, size_t);

#endif

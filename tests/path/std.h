#ifndef PATH_STD_H
#define PATH_STD_H

#include "fleet.h"

/*
 * The system that most tests start from.
 */

#define STD_READY_MS 15000
#define ACME_KEY "acme-key-5f1c9d2e7b"	 /* a workspace with room to spare */
#define CROWD_KEY "crowd-key-7b20e4c916" /* more than any test can ask for */
#define SMALL_KEY "small-key-90c4aa17e3" /* 5 a second, burst 2 */
#define MID_KEY "mid-key-3e6f20b8d1"	 /* 60 a second, burst 30 */

extern const struct inst_spec std_spec[3];

json_t *std_conf(void);
int std_start(struct fleet *, int, int);
int std_orders_ready(struct fleet *, int);
int std_route_says(struct fleet *, int, const char *, const char *, long, int);

#endif

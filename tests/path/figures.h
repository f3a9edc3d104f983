#ifndef PATH_FIGURES_H
#define PATH_FIGURES_H

#include "world.h"

/*
 * What the results of a load say about a trigger in the middle of it.
 */

#define FIGURES_RAMP_MS 1000 /* of the trigger that goodput leaves out */
#define FIGURES_BUCKET_MS 500
#define FIGURES_CALM_MS 2500 /* before the trigger, to compare with */
#define FIGURES_ENDS_MS 4000 /* a calm request has ended in this time */

/*
 * The load, when the trigger was on, and what there was to share.
 */
struct window {
	const struct openload *load;
	uint32_t on_ms;
	uint32_t off_ms;
	int after_ms;	  /* watched after the trigger */
	double capacity;  /* requests a second */
	double reachable; /* of it, what the trigger leaves */
	double rate;	  /* of all workspaces together, a second */
	int small_only;	  /* wrongful refusals of small workspaces only */
};

struct figures {
	double goodput;	  /* of capacity, during the trigger */
	double reachable; /* of the reachable capacity, during the trigger */
	double important; /* served of important requests, in the trigger */
	double normal;	  /* served of all that ended before the trigger */
	double caught;	  /* served of those that it may have found in flight */
	long recovery_ms; /* -1: not within the time watched */
	double worst;	  /* got of entitled, of the worst workspace */
	double wrongful;  /* refused of those within rate */
	double p50_ms;
	double p99_ms;
	size_t requests;
};

double figures_goodput(const struct openload *, uint32_t, uint32_t);
void figures_get(const struct window *, struct figures *);

#endif

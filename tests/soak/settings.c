#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define STORM 40 /* signals */

/* What the settings file of a node says. */
enum variant {
	VARIANT_USUAL,
	VARIANT_STRICT,
	VARIANT_HALF_WRITTEN,
	VARIANT_WRONG
};

static void settings_write(int, enum variant);
static void settings_signal(int);

/*
 * Gives the name of a node's settings file.
 */
void
settings_path(int k, char *path, size_t size)
{
	const char *build = getenv("BUILD");

	snprintf(path, size, "%s/soak-%llu-n%d.conf",
	    build != NULL ? build : "build", (unsigned long long)soak.seed, k);
}

/*
 * Writes the settings file of a node.
 */
static void
settings_write(int k, enum variant variant)
{
	int strict = variant != VARIANT_USUAL;
	char path[128];
	FILE *f;

	settings_path(k, path, sizeof(path));
	f = fopen(path, "w");
	if (f == NULL)
		err(1, "%s", path);
	fprintf(f,
	    "revoke = %dms\ngrace = 6s\nquota-overage = %s\n"
	    "quota-slack = %d\nretry-ratio = %s\nretry-slack = %d\n"
	    "memory-mb = %d\n",
	    strict ? REVOKE_MS - 500 : REVOKE_MS, strict ? "0.05" : "0.1",
	    strict ? 15 : 20, strict ? "0.1" : "0.2", strict ? 30 : 49,
	    strict ? 150 : 200);
	if (variant == VARIANT_WRONG)
		fprintf(f, "descriptors = many\nend\n");
	else if (variant != VARIANT_HALF_WRITTEN)
		fprintf(f, "descriptors = 1000\nend\n");
	if (fclose(f) != 0)
		err(1, "%s", path);
}

/*
 * Writes the usual settings file of a node.
 */
void
settings_init(int k)
{
	settings_write(k, VARIANT_USUAL);
}

/*
 * Sends SIGHUP to a node.
 */
static void
settings_signal(int k)
{
	if (soak.nodes[k].running)
		uv_process_kill(&soak.nodes[k].process, SIGHUP);
}

/*
 * Changes the file and tells the node.
 */
void
settings_change(int k)
{
	settings_write(k, VARIANT_STRICT);
	settings_signal(k);
}

/*
 * Changes the files of every third node, and tells none of them.
 */
void
settings_change_some(int k)
{
	for (k %= 3; k < soak.count; k += 3)
		settings_write(k, VARIANT_STRICT);
}

/*
 * Signals in a row, while the file is written anew between them.
 */
void
settings_storm(int k)
{
	int i;

	for (i = 0; i < STORM; i++) {
		settings_write(k, (enum variant)(i % 4));
		settings_signal(k);
	}
	settings_write(
	    k, chance(2) == 0 ? VARIANT_HALF_WRITTEN : VARIANT_WRONG);
	settings_signal(k);
}

/*
 * Lays the usual file at all nodes.
 */
void
settings_well(int k)
{
	int i;

	for (i = 0; i < soak.count; i++)
		settings_write(i, VARIANT_USUAL);
	settings_signal(k);
}

#include <err.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "cyclamenvale.h"
#include "model/model.h"

#define SEEDS_MAX 1000
#define PERCENT 100.0

/* What the command line asks for. */
struct options {
	const char *file;
	const char *csv;    /* a row a second goes there */
	const char *figure; /* JSON pointer of what is varied */
	char *values;	    /* of it, separated by commas */
	uint32_t seed;
	uint32_t seeds;
};

static void usage(FILE *);
static uint32_t count(const char *, const char *, uint32_t);
static json_t *load(const char *);
static int set_figure(json_t *, const char *, const char *);
static int run(const struct options *, json_t *, const char *, FILE *);
static void print_run(const struct model_load *, const struct model_result *);
static void print_row(
    const char *, const char *, uint32_t, const struct model_result *);
static void write_csv(
    FILE *, const char *, uint32_t, const struct model_result *);

/*
 * Tells how the program is used.
 */
static void
usage(FILE *f)
{
	fprintf(f,
	    "usage: cyclamenvale-sim [--seed N] [--seeds N] [--csv FILE]\n"
	    "           [--figure POINTER --values V,V,...] FILE\n");
}

/*
 * Reads a whole number from the command line, and ends the program if it is
 * none or out of range.
 */
static uint32_t
count(const char *option, const char *arg, uint32_t most)
{
	char *end;
	unsigned long v = strtoul(arg, &end, 10);

	if (*arg == '\0' || *end != '\0' || v > most)
		errx(2, "--%s: not a number up to %u: %s", option, most, arg);
	return (uint32_t)v;
}

/*
 * Reads a file of JSON.
 */
static json_t *
load(const char *file)
{
	json_error_t bad;
	json_t *root = json_load_file(file, 0, &bad);

	if (root == NULL)
		errx(2, "%s:%d: %s", file, bad.line, bad.text);
	return root;
}

/*
 * Sets the value at a pointer like /troubles/0/x.  Returns 0, or -1 if
 * nothing stands there.
 */
static int
set_figure(json_t *root, const char *pointer, const char *value)
{
	char path[256], *name, *next;
	json_t *o = root, *v, *at;

	snprintf(path, sizeof(path), "%s", pointer);
	name = path + (path[0] == '/');
	while ((next = strchr(name, '/')) != NULL) {
		*next = '\0';
		o = json_is_array(o)
			? json_array_get(o, strtoul(name, NULL, 10))
			: json_object_get(o, name);
		name = next + 1;
	}
	v = json_loads(value, JSON_DECODE_ANY, NULL);
	at = json_is_array(o) ? json_array_get(o, strtoul(name, NULL, 10)) : o;
	if (at == NULL || v == NULL) {
		json_decref(v);
		return -1;
	}
	if (json_is_array(o))
		return json_array_set_new(o, strtoul(name, NULL, 10), v);
	return json_object_set_new(o, name, v);
}

/*
 * Prints what became of each kind, workspace and call.
 */
static void
print_run(const struct model_load *l, const struct model_result *r)
{
	const struct model_count *c;
	uint32_t i;

	printf("%-16s %8s %8s %6s %8s %7s %7s\n", "kind", "asked", "in time",
	    "late", "refused", "failed", "credit");
	for (i = 0; i < l->kind_count; i++) {
		c = &r->kinds[i];
		if (c->asked > 0)
			printf("%-16s %8u %8u %6u %8u %7u %7.3f\n",
			    l->kinds[i].name, c->asked, c->in_time, c->late,
			    c->refused, c->failed, model_share(c));
	}
	for (i = 0; i < l->space_count; i++) {
		c = &r->spaces[i];
		printf("workspace %-6s %8u %8u %6u %8u %7u %7.3f\n",
		    l->spaces[i].name, c->asked, c->in_time, c->late,
		    c->refused, c->failed, model_share(c));
	}
}

/*
 * Prints the row of one run: the value of the figure, the seed and what came
 * of it.
 */
static void
print_row(const char *value, const char *figure, uint32_t seed,
    const struct model_result *r)
{
	printf("%s=%s seed=%u credit=%.3f refused=%u failed=%u over_rate=%u "
	       "worst_workspace=%.3f wasted_percent=%.1f turned_calls=%u "
	       "recovered_s=%.1f events=%llu\n",
	    figure != NULL ? figure : "figure", value, seed,
	    model_share(&r->all), r->all.refused, r->all.failed,
	    r->all.over_rate, r->worst_space,
	    r->work_s > 0 ? r->wasted_s / r->work_s * PERCENT : 0, r->turned,
	    r->recovered_s, (unsigned long long)r->events);
}

/*
 * Writes a row a second, to be plotted.
 */
static void
write_csv(
    FILE *f, const char *value, uint32_t seed, const struct model_result *r)
{
	const struct model_second *s;
	uint32_t i;

	for (i = 0; i < r->second_count; i++) {
		s = &r->seconds[i];
		fprintf(f, "%s,%u,%u,%u,%u,%u,%u,%.4f,%.3f,%u\n", value, seed,
		    i, s->all.asked, s->all.in_time + s->all.late,
		    s->all.refused, s->all.failed, model_share(&s->all),
		    s->busiest, s->turned);
	}
}

/*
 * Plays a load with each seed.  Returns 0, or 2 if it can't be read.
 */
static int
run(const struct options *o, json_t *root, const char *value, FILE *csv)
{
	static struct model_load l;
	static struct model_result r;
	struct finds finds;
	uint32_t i;

	finds_init(&finds);
	if (model_read(root, &l, &finds) == -1) {
		finds_print(&finds, stderr, o->file);
		finds_finish(&finds);
		return 2;
	}
	finds_finish(&finds);
	for (i = 0; i < o->seeds; i++) {
		model_run(&l, o->seed + i, &r);
		if (o->figure == NULL && o->seeds == 1)
			print_run(&l, &r);
		print_row(value, o->figure, o->seed + i, &r);
		if (csv != NULL)
			write_csv(csv, value, o->seed + i, &r);
	}
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct option longs[] = {
		{ "seed", required_argument, NULL, 's' },
		{ "seeds", required_argument, NULL, 'n' },
		{ "csv", required_argument, NULL, 'c' },
		{ "figure", required_argument, NULL, 'f' },
		{ "values", required_argument, NULL, 'v' },
		{ "help", no_argument, NULL, 'h' },
		{ "version", no_argument, NULL, 'V' },
		{ NULL, 0, NULL, 0 },
	};
	struct options o = { .seed = 1, .seeds = 1 };
	FILE *csv = NULL;
	json_t *root;
	char *value;
	int ch, rc = 0;

	while ((ch = getopt_long(argc, argv, "", longs, NULL)) != -1) {
		switch (ch) {
		case 's':
			o.seed = count("seed", optarg, UINT32_MAX);
			break;
		case 'n':
			o.seeds = count("seeds", optarg, SEEDS_MAX);
			break;
		case 'c':
			o.csv = optarg;
			break;
		case 'f':
			o.figure = optarg;
			break;
		case 'v':
			o.values = optarg;
			break;
		case 'h':
			usage(stdout);
			return 0;
		case 'V':
			printf("cyclamenvale-sim %s\n", CYCLAMENVALE_VERSION);
			return 0;
		default:
			usage(stderr);
			return 2;
		}
	}
	if (optind + 1 != argc || (o.figure == NULL) != (o.values == NULL)) {
		usage(stderr);
		return 2;
	}
	o.file = argv[optind];
	root = load(o.file);
	if (o.csv != NULL) {
		csv = fopen(o.csv, "w");
		if (csv == NULL)
			err(1, "%s", o.csv);
		fprintf(csv, "value,seed,second,asked,served,refused,failed,"
			     "credit,busiest,turned_calls\n");
	}
	if (o.figure == NULL)
		rc = run(&o, root, "-", csv);
	while (rc == 0 && (value = strsep(&o.values, ",")) != NULL) {
		if (set_figure(root, o.figure, value) == -1)
			errx(2, "nothing at %s, or no value: %s", o.figure,
			    value);
		rc = run(&o, root, value, csv);
	}
	json_decref(root);
	if (csv != NULL && fclose(csv) != 0)
		err(1, "%s", o.csv);
	return rc;
}

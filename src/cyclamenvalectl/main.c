#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cyclamenvale.h"
#include "cyclamenvalectl/ctl.h"

#define LOG_OPTS (OPT_BIT(OPT_LOG_URL) | OPT_BIT(OPT_TIMEOUT))
#define KEY_OPTS (OPT_BIT(OPT_WORKSPACE) | OPT_BIT(OPT_KEY_ID))
#define CHANGE_OPTS \
	(LOG_OPTS | KEY_OPTS | OPT_BIT(OPT_RETRY) | OPT_BIT(OPT_AUTHOR))
#define ANY_OPERANDS 1024

static void usage(FILE *);
static const struct ctl_verb *verb_find(const char *);

static const struct ctl_verb verbs[] = {
	{ .name = "check",
	    .run = ctl_check,
	    .operands_min = 1,
	    .operands_max = ANY_OPERANDS,
	    .operands = "FILE ...",
	    .help = "report every finding in a configuration" },
	{ .name = "publish",
	    .run = ctl_publish,
	    .allowed = LOG_OPTS | OPT_BIT(OPT_BASE) | OPT_BIT(OPT_ID) |
		       OPT_BIT(OPT_AUTHOR),
	    .required = OPT_BIT(OPT_LOG_URL),
	    .operands_min = 1,
	    .operands_max = 1,
	    .operands = "FILE",
	    .help = "publish a configuration" },
	{ .name = "show",
	    .run = ctl_show,
	    .allowed = LOG_OPTS,
	    .required = OPT_BIT(OPT_LOG_URL),
	    .operands = "",
	    .help = "print the configuration in force" },
	{ .name = "grant",
	    .run = ctl_grant,
	    .allowed = CHANGE_OPTS,
	    .required = OPT_BIT(OPT_LOG_URL) | KEY_OPTS,
	    .operands = "",
	    .help = "make a key for a workspace and print it once" },
	{ .name = "withdraw",
	    .run = ctl_withdraw,
	    .allowed = CHANGE_OPTS,
	    .required = OPT_BIT(OPT_LOG_URL) | KEY_OPTS,
	    .operands = "",
	    .help = "withdraw a workspace's key" },
	{ .name = "dump",
	    .run = ctl_dump,
	    .allowed =
		OPT_BIT(OPT_NODE) | OPT_BIT(OPT_JSON) | OPT_BIT(OPT_TIMEOUT),
	    .required = OPT_BIT(OPT_NODE),
	    .operands = "",
	    .help = "print the state of a node" },
	{ .name = "wait",
	    .run = ctl_wait,
	    .allowed = OPT_BIT(OPT_VERSION) | OPT_BIT(OPT_TIMEOUT),
	    .required = OPT_BIT(OPT_VERSION),
	    .operands_min = 1,
	    .operands_max = ANY_OPERANDS,
	    .operand_nodes = 1,
	    .operands = "NODE ...",
	    .help = "wait until a version is in force on nodes (IP:PORT)" },
	{ .name = "explain",
	    .run = ctl_explain,
	    .operands_min = 2,
	    .operands_max = ANY_OPERANDS,
	    .operands = "ID LOG ...",
	    .help = "join the log lines of all nodes about a request" },
};

#define VERBS (sizeof(verbs) / sizeof(verbs[0]))

/*
 * Prints the verbs and the exit codes.
 */
static void
usage(FILE *out)
{
	size_t i;

	fputs("usage: " CTL_PROG " VERB [--help] [OPTION ...] [OPERAND ...]\n"
	      "       " CTL_PROG " --help | --version\n\n",
	    out);
	for (i = 0; i < VERBS; i++)
		fprintf(out, "  %-10s%s\n", verbs[i].name, verbs[i].help);
	fputs("\nexit codes: 0 done, 1 findings, 2 wrong usage, 3 lost the "
	      "race,\n  4 log or node unavailable or outcome unknown, "
	      "5 time is over\n",
	    out);
}

/*
 * Finds a verb by name, or returns NULL.
 */
static const struct ctl_verb *
verb_find(const char *name)
{
	size_t i;

	for (i = 0; i < VERBS; i++)
		if (strcmp(verbs[i].name, name) == 0)
			return &verbs[i];
	return NULL;
}

/*
 * Runs the verb that the command line names.
 */
int
main(int argc, char **argv)
{
	const struct ctl_verb *v;
	struct ctl_args args;

	if (argc >= 2 && strcmp(argv[1], "--help") == 0) {
		usage(stdout);
		return CTL_OK;
	}
	if (argc >= 2 && strcmp(argv[1], "--version") == 0) {
		puts(CTL_PROG " " CYCLAMENVALE_VERSION);
		return CTL_OK;
	}
	v = argc >= 2 ? verb_find(argv[1]) : NULL;
	if (v == NULL) {
		if (argc >= 2)
			fprintf(stderr, CTL_PROG ": no verb %s\n", argv[1]);
		usage(stderr);
		return CTL_USAGE;
	}
	if (ctl_args_read(&args, v, argc - 1, argv + 1) == -1)
		return CTL_USAGE;
	if ((args.given & OPT_BIT(OPT_HELP)) != 0) {
		ctl_args_help(v);
		return CTL_OK;
	}
	if (sodium_init() == -1 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		fputs(CTL_PROG ": can't initialise libraries\n", stderr);
		return CTL_LOG;
	}
	return v->run(&args);
}

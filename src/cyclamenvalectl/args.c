#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cyclamenvalectl/ctl.h"

#define LOG_URL_ENV "CYCLAMENVALE_LOG_URL"
#define TIMEOUT_DEFAULT_MS 10000
#define MS_PER_S 1000
#define SECONDS_MAX 86400
#define OPT_WIDTH 28
#define OPT_VAL 256 /* getopt value of the first option */
#define NODE_BYTES 32

enum arg_kind {
	ARG_SWITCH,
	ARG_TEXT,
	ARG_NUMBER,
	ARG_SECONDS,
	ARG_ID,
	ARG_NODE,
	ARG_KIND_MAX
};

enum arg_find {
	FIND_UNKNOWN,
	FIND_NO_VALUE,
	FIND_BAD,
	FIND_MISSING,
	FIND_OPERANDS,
	FIND_ID_BASE,
	ARG_FIND_MAX
};

/* One option; the offset is that of its value in struct ctl_args. */
struct opt_row {
	const char *name;
	enum arg_kind kind;
	const char *word;
	size_t offset;
	const char *help;
};

static int read_text(const char *, void *);
static int read_number(const char *, void *);
static int read_seconds(const char *, void *);
static int read_id(const char *, void *);
static int read_node(const char *, void *);
static void options_fill(struct option *, const struct ctl_verb *);
static void value_read(
    struct ctl_args *, enum ctl_opt, const char *, struct finds *);
static void nodes_check(const struct ctl_args *, struct finds *);
static void args_check(
    struct ctl_args *, const struct ctl_verb *, struct finds *);

static const struct find_msg msgs[ARG_FIND_MAX] = {
	[FIND_UNKNOWN] = { FIND_ERROR, "unknown option" },
	[FIND_NO_VALUE] = { FIND_ERROR, "option needs a value" },
	[FIND_BAD] = { FIND_ERROR, "bad value" },
	[FIND_MISSING] = { FIND_ERROR, "required option is missing" },
	[FIND_OPERANDS] = { FIND_ERROR, "wrong number of operands" },
	[FIND_ID_BASE] = { FIND_ERROR,
	    "to publish again needs the base version of the first time" },
};

/* How each kind of value is read and described. */
static const struct {
	int (*read)(const char *, void *);
	const char *text;
} kinds[ARG_KIND_MAX] = {
	[ARG_SWITCH] = { NULL, "" },
	[ARG_TEXT] = { read_text, "a text" },
	[ARG_NUMBER] = { read_number, "a whole number" },
	[ARG_SECONDS] = { read_seconds, "0 to 86400 seconds" },
	[ARG_ID] = { read_id, "32 hexadecimal digits in lower case" },
	[ARG_NODE] = { read_node, "IP:PORT" },
};

#define AT(f) offsetof(struct ctl_args, f)

static const struct opt_row opts[OPT_MAX] = {
	[OPT_LOG_URL] = { "log-url", ARG_TEXT, "URL", AT(log_url),
	    "log service, http://IP:PORT (or set " LOG_URL_ENV ")" },
	[OPT_BASE] = { "base", ARG_NUMBER, "N", AT(base),
	    "version that the configuration was made from" },
	[OPT_ID] = { "id", ARG_ID, "HEX32", AT(id),
	    "publish again under the id of an earlier run" },
	[OPT_AUTHOR] = { "author", ARG_TEXT, "NAME", AT(author),
	    "who publishes" },
	[OPT_TIMEOUT] = { "timeout", ARG_SECONDS, "S", AT(timeout),
	    "longest time to try, seconds (default: 10)" },
	[OPT_WORKSPACE] = { "workspace", ARG_TEXT, "NAME", AT(workspace),
	    "workspace of the key" },
	[OPT_KEY_ID] = { "key-id", ARG_TEXT, "NAME", AT(key_id),
	    "public id of the key" },
	[OPT_RETRY] = { "retry", ARG_SWITCH, NULL, 0,
	    "start again from the new version when the race is lost" },
	[OPT_NODE] = { "node", ARG_NODE, "IP:PORT", AT(node),
	    "operator port of a node" },
	[OPT_JSON] = { "json", ARG_SWITCH, NULL, 0, "print JSON" },
	[OPT_VERSION] = { "version", ARG_NUMBER, "N", AT(version),
	    "version to wait for" },
	[OPT_HELP] = { "help", ARG_SWITCH, NULL, 0, "print this" },
};

/*
 * Reads any text that is not empty.
 */
static int
read_text(const char *s, void *dst)
{
	*(const char **)dst = s;
	return s[0] != '\0' ? 0 : -1;
}

/*
 * Reads a whole number.
 */
static int
read_number(const char *s, void *dst)
{
	unsigned long long n;
	char *end;

	errno = 0;
	n = strtoull(s, &end, 10);
	if (!isdigit((unsigned char)s[0]) || *end != '\0' || errno != 0 ||
	    n > INT64_MAX)
		return -1;
	*(uint64_t *)dst = n;
	return 0;
}

/*
 * Reads seconds, a fraction allowed, into milliseconds.
 */
static int
read_seconds(const char *s, void *dst)
{
	double n;
	char *end;

	n = strtod(s, &end);
	if (!isdigit((unsigned char)s[0]) || *end != '\0' ||
	    !(n <= SECONDS_MAX))
		return -1;
	*(uint64_t *)dst = (uint64_t)(n * MS_PER_S);
	return 0;
}

/*
 * Reads the id of a publication.
 */
static int
read_id(const char *s, void *dst)
{
	*(const char **)dst = s;
	if (strlen(s) != CONFIG_ID_HEX ||
	    strspn(s, "0123456789abcdef") != CONFIG_ID_HEX)
		return -1;
	return 0;
}

/*
 * Reads IP:PORT.
 */
static int
read_node(const char *s, void *dst)
{
	char buf[NODE_BYTES];
	struct in_addr in;
	uint64_t port;
	char *colon;

	*(const char **)dst = s;
	if (strlen(s) >= sizeof(buf))
		return -1;
	memcpy(buf, s, strlen(s) + 1);
	colon = strchr(buf, ':');
	if (colon == NULL)
		return -1;
	*colon = '\0';
	if (inet_pton(AF_INET, buf, &in) != 1)
		return -1;
	if (read_number(colon + 1, &port) == -1 || port < 1)
		return -1;
	return port <= UINT16_MAX ? 0 : -1;
}

/*
 * Fills in getopt's table with the options that a verb takes.
 */
static void
options_fill(struct option *list, const struct ctl_verb *v)
{
	unsigned int allowed = v->allowed | OPT_BIT(OPT_HELP);
	size_t n = 0, i;

	for (i = 0; i < OPT_MAX; i++) {
		if ((allowed & OPT_BIT(i)) == 0)
			continue;
		list[n].name = opts[i].name;
		list[n].has_arg = opts[i].kind == ARG_SWITCH
				      ? no_argument
				      : required_argument;
		list[n++].val = OPT_VAL + (int)i;
	}
}

/*
 * Reads one option's value, or adds a finding.
 */
static void
value_read(struct ctl_args *a, enum ctl_opt o, const char *s, struct finds *fs)
{
	char place[NODE_BYTES];

	a->given |= OPT_BIT(o);
	if (opts[o].kind == ARG_SWITCH)
		return;
	if (kinds[opts[o].kind].read(s, (char *)a + opts[o].offset) == 0)
		return;
	snprintf(place, sizeof(place), "--%s", opts[o].name);
	finds_add(fs, &msgs[FIND_BAD], place, "\"%.60s\" is not %s", s,
	    kinds[opts[o].kind].text);
}

/*
 * Checks the operands that name nodes.
 */
static void
nodes_check(const struct ctl_args *a, struct finds *fs)
{
	const char *node;
	int i;

	for (i = 0; i < a->operand_count; i++)
		if (read_node(a->operands[i], &node) == -1)
			finds_add(fs, &msgs[FIND_BAD], "operand",
			    "\"%.60s\" is not %s", a->operands[i],
			    kinds[ARG_NODE].text);
}

/*
 * Checks that a verb has the options and operands that it needs.
 */
static void
args_check(struct ctl_args *a, const struct ctl_verb *v, struct finds *fs)
{
	const char *url = getenv(LOG_URL_ENV);
	char place[NODE_BYTES];
	size_t i;

	if ((a->given & OPT_BIT(OPT_LOG_URL)) == 0 && url != NULL &&
	    (v->allowed & OPT_BIT(OPT_LOG_URL)) != 0)
		value_read(a, OPT_LOG_URL, url, fs);
	for (i = 0; i < OPT_MAX; i++) {
		if ((v->required & ~a->given & OPT_BIT(i)) == 0)
			continue;
		snprintf(place, sizeof(place), "--%s", opts[i].name);
		finds_add(fs, &msgs[FIND_MISSING], place, "%s", opts[i].help);
	}
	if ((a->given & OPT_BIT(OPT_ID)) != 0 &&
	    (a->given & OPT_BIT(OPT_BASE)) == 0)
		finds_add(fs, &msgs[FIND_ID_BASE], "--id", "give --base");
	if (a->operand_count < v->operands_min ||
	    a->operand_count > v->operands_max)
		finds_add(fs, &msgs[FIND_OPERANDS], v->name,
		    "%d given, see "
		    "--help",
		    a->operand_count);
	if (v->operand_nodes)
		nodes_check(a, fs);
}

/*
 * Reads a verb's options and operands.  Prints all findings and returns -1
 * if there are any.
 */
int
ctl_args_read(
    struct ctl_args *a, const struct ctl_verb *v, int argc, char **argv)
{
	struct option list[OPT_MAX + 1] = { 0 };
	struct finds fs;
	int c, errors;

	memset(a, 0, sizeof(*a));
	a->timeout = TIMEOUT_DEFAULT_MS;
	finds_init(&fs);
	options_fill(list, v);
	optind = 0;
	opterr = 0;
	while ((c = getopt_long(argc, argv, ":", list, NULL)) != -1) {
		if (c >= OPT_VAL)
			value_read(a, (enum ctl_opt)(c - OPT_VAL), optarg, &fs);
		else
			finds_add(&fs,
			    &msgs[c == ':' ? FIND_NO_VALUE : FIND_UNKNOWN],
			    argv[optind - 1], "see %s --help", v->name);
	}
	a->operands = argv + optind;
	a->operand_count = argc - optind;
	if ((a->given & OPT_BIT(OPT_HELP)) == 0)
		args_check(a, v, &fs);
	errors = finds_print(&fs, stderr, CTL_PROG);
	finds_finish(&fs);
	return errors > 0 ? -1 : 0;
}

/*
 * Prints a verb's usage.
 */
void
ctl_args_help(const struct ctl_verb *v)
{
	size_t i;
	int n;

	printf("usage: " CTL_PROG " %s [OPTION ...] %s\n\n%s\n\n", v->name,
	    v->operands, v->help);
	for (i = 0; i < OPT_MAX; i++) {
		if ((v->allowed & OPT_BIT(i)) == 0)
			continue;
		n = printf("  --%s %s", opts[i].name,
		    opts[i].word != NULL ? opts[i].word : "");
		printf("%*s%s%s\n", OPT_WIDTH - n, "", opts[i].help,
		    (v->required & OPT_BIT(i)) != 0 ? " (required)" : "");
	}
}

#include <arpa/inet.h>
#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/duration.h"
#include "options/options.h"

#define FRESH_SHARE 0.85 /* of the time after which a withdrawn key is dead */
#define LEAVE_MS 2600	 /* two questions for readiness, and some slack */
#define MEGABYTE (1ULL << 20)

enum setting_kind {
	KIND_NAME,
	KIND_ADDRESS,
	KIND_PORT, /* on the address of the exit */
	KIND_TIME,
	KIND_NUMBER, /* with fractions */
	KIND_MEGABYTES,
	KIND_COUNT
};

struct setting {
	const char *name;
	enum setting_kind kind;
	int required;
	size_t at; /* in struct node_options */
	const char *help;
};

enum settings_find {
	FIND_OPTION,
	FIND_REQUIRED,
	FIND_NAME,
	FIND_ADDRESS,
	FIND_NUMBER,
	FIND_TIME,
	SETTINGS_FIND_MAX
};

#define AT(field) offsetof(struct node_options, field)

static int read_address(const char *, struct sockaddr_in *);
static void read_value(struct node_options *, const struct setting *,
    const char *, struct finds *);

static const struct find_msg msgs[SETTINGS_FIND_MAX] = {
	[FIND_OPTION] = { FIND_ERROR, "unknown option" },
	[FIND_REQUIRED] = { FIND_ERROR, "missing option" },
	[FIND_NAME] = { FIND_ERROR, "not a name of 1 to 63 characters" },
	[FIND_ADDRESS] = { FIND_ERROR, "not an IPv4 address and port" },
	[FIND_NUMBER] = { FIND_ERROR, "not a number" },
	[FIND_TIME] = { FIND_ERROR, "not a time in ms or s" },
};

static const struct setting settings[] = {
	{ "node", KIND_NAME, 1, AT(relay.node), "name of this node" },
	{ "zone", KIND_NAME, 1, AT(relay.zone), "failure domain" },
	{ "service", KIND_NAME, 1, AT(relay.service),
	    "service of the server beside this node" },
	{ "entry", KIND_ADDRESS, 1, AT(relay.entry),
	    "where callers beside this node come" },
	{ "exit", KIND_ADDRESS, 1, AT(relay.exit), "where other nodes come" },
	{ "server", KIND_ADDRESS, 1, AT(relay.server),
	    "the backend server beside this node" },
	{ "control", KIND_ADDRESS, 1, AT(control),
	    "where the server announces itself" },
	{ "ready", KIND_ADDRESS, 1, AT(ready), "where readiness is asked for" },
	{ "store", KIND_ADDRESS, 1, AT(store), "the platform's store" },
	{ "fleet-port", KIND_PORT, 1, AT(relay.fleet),
	    "port for datagrams between nodes" },
	{ "metrics-port", KIND_PORT, 0, AT(metrics), "port for metrics" },
	{ "revoke", KIND_TIME, 1, AT(relay.fresh_ms),
	    "after which a withdrawn key must not work" },
	{ "grace", KIND_TIME, 1, AT(grace_ms), "from SIGTERM to SIGKILL" },
	{ "quota-overage", KIND_NUMBER, 1, AT(relay.quota_share),
	    "tolerance of limits, as a share" },
	{ "quota-slack", KIND_NUMBER, 1, AT(relay.quota_constant),
	    "and in requests" },
	{ "retry-ratio", KIND_NUMBER, 1, AT(relay.retry_ratio),
	    "extra arrivals at a service to requests for it" },
	{ "retry-slack", KIND_NUMBER, 1, AT(relay.retry_slack),
	    "and more of them, over the whole fleet" },
	{ "memory-mb", KIND_MEGABYTES, 1, AT(relay.memory_bytes),
	    "memory that this process may use" },
	{ "descriptors", KIND_COUNT, 1, AT(relay.descriptors),
	    "descriptors that this process may use" },
};

#define SETTINGS (sizeof(settings) / sizeof(settings[0]))
#define OPT_CHECK ((int)SETTINGS)
#define OPT_QUIET ((int)SETTINGS + 1)
#define OPT_HELP ((int)SETTINGS + 2)

/*
 * Reads an address and port.  Returns 0, or -1.
 */
static int
read_address(const char *text, struct sockaddr_in *sa)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strchr(text, ':');
	char *end;
	unsigned long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return -1;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end != '\0' || port == 0 || port > 65535)
		return -1;
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1 ? 0 : -1;
}

/*
 * Reads one setting; what is wrong with it becomes a finding.
 */
static void
read_value(struct node_options *set, const struct setting *s, const char *text,
    struct finds *finds)
{
	char *dst = (char *)set + s->at, *end;
	enum settings_find bad = SETTINGS_FIND_MAX;
	struct sockaddr_in *sa;
	double v = 0;

	if (s->kind >= KIND_NUMBER || s->kind == KIND_PORT) {
		v = strtod(text, &end);
		if (end == text || *end != '\0' || v < 0 || v > 1e9)
			bad = FIND_NUMBER;
	}
	switch (s->kind) {
	case KIND_NAME:
		if (text[0] == '\0' || strlen(text) >= FLEET_NAME_BYTES)
			bad = FIND_NAME;
		else
			snprintf(dst, FLEET_NAME_BYTES, "%s", text);
		break;
	case KIND_ADDRESS:
		if (read_address(text, (struct sockaddr_in *)dst) == -1)
			bad = FIND_ADDRESS;
		break;
	case KIND_PORT:
		if (bad == SETTINGS_FIND_MAX && (v < 1 || v > 65535))
			bad = FIND_NUMBER;
		sa = (struct sockaddr_in *)dst;
		sa->sin_family = AF_INET;
		sa->sin_port = htons((uint16_t)v);
		break;
	case KIND_TIME:
		if (duration_read(text, (uint64_t *)dst) == -1)
			bad = FIND_TIME;
		break;
	case KIND_NUMBER:
		memcpy(dst, &v, sizeof(v));
		break;
	case KIND_MEGABYTES:
		*(uint64_t *)dst = (uint64_t)v * MEGABYTE;
		break;
	case KIND_COUNT:
		*(uint32_t *)dst = (uint32_t)v;
		break;
	}
	if (bad != SETTINGS_FIND_MAX)
		finds_add(finds, &msgs[bad], s->name, "%s", text);
}

/*
 * Reads the command line.  Returns 0, or -1 if there are findings, or 1 if
 * only help is asked for.
 */
int
options_read(
    struct node_options *set, int argc, char **argv, struct finds *finds)
{
	struct option options[SETTINGS + 4];
	int seen[SETTINGS] = { 0 }, i;
	size_t n;

	memset(set, 0, sizeof(*set));
	memset(options, 0, sizeof(options));
	for (n = 0; n < SETTINGS; n++)
		options[n] = (struct option){ settings[n].name,
			required_argument, NULL, (int)n };
	options[n++] =
	    (struct option){ "check-settings", no_argument, NULL, OPT_CHECK };
	options[n++] = (struct option){ "quiet", no_argument, NULL, OPT_QUIET };
	options[n++] = (struct option){ "help", no_argument, NULL, OPT_HELP };
	opterr = 0;
	while ((i = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (i == OPT_CHECK) {
			set->check_only = 1;
		} else if (i == OPT_QUIET) {
			set->quiet = 1;
		} else if (i == OPT_HELP) {
			return 1;
		} else if (i >= 0 && i < (int)SETTINGS) {
			seen[i] = 1;
			read_value(set, &settings[i], optarg, finds);
		} else {
			finds_add(finds, &msgs[FIND_OPTION], argv[optind - 1],
			    "%s", "");
		}
	}
	for (n = 0; n < SETTINGS; n++)
		if (settings[n].required && !seen[n])
			finds_add(finds, &msgs[FIND_REQUIRED], settings[n].name,
			    "%s", settings[n].help);
	set->relay.fleet.sin_addr = set->relay.exit.sin_addr;
	set->metrics.sin_addr = set->relay.exit.sin_addr;
	set->relay.fresh_ms =
	    (uint64_t)((double)set->relay.fresh_ms * FRESH_SHARE);
	set->relay.leave_ms = LEAVE_MS;
	return finds->errors > 0 ? -1 : 0;
}

/*
 * Prints the options.
 */
void
options_usage(void)
{
	size_t n;

	printf("usage: cyclamenvale-node --OPTION=VALUE ...\n");
	for (n = 0; n < SETTINGS; n++)
		printf("  --%-16s %s%s\n", settings[n].name, settings[n].help,
		    settings[n].required ? "" : " (optional)");
	printf("  --check-settings   only check the settings\n"
	       "  --quiet            write no log lines\n");
}

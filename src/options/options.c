#include <arpa/inet.h>
#include <ctype.h>
#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/duration.h"
#include "options/options_int.h"

/* Highest age of the configuration, as a share of the time in --revoke. */
#define CONFIG_AGE_SHARE 0.85
#define CONFIG_APPLY_DEFAULT_MS 2000
#define ACCEPT_AFTER_STOP_MS 2600 /* two readiness polls and a margin */
#define KILL_MARGIN_MS 1000	  /* before SIGKILL, for a slow machine */
#define BYTES_PER_MIB (1ULL << 20)
/* Prefix of environment variables; the option in capitals follows. */
#define ENV_PREFIX "CYCLAMENVALE_NODE_"
#define ENV_NAME_BYTES 64

#define OFFSET(field) offsetof(struct node_options, field)

static int read_address(const char *, struct sockaddr_in *);
static void write_variable_name(const struct setting *, char *);
static void read_variables(
    struct node_options *, char *const *, int *, struct finds *);

const struct find_msg options_msgs[SETTINGS_MSG_MAX] = {
	[MSG_OPTION] = { FIND_ERROR, "unknown option" },
	[MSG_VARIABLE] = { FIND_ERROR, "unknown environment variable" },
	[MSG_REQUIRED] = { FIND_ERROR, "missing option" },
	[MSG_NAME] = { FIND_ERROR, "not a name of 1 to 63 characters" },
	[MSG_ADDRESS] = { FIND_ERROR, "not an IPv4 address and port" },
	[MSG_IP] = { FIND_ERROR, "not an IPv4 address" },
	[MSG_KEY] = { FIND_ERROR, "not a key of 16 to 64 characters" },
	[MSG_OTHER_KEY] = { FIND_ERROR, "requires --fleet-key" },
	[MSG_NUMBER] = { FIND_ERROR, "not a number" },
	[MSG_TIME] = { FIND_ERROR, "not a time with unit ms or s" },
	[MSG_SETTING] = { FIND_ERROR, "unknown setting" },
	[MSG_TWICE] = { FIND_ERROR, "setting given twice" },
	[MSG_LINE] = { FIND_ERROR, "not a line of the form name = value" },
	[MSG_TEXT] = { FIND_ERROR, "not text" },
	[MSG_AFTER_END] = { FIND_ERROR, "text after the line end" },
	[MSG_NO_END] = { FIND_ERROR, "incomplete, the last line is not end" },
	[MSG_FILE] = { FIND_ERROR, "cannot read the settings file" },
};

const struct setting options_settings[] = {
	{ "node", KIND_NAME, 1, OPTIONS_AT_RESTART, OFFSET(relay.node),
	    "name of this node" },
	{ "zone", KIND_NAME, 1, OPTIONS_AT_RESTART, OFFSET(relay.zone),
	    "failure domain of this node" },
	{ "service", KIND_NAME, 1, OPTIONS_AT_RESTART, OFFSET(relay.service),
	    "service of the local backend server" },
	{ "entry", KIND_ADDRESS, 1, OPTIONS_AT_RESTART, OFFSET(relay.entry),
	    "address for requests of local callers" },
	{ "exit", KIND_ADDRESS, 1, OPTIONS_AT_RESTART, OFFSET(relay.exit),
	    "address for requests from other nodes" },
	{ "advertise", KIND_IP, 0, OPTIONS_AT_RESTART, OFFSET(relay.advertised),
	    "address reported to other nodes, if not that of --exit" },
	{ "server", KIND_ADDRESS, 1, OPTIONS_AT_RESTART, OFFSET(relay.server),
	    "address of the local backend server" },
	{ "control", KIND_ADDRESS, 1, OPTIONS_AT_RESTART, OFFSET(control_addr),
	    "address for announcements of the server" },
	{ "ready", KIND_ADDRESS, 1, OPTIONS_AT_RESTART, OFFSET(ready_addr),
	    "address for readiness requests" },
	{ "store", KIND_ADDRESS, 1, OPTIONS_AT_RESTART, OFFSET(store_addr),
	    "address of the platform's store" },
	{ "fleet-port", KIND_PORT, 1, OPTIONS_AT_RESTART, OFFSET(relay.fleet),
	    "port for datagrams between nodes" },
	{ "fleet-key", KIND_KEY, 0, OPTIONS_AT_RESTART, OFFSET(relay.fleet_key),
	    "shared by all nodes; messages without its seal are rejected" },
	{ "fleet-key-other", KIND_KEY, 0, OPTIONS_AT_RESTART,
	    OFFSET(relay.alternate_key),
	    "second key whose seals are accepted, for key rotation" },
	{ "metrics-port", KIND_PORT, 0, OPTIONS_AT_RESTART,
	    OFFSET(metrics_addr),
	    "port for metrics, on the address of --exit" },
	{ "config-apply", KIND_TIME, 0, OPTIONS_AT_ONCE, OFFSET(relay.apply_ms),
	    "time after which a published configuration is in force" },
	{ "revoke", KIND_TIME, 1, OPTIONS_STRICTER_FIRST,
	    OFFSET(relay.fresh_ms),
	    "time after which a withdrawn API key must not work" },
	{ "grace", KIND_TIME, 1, OPTIONS_AT_ONCE, OFFSET(grace_ms),
	    "time from SIGTERM to SIGKILL" },
	{ "quota-overage", KIND_NUMBER, 1, OPTIONS_STRICTER_FIRST,
	    OFFSET(relay.quota_share),
	    "allowed excess over a rate limit, as a share" },
	{ "quota-slack", KIND_NUMBER, 1, OPTIONS_STRICTER_FIRST,
	    OFFSET(relay.quota_constant),
	    "allowed excess over a rate limit, in requests" },
	{ "retry-ratio", KIND_NUMBER, 1, OPTIONS_STRICTER_FIRST,
	    OFFSET(relay.retry_ratio),
	    "allowed ratio of extra arrivals to requests at a service" },
	{ "retry-slack", KIND_NUMBER, 1, OPTIONS_STRICTER_FIRST,
	    OFFSET(relay.retry_slack),
	    "additional extra arrivals, summed over the fleet" },
	{ "memory-mb", KIND_MEGABYTES, 1, OPTIONS_AT_ONCE,
	    OFFSET(relay.memory_bytes),
	    "memory that this process may use, in MiB" },
	{ "descriptors", KIND_COUNT, 1, OPTIONS_AT_RESTART,
	    OFFSET(relay.descriptors),
	    "file descriptors that this process may use" },
};

_Static_assert(
    sizeof(options_settings) / sizeof(options_settings[0]) == SETTING_COUNT,
    "SETTING_COUNT");
#define OPT_CHECK ((int)SETTING_COUNT)
#define OPT_QUIET ((int)SETTING_COUNT + 1)
#define OPT_HELP ((int)SETTING_COUNT + 2)
#define OPT_FILE ((int)SETTING_COUNT + 3)
#define OPT_CHECK_FILE ((int)SETTING_COUNT + 4)

/*
 * Reads an IPv4 address and port.  Returns 0, or -1 if it is invalid.
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
 * Reads the value of a setting that is given at a place.  An invalid value is
 * added to the findings.
 */
void
options_read_value(struct node_options *opts, const struct setting *s,
    const char *text, const char *place, struct finds *finds)
{
	char *dst = (char *)opts + s->offset, *end;
	enum settings_msg msg = SETTINGS_MSG_MAX;
	struct sockaddr_in *sa;
	double v = 0;

	if (s->kind >= KIND_NUMBER || s->kind == KIND_PORT) {
		v = strtod(text, &end);
		if (end == text || *end != '\0' || !(v >= 0 && v <= 1e9))
			msg = MSG_NUMBER;
	}
	switch (s->kind) {
	case KIND_NAME:
		if (text[0] == '\0' || strlen(text) >= FLEET_NAME_BYTES)
			msg = MSG_NAME;
		else
			snprintf(dst, FLEET_NAME_BYTES, "%s", text);
		break;
	case KIND_ADDRESS:
		if (read_address(text, (struct sockaddr_in *)dst) == -1)
			msg = MSG_ADDRESS;
		break;
	case KIND_IP:
		if (inet_pton(AF_INET, text, dst) != 1)
			msg = MSG_IP;
		break;
	case KIND_KEY:
		if (strlen(text) < SEAL_KEY_MIN_CHARS ||
		    strlen(text) >= SEAL_KEY_TEXT_BYTES)
			msg = MSG_KEY;
		else
			snprintf(dst, SEAL_KEY_TEXT_BYTES, "%s", text);
		text = ""; /* findings are printed; a key must not be */
		break;
	case KIND_PORT:
		if (msg == SETTINGS_MSG_MAX && (v < 1 || v > 65535))
			msg = MSG_NUMBER;
		sa = (struct sockaddr_in *)dst;
		sa->sin_family = AF_INET;
		sa->sin_port = htons((uint16_t)v);
		break;
	case KIND_TIME:
		if (duration_read(text, (uint64_t *)dst) == -1)
			msg = MSG_TIME;
		break;
	case KIND_NUMBER:
		memcpy(dst, &v, sizeof(v));
		break;
	case KIND_MEGABYTES:
		*(uint64_t *)dst = (uint64_t)v * BYTES_PER_MIB;
		break;
	case KIND_COUNT:
		*(uint32_t *)dst = (uint32_t)v;
		break;
	}
	if (msg != SETTINGS_MSG_MAX)
		finds_add(finds, &options_msgs[msg], place, "%s", text);
}

/*
 * Writes the name of a setting's environment variable to a buffer of
 * ENV_NAME_BYTES.
 */
static void
write_variable_name(const struct setting *s, char *name)
{
	char *c = name + strlen(ENV_PREFIX);

	snprintf(name, ENV_NAME_BYTES, "%s%s", ENV_PREFIX, s->name);
	for (; *c != '\0'; c++)
		*c = *c == '-' ? '_' : (char)toupper((unsigned char)*c);
}

/*
 * Reads the settings that the command line doesn't give from the environment.
 * A variable with the prefix that belongs to no setting is a finding.
 */
static void
read_variables(struct node_options *opts, char *const *envp, int *seen,
    struct finds *finds)
{
	char name[ENV_NAME_BYTES];
	const char *value;
	size_t n, len;

	for (; *envp != NULL; envp++) {
		if (strncmp(*envp, ENV_PREFIX, strlen(ENV_PREFIX)) != 0)
			continue;
		len = strcspn(*envp, "=");
		value = (*envp)[len] == '=' ? *envp + len + 1 : "";
		for (n = 0; n < SETTING_COUNT; n++) {
			write_variable_name(&options_settings[n], name);
			if (strlen(name) == len &&
			    strncmp(name, *envp, len) == 0)
				break;
		}
		if (n == SETTING_COUNT) {
			finds_add(finds, &options_msgs[MSG_VARIABLE], *envp,
			    "%s", "");
		} else if (!seen[n]) {
			seen[n] = 1;
			options_read_value(opts, &options_settings[n], value,
			    options_settings[n].name, finds);
		}
	}
}

/*
 * Derives what follows from the settings.
 */
static void
derive(struct node_options *opts)
{
	opts->relay.fleet.sin_addr = opts->relay.exit.sin_addr;
	opts->metrics_addr.sin_addr = opts->relay.exit.sin_addr;
	if (opts->relay.advertised.s_addr == 0)
		opts->relay.advertised = opts->relay.exit.sin_addr;
	opts->relay.fresh_ms =
	    (uint64_t)((double)opts->relay.fresh_ms * CONFIG_AGE_SHARE);
	opts->relay.accept_calls_ms = ACCEPT_AFTER_STOP_MS;
	options_derive_stop(opts);
}

/*
 * Derives the times of a stop from the time until SIGKILL.
 */
void
options_derive_stop(struct node_options *opts)
{
	opts->relay.stop_timeout_ms = opts->grace_ms > KILL_MARGIN_MS
					  ? opts->grace_ms - KILL_MARGIN_MS
					  : 0;
}

/*
 * Reads the command line, then the environment, then the settings file.  A
 * setting given by one of them isn't taken from the next.  Returns 0, -1 if
 * there are errors, or 1 if --help is given.
 */
int
options_read(struct node_options *opts, int argc, char **argv,
    char *const *envp, struct finds *finds)
{
	struct option long_options[SETTING_COUNT + 6];
	int seen[SETTING_COUNT] = { 0 }, i;
	size_t n;

	memset(opts, 0, sizeof(*opts));
	opts->relay.apply_ms = CONFIG_APPLY_DEFAULT_MS;
	memset(long_options, 0, sizeof(long_options));
	for (n = 0; n < SETTING_COUNT; n++)
		long_options[n] = (struct option){ options_settings[n].name,
			required_argument, NULL, (int)n };
	long_options[n++] =
	    (struct option){ "check-settings", no_argument, NULL, OPT_CHECK };
	long_options[n++] =
	    (struct option){ "quiet", no_argument, NULL, OPT_QUIET };
	long_options[n++] =
	    (struct option){ "help", no_argument, NULL, OPT_HELP };
	long_options[n++] =
	    (struct option){ "settings", required_argument, NULL, OPT_FILE };
	long_options[n++] =
	    (struct option){ "check", required_argument, NULL, OPT_CHECK_FILE };
	optind = 0;
	opterr = 0;
	while ((i = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		if (i == OPT_CHECK) {
			opts->check_only = 1;
		} else if (i == OPT_QUIET) {
			opts->quiet = 1;
		} else if (i == OPT_HELP) {
			return 1;
		} else if (i == OPT_FILE || i == OPT_CHECK_FILE) {
			opts->check_only |= i == OPT_CHECK_FILE;
			snprintf(opts->path, sizeof(opts->path), "%s", optarg);
		} else if (i >= 0 && i < (int)SETTING_COUNT) {
			seen[i] = 1;
			options_read_value(opts, &options_settings[i], optarg,
			    options_settings[i].name, finds);
		} else {
			finds_add(finds, &options_msgs[MSG_OPTION],
			    argv[optind - 1], "%s", "");
		}
	}
	read_variables(opts, envp, seen, finds);
	if (opts->path[0] != '\0')
		options_read_file(opts, seen, finds);
	for (n = 0; n < SETTING_COUNT; n++)
		if (options_settings[n].required && !seen[n])
			finds_add(finds, &options_msgs[MSG_REQUIRED],
			    options_settings[n].name, "%s",
			    options_settings[n].help);
	if (opts->relay.alternate_key[0] != '\0' &&
	    opts->relay.fleet_key[0] == '\0')
		finds_add(finds, &options_msgs[MSG_OTHER_KEY],
		    "fleet-key-other", "%s", "");
	derive(opts);
	return finds->errors > 0 ? -1 : 0;
}

/*
 * Prints the usage.
 */
void
options_usage(void)
{
	size_t n;

	printf("usage: cyclamenvale-node --OPTION=VALUE ...\n"
	       "       cyclamenvale-node --settings=FILE\n"
	       "       cyclamenvale-node --check FILE\n");
	for (n = 0; n < SETTING_COUNT; n++)
		printf("  --%-16s %s%s\n", options_settings[n].name,
		    options_settings[n].help,
		    options_settings[n].required ? "" : " (optional)");
	printf("  --settings         file with settings, read again when it "
	       "changes (optional)\n"
	       "  --check-settings   check the settings and exit\n"
	       "  --check            check the given file and exit\n"
	       "  --quiet            write no log lines\n"
	       "A setting can also be given in an environment variable, such "
	       "as\n" ENV_PREFIX "FLEET_PORT.  The command line has precedence "
	       "over it, and both over the\nfile.\n");
}

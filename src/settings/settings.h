#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/find.h"
#include "cyclamenvale.h"

#define SETTINGS_NAME_BYTES 64	   /* a domain, region or URL with its NUL */
#define SETTINGS_PATH_BYTES 1024   /* a file name with its NUL */
#define SETTINGS_SECRET_MIN 16	   /* bytes */
#define SETTINGS_SECRET_MAX 128	   /* bytes */
#define SETTINGS_SEED_PEERS_MAX 64 /* addresses */

/* What the command line asks the daemon to do. */
enum settings_mode {
	SETTINGS_RUN,
	SETTINGS_CHECK,
	SETTINGS_HELP,
	SETTINGS_VERSION,
	SETTINGS_MODE_MAX
};

/* Policies that an experiment may turn off one by one. */
enum policy {
	POLICY_ADMISSION,
	POLICY_RETRY_BUDGET,
	POLICY_ROUTING,
	POLICY_EJECTION,
	POLICY_QUARANTINE,
	POLICY_PRECHECK,
	POLICY_MAX
};

/* An IPv4 address and a port, both in host byte order. */
struct settings_endpoint {
	uint32_t addr;
	uint32_t port;
};

struct settings_peers {
	struct settings_endpoint list[SETTINGS_SEED_PEERS_MAX];
	size_t count;
};

struct settings_secret {
	unsigned char bytes[SETTINGS_SECRET_MAX];
	size_t len;
};

/*
 * The settings of one daemon.  Addresses are in host byte order; times are
 * in milliseconds, sizes in bytes.
 */
struct settings {
	enum settings_mode mode;
	uint32_t address;
	uint32_t caller_port;
	uint32_t inner_port;
	uint32_t peer_port;
	uint32_t rpc_port;
	uint32_t operator_port;
	uint32_t advertise_address;
	uint32_t advertise_peer_port;
	uint32_t advertise_rpc_port;
	char domain[SETTINGS_NAME_BYTES];
	char region[SETTINGS_NAME_BYTES];
	char lease_region[SETTINGS_NAME_BYTES]; /* empty: any */
	char log_url[SETTINGS_NAME_BYTES];
	struct settings_peers seed_peers;
	struct settings_secret secret;
	char secret_file[SETTINGS_PATH_BYTES];
	uint32_t caller_connections;
	uint32_t peer_connections;
	uint32_t inner_connections;
	uint32_t max_body_bytes;
	uint32_t probe_ms;
	uint32_t log_poll_ms;
	uint32_t log_retention_ms;
	uint32_t config_stale_ms;
	uint32_t lease_long_ms;
	uint32_t stop_timeout_ms;
	uint32_t log_level;
	uint32_t policies_off;
};

void settings_init(struct settings *);
void settings_finish(struct settings *);
int settings_parse(
    struct settings *, int, char **, char *const *, struct finds *);
int settings_open(struct settings *, int, char **, char *const *);
int settings_policy_on(const struct settings *, enum policy);
void settings_print(const struct settings *, FILE *);
void settings_help(FILE *);

#endif

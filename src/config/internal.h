#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "config/config.h"

#define PLACE_BYTES 600 /* of where in a configuration a finding is */

/* What can be wrong with a configuration. */
enum config_find {
	FIND_JSON,
	FIND_TYPE,
	FIND_MISSING,
	FIND_UNKNOWN,
	FIND_RANGE,
	FIND_VALUE,
	FIND_TWICE,
	FIND_EMPTY,
	FIND_NO_KEYS,
	FIND_RETRY_RISK,
	CONFIG_FIND_MAX
};

struct parse {
	struct config *config;
	struct finds *finds;
};

typedef void (*field_fn)(struct parse *, const char *, json_t *, void *);

/* One field of an object: its name, whether it must be there, its reader. */
struct field {
	const char *name;
	int required;
	field_fn read;
};

/* A table that a list of objects is read into, one entry each. */
struct list {
	void **table;
	size_t *count;
	size_t size; /* of an entry, in bytes */
	field_fn read;
};

extern const struct find_msg config_msgs[CONFIG_FIND_MAX];

void read_fields(
    struct parse *, const char *, json_t *, const struct field *, void *);
void read_list(struct parse *, const char *, json_t *, const struct list *);
void read_name(struct parse *, const char *, json_t *, char *);
void read_int(
    struct parse *, const char *, json_t *, uint32_t, uint32_t, uint32_t *);
void read_bool(struct parse *, const char *, json_t *, int *);
void read_routes(struct parse *, const char *, json_t *, void *);
void read_workspaces(struct parse *, const char *, json_t *, void *);

/* Shared by the parser and the look-ups. */
int config_method_number(const char *);
int config_key_cmp(const void *, const void *);

#endif

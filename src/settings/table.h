#ifndef SETTINGS_TABLE_H
#define SETTINGS_TABLE_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/find.h"

enum kind {
	KIND_ADDRESS,
	KIND_NUMBER,
	KIND_NAME,
	KIND_URL,
	KIND_PEERS,
	KIND_PATH,
	KIND_SECRET,
	KIND_LEVEL,
	KIND_POLICIES,
	KIND_MAX
};

/*
 * One setting.  The flag is NULL where a value must not appear on a command
 * line.  min and max bound a number, or the bytes of a name.  The default is
 * read like a given value; NULL leaves the field as it is.
 */
struct row {
	const char *name;
	const char *flag;
	const char *env;
	const char *def;
	const char *help;
	size_t offset;
	enum kind kind;
	uint32_t min;
	uint32_t max;
	int required;
};

/*
 * How a kind of value is read, printed and described.  read() returns 0, or
 * -1 with the reason written to the buffer.
 */
struct kind_ops {
	int (*read)(const struct row *, const char *, void *, char *, size_t);
	void (*print)(const void *, FILE *);
	const char *word;
};

#define SETTINGS_ROWS 28
#define SETTINGS_WHY_BYTES 160 /* bytes of a reason with its NUL */

extern const struct row settings_rows[SETTINGS_ROWS];

const struct kind_ops *settings_kind(enum kind);
int settings_secret_set(const char *, size_t, void *, char *, size_t);

#endif

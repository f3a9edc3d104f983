#ifndef BASE_FIND_H
#define BASE_FIND_H

#include <stddef.h>
#include <stdio.h>

enum find_sev {
	FIND_WARNING,
	FIND_ERROR,
	FIND_SEV_MAX
};

/* One row of a slice's message table, indexed by that slice's enum. */
struct find_msg {
	enum find_sev sev;
	const char *text;
};

struct find {
	enum find_sev sev;
	const char *text;
	char *place;
	char *detail;
};

struct finds {
	struct find *list;
	size_t count;
	size_t cap;
	size_t errors;
};

void finds_init(struct finds *);
void finds_finish(struct finds *);
void finds_add(struct finds *, const struct find_msg *, const char *,
    const char *, ...) __attribute__((format(printf, 4, 5)));
int finds_print(const struct finds *, FILE *, const char *);

#endif

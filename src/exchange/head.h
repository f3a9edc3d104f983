#ifndef EXCHANGE_HEAD_H
#define EXCHANGE_HEAD_H

#include <stddef.h>
#include <stdint.h>

#define HEAD_FIELDS_MAX 60
#define HEAD_BYTES_MAX 16384
#define HEAD_LEN_CHUNKED (-1) /* length is not known in advance */

/* One header field; both strings lie in the head's own buffer. */
struct head_field {
	uint16_t name;
	uint16_t value;
};

/*
 * The head of a request or an answer without the fields that belong to one
 * connection.  The length of the body is kept apart from the fields.
 */
struct head {
	int status;
	int64_t length; /* of the body, or HEAD_LEN_CHUNKED */
	unsigned int count;
	unsigned int used;
	int overflow;
	struct head_field fields[HEAD_FIELDS_MAX];
	char buf[HEAD_BYTES_MAX];
};

void head_init(struct head *, int);
int head_add(struct head *, const char *, const char *);
int head_addn(struct head *, const char *, size_t, const char *, size_t);
int head_addf(struct head *, const char *, const char *, ...)
    __attribute__((format(printf, 3, 4)));
const char *head_get(const struct head *, const char *);
const char *head_name(const struct head *, unsigned int);
const char *head_value(const struct head *, unsigned int);
int head_is_hop(const char *);
int head_is_internal(const char *);
int head_length_parse(const char *, int64_t *);

#endif

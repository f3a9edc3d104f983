#ifndef LIBCYCLAMENVALE_INTERNAL_H
#define LIBCYCLAMENVALE_INTERNAL_H

#include <jansson.h>

#include "base/find.h"
#include "cyclamenvale.h"

#define CV_KEY_BYTES_MIN 16 /* bytes of a plain key */

enum cv_misuse {
	CV_BAD_HANDLE,
	CV_BAD_TEXT,
	CV_BAD_NUMBER,
	CV_BAD_CLASS,
	CV_BAD_KEY,
	CV_MISUSE_MAX
};

void cv_misuse_add(struct cv_config *, enum cv_misuse, const char *);
json_t *cv_row(struct cv_config *, const json_t *, int, const char *);
void cv_set(struct cv_config *, json_t *, const char *, json_t *,
    enum cv_misuse, const char *);

#endif

#ifndef BASE_DURATION_H
#define BASE_DURATION_H

#include <stdint.h>

int duration_read(const char *, uint64_t *);

#endif

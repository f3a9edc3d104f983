#ifndef BASE_LOOPCLOCK_H
#define BASE_LOOPCLOCK_H

#include <stdint.h>
#include <time.h>
#include <uv.h>

typedef int (*loop_clock_fn)(clockid_t, struct timespec *);

uint64_t loop_ms(const uv_loop_t *);
void loop_clock_use(loop_clock_fn);

#endif

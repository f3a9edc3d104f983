#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

uint64_t clock_ms(void);
uint64_t clock_us(void);
uint64_t rand_u64(void);

#endif

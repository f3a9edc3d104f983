#ifndef EXCHANGE_GET_H
#define EXCHANGE_GET_H

#include <stdint.h>

char *exchange_get(const char *, const char *, uint32_t);

#endif

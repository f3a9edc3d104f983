#ifndef BASE_LOGLINE_H
#define BASE_LOGLINE_H

#include <syslog.h>

void logline_init(const char *, int);
void logline(int, const char *, const char *, ...)
    __attribute__((format(printf, 3, 4)));

#endif

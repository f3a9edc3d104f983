#ifndef DUMP_DUMP_H
#define DUMP_DUMP_H

char *dump_json(const char *);

#endif

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cyclamenvalectl/ctl.h"

#define CHUNK_BYTES 65536
#define FILE_BYTES_MAX (16 * 1024 * 1024)

/*
 * Reads a whole file, or standard input for "-", into memory that the caller
 * frees, with a NUL after it.  Prints why and returns NULL if it can't.
 */
char *
ctl_file_read(const char *name, size_t *len)
{
	FILE *f = strcmp(name, "-") == 0 ? stdin : fopen(name, "r");
	char *buf = NULL, *p;
	size_t n, cap = 0;

	*len = 0;
	if (f == NULL) {
		fprintf(stderr, CTL_PROG ": %s: %m\n", name);
		return NULL;
	}
	do {
		cap += CHUNK_BYTES;
		p = cap <= FILE_BYTES_MAX ? realloc(buf, cap + 1) : NULL;
		if (p == NULL)
			goto fail;
		buf = p;
		n = fread(buf + *len, 1, cap - *len, f);
		*len += n;
	} while (*len == cap);
	if (ferror(f))
		goto fail;
	buf[*len] = '\0';
	if (f != stdin)
		fclose(f);
	return buf;
fail:
	fprintf(stderr, CTL_PROG ": %s: too large or can't be read\n", name);
	free(buf);
	if (f != stdin)
		fclose(f);
	return NULL;
}

#include "base/http_syntax.h"

#define STATUS_MIN 100
#define STATUS_MAX 599

/*
 * Returns 1 if a status code belongs to one of the five classes of HTTP,
 * else 0.
 */
int
http_status_is_valid(unsigned int status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX;
}

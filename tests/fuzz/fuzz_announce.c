#include <stddef.h>
#include <stdint.h>

#include "platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

/*
 * Announcements and goodbyes of servers.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *p, size_t len)
{
	struct relay_announce a;
	uint64_t born;

	platform_announce_decode((const char *)p, len, "i-1", &a);
	platform_goodbye_decode((const char *)p, len, &born);
	return 0;
}

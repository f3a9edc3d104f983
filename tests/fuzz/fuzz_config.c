#include <stddef.h>
#include <stdint.h>

#include "platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

/*
 * Configurations, as operators publish them, as the platform's store has them
 * and as nodes copy them: read with findings, or used for a look-up.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *p, size_t len)
{
	const char *text = (const char *)p;
	struct config *list[3];
	struct finds finds;
	size_t i;

	finds_init(&finds);
	list[0] = config_new(text, len, 1, &finds);
	list[1] = platform_config_decode(NULL, text, len, &finds);
	list[2] = config_copy_read(text, len);
	for (i = 0; i < 3; i++) {
		if (list[i] == NULL)
			continue;
		config_route_match(list[i], "a.example", "/a/b");
		config_route_find(list[i], "GET", "/a/b");
		config_key_find(list[i], "key");
		config_free(list[i]);
	}
	finds_finish(&finds);
	return 0;
}

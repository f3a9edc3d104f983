#ifndef EXCHANGE_CONTEXT_H
#define EXCHANGE_CONTEXT_H

#include <stddef.h>
#include <stdint.h>

#include "config/config.h"

#define CONTEXT_TEXT_MAX 512 /* bytes, with the terminator */
#define CONTEXT_MAC_HEX 65   /* bytes, with the terminator */
#define CONTEXT_DEPTH_MAX 64
#define CONTEXT_KEY_BYTES 32 /* derived from the peers' secret */

/* What a forwarded request carries between an entry and an exit. */
struct context {
	uint64_t root;	  /* names the root request */
	uint64_t attempt; /* names this exchange */
	uint32_t importance;
	uint32_t retries; /* left for this part of the chain */
	uint32_t deadline_ms;
	uint32_t depth;
	uint32_t idempotent;
	uint64_t key_tag;  /* of the key that the chain began with, or 0 */
	uint64_t print[2]; /* the root request's fingerprint */
	char workspace[CONFIG_NAME_MAX + 1]; /* empty on open routes */
	char service[CONFIG_NAME_MAX + 1];
};

void context_format(const struct context *, char *);
int context_parse(struct context *, const char *);
void context_mac(
    const unsigned char *, const char *, const char *, const char *, char *);
int context_mac_good(const unsigned char *, const char *, const char *,
    const char *, const char *);

#endif

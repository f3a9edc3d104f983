#ifndef FLEET_SEAL_H
#define FLEET_SEAL_H

#include <stddef.h>

/* Characters: 128 bits if each carries a byte. */
#define SEAL_KEY_MIN_CHARS 16
#define SEAL_KEY_TEXT_BYTES 65 /* with the NUL: 32 bytes in hexadecimal */
#define SEAL_BYTES 16	       /* MAC of a datagram: 128 bits */
#define SEAL_HEX_BYTES (2 * SEAL_BYTES + 1) /* with the NUL */
#define SEAL_KEYS 2 /* accepted keys; the first one seals */
#define SEAL_KEY_HASH_BYTES 32

/*
 * Keys of the MAC (keyed hash) that proves that a message between nodes comes
 * from a holder of the fleet key.  Without a key, messages are sent unsealed
 * and all are accepted.
 */
struct seal {
	int has_key;
	unsigned char key[SEAL_KEYS][SEAL_KEY_HASH_BYTES];
};

/* The parts of a forwarded request that its seal covers; not the body. */
struct seal_request {
	const char *method;
	const char *target;
	size_t target_len;
	const char *id;
	size_t id_len;
	const char *hop;
};

void seal_init(struct seal *, const char *, const char *);
size_t seal_datagram(const struct seal *, char *, size_t);
size_t seal_open(const struct seal *, const char *, size_t);
void seal_request(const struct seal *, const struct seal_request *, char *);
int seal_request_valid(
    const struct seal *, const struct seal_request *, const char *);

#endif

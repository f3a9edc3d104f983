#include "fleet/seal.h"

#include <sodium.h>
#include <string.h>

/* The kind is hashed first: a seal of one kind must not fit another. */
#define KIND_DATAGRAM 1
#define KIND_REQUEST 2

static void derive_key(const char *, unsigned char *);
static void hash_part(crypto_generichash_state *, const char *, size_t);
static void compute_datagram_mac(
    const unsigned char *, const char *, size_t, unsigned char *);
static void compute_request_mac(
    const unsigned char *, const struct seal_request *, char *);

/*
 * Derives a key of fixed length from a text of any length.
 */
static void
derive_key(const char *text, unsigned char *key)
{
	crypto_generichash(key, SEAL_KEY_HASH_BYTES,
	    (const unsigned char *)text, strlen(text), NULL, 0);
}

/*
 * Sets the fleet key and a second key, whose seals are accepted during a key
 * rotation.  An empty text means no key.
 */
void
seal_init(struct seal *s, const char *secret_key, const char *alternate_key)
{
	memset(s, 0, sizeof(*s));
	s->has_key = secret_key[0] != '\0';
	if (!s->has_key)
		return;
	derive_key(secret_key, s->key[0]);
	derive_key(
	    alternate_key[0] != '\0' ? alternate_key : secret_key, s->key[1]);
}

/*
 * Adds a part with its length in front, so that different lists of parts never
 * hash alike.
 */
static void
hash_part(crypto_generichash_state *st, const char *p, size_t len)
{
	unsigned char n[4] = { (unsigned char)(len >> 24),
		(unsigned char)(len >> 16), (unsigned char)(len >> 8),
		(unsigned char)len };

	crypto_generichash_update(st, n, sizeof(n));
	crypto_generichash_update(st, (const unsigned char *)p, len);
}

/*
 * Computes the MAC of a datagram with one key.
 */
static void
compute_datagram_mac(
    const unsigned char *key, const char *p, size_t len, unsigned char *mac)
{
	static const unsigned char kind = KIND_DATAGRAM;
	crypto_generichash_state st;

	crypto_generichash_init(&st, key, SEAL_KEY_HASH_BYTES, SEAL_BYTES);
	crypto_generichash_update(&st, &kind, sizeof(kind));
	hash_part(&st, p, len);
	crypto_generichash_final(&st, mac, SEAL_BYTES);
}

/*
 * Computes the MAC of a request with one key, as SEAL_HEX_BYTES bytes of
 * hexadecimal text.
 */
static void
compute_request_mac(
    const unsigned char *key, const struct seal_request *q, char *hex)
{
	static const unsigned char kind = KIND_REQUEST;
	crypto_generichash_state st;
	unsigned char mac[SEAL_BYTES];

	crypto_generichash_init(&st, key, SEAL_KEY_HASH_BYTES, SEAL_BYTES);
	crypto_generichash_update(&st, &kind, sizeof(kind));
	hash_part(&st, q->method, strlen(q->method));
	hash_part(&st, q->target, q->target_len);
	hash_part(&st, q->id, q->id_len);
	hash_part(&st, q->hop, strlen(q->hop));
	crypto_generichash_final(&st, mac, sizeof(mac));
	sodium_bin2hex(hex, SEAL_HEX_BYTES, mac, sizeof(mac));
}

/*
 * Appends the seal to a datagram, whose buffer must have SEAL_BYTES free.
 * Returns the new length, which is the old one without a key.
 */
size_t
seal_datagram(const struct seal *s, char *p, size_t len)
{
	if (!s->has_key)
		return len;
	compute_datagram_mac(s->key[0], p, len, (unsigned char *)p + len);
	return len + SEAL_BYTES;
}

/*
 * Returns the length of a datagram without its seal, or 0 if the seal is
 * missing or fits none of the accepted keys.
 */
size_t
seal_open(const struct seal *s, const char *p, size_t len)
{
	unsigned char expected[SEAL_BYTES];
	size_t i;

	if (!s->has_key)
		return len;
	if (len <= SEAL_BYTES)
		return 0;
	for (i = 0; i < SEAL_KEYS; i++) {
		compute_datagram_mac(s->key[i], p, len - SEAL_BYTES, expected);
		if (sodium_memcmp(expected, p + len - SEAL_BYTES, SEAL_BYTES) ==
		    0)
			return len - SEAL_BYTES;
	}
	return 0;
}

/*
 * Writes the seal of a request as SEAL_HEX_BYTES bytes of hexadecimal text, or
 * an empty text without a key.
 */
void
seal_request(const struct seal *s, const struct seal_request *q, char *hex)
{
	hex[0] = '\0';
	if (s->has_key)
		compute_request_mac(s->key[0], q, hex);
}

/*
 * Returns whether a request has a seal by one of the accepted keys.  Without a
 * key every request passes.
 */
int
seal_request_valid(
    const struct seal *s, const struct seal_request *q, const char *hex)
{
	char expected[SEAL_HEX_BYTES];
	size_t i;

	if (!s->has_key)
		return 1;
	for (i = 0; i < SEAL_KEYS; i++) {
		compute_request_mac(s->key[i], q, expected);
		if (strlen(hex) == SEAL_HEX_BYTES - 1 &&
		    sodium_memcmp(hex, expected, SEAL_HEX_BYTES - 1) == 0)
			return 1;
	}
	return 0;
}

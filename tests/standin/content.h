#ifndef STANDIN_CONTENT_H
#define STANDIN_CONTENT_H

#include <stddef.h>
#include <stdint.h>

#define CONTENT_BLOCK 8 /* offsets given to content_fill() are multiples */

/*
 * Mixes a number into 64 well spread bits (the finalizer of SplitMix64).
 */
static inline uint64_t
content_mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15ULL;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

/*
 * Returns the byte at an offset of the body that belongs to a tag.
 */
static inline unsigned char
content_byte(uint64_t tag, uint64_t off)
{
	uint64_t w = content_mix(content_mix(tag) + off / CONTENT_BLOCK);

	return (unsigned char)(w >> (8 * (off % CONTENT_BLOCK)));
}

/*
 * Fills a buffer with a piece of the body that belongs to a tag.
 */
static inline void
content_fill(uint64_t tag, uint64_t off, unsigned char *buf, size_t len)
{
	uint64_t base = content_mix(tag), w = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		if (i % CONTENT_BLOCK == 0)
			w = content_mix(base + (off + i) / CONTENT_BLOCK);
		buf[i] = (unsigned char)(w >> (8 * (i % CONTENT_BLOCK)));
	}
}

#endif

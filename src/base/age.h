#ifndef BASE_AGE_H
#define BASE_AGE_H

#include <stdint.h>

/*
 * Returns how old at one time is what was noted at another, in the unit of
 * both.  A thread that took the time before it took a lock may find under the
 * lock what another thread noted later: that is new, not very old.
 */
static inline uint64_t
age_at(uint64_t now, uint64_t noted)
{
	return now > noted ? now - noted : 0;
}

#endif

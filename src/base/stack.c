#include <err.h>
#include <pthread.h>
#include <stdint.h>
#include <sys/mman.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/stack.h"

#define RELEASE_PERIOD_MS 1000 /* a thread's pages cost it faults anew */
#define FRAME_BYTES 256	       /* of stack_release() and what it calls */

/*
 * Returns the lowest address of the calling thread's stack.
 */
void *
stack_low(void)
{
	pthread_attr_t attr;
	void *low;
	size_t size;

	if (pthread_getattr_np(pthread_self(), &attr) != 0 ||
	    pthread_attr_getstack(&attr, &low, &size) != 0)
		errx(1, "stack_low");
	pthread_attr_destroy(&attr);
	return low;
}

/*
 * Gives the pages below the calling function's frame back to the system.
 * They hold nothing that is still needed, and stay resident otherwise for as
 * long as the thread lives.  The argument is the lowest address of the calling
 * thread's stack.
 */
void
stack_release(void *low)
{
	uintptr_t page = (uintptr_t)sysconf(_SC_PAGESIZE);
	uintptr_t here = (uintptr_t)__builtin_frame_address(0);
	uintptr_t end = (here - FRAME_BYTES) & ~(page - 1);

	if (end > (uintptr_t)low)
		madvise(low, end - (uintptr_t)low, MADV_DONTNEED);
}

/*
 * Does the same unless the calling thread did so within the last period, so
 * that a busy thread doesn't pay for it at each request.
 */
void
stack_release_idle(void *low)
{
	static _Thread_local uint64_t last;
	uint64_t now = clock_ms();

	if (now < last + RELEASE_PERIOD_MS)
		return;
	last = now;
	stack_release(low);
}

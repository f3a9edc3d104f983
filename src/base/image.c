#include <link.h>
#include <stdint.h>
#include <sys/mman.h>
#include <unistd.h>

#include "base/image.h"

/*
 * Gives back the pages of one loaded object's segments that can't be written.
 */
static int
release_object(struct dl_phdr_info *o, size_t size, void *ctx)
{
	uintptr_t page = *(const uintptr_t *)ctx, begin, end;
	const ElfW(Phdr) * p;
	int i;

	(void)size;
	for (i = 0; i < o->dlpi_phnum; i++) {
		p = &o->dlpi_phdr[i];
		if (p->p_type != PT_LOAD || p->p_flags & PF_W)
			continue;
		begin = (o->dlpi_addr + p->p_vaddr + page - 1) & ~(page - 1);
		end = (o->dlpi_addr + p->p_vaddr + p->p_memsz) & ~(page - 1);
		if (end > begin)
			madvise((void *)begin, end - begin, MADV_DONTNEED);
	}
	return 0;
}

/*
 * Gives the pages of code and constants back that the program and its
 * libraries have read so far.  Those that are still needed are mapped again
 * from the file at their next use; what only the start needed stays away.
 */
void
image_release(void)
{
	uintptr_t page = (uintptr_t)sysconf(_SC_PAGESIZE);

	dl_iterate_phdr(release_object, &page);
}

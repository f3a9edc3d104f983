#ifndef PATH_HARNESS_H
#define PATH_HARNESS_H

#include <sys/types.h>

#include <stdint.h>

/*
 * Real processes for tests: every one that was started is ended when the
 * test ends, however it ends.
 */

#define PROCS_MAX 160
#define PROC_ARGS_MAX 48
#define ADDR_TEXT 16 /* bytes of an IPv4 address as text */

struct proc {
	pid_t pid; /* 0 once it has ended */
	int status;
	char name[48];
	char errors[256]; /* file that holds its standard error */
};

void harness_init(void);
void harness_finish(void);
int harness_setup(void **);
int harness_teardown(void **);
const char *harness_build(void);
void harness_address(unsigned int, unsigned int, char *);
uint64_t harness_seed(void);

int proc_start(const char *, const char *const *);
void proc_signal(int, int);
void proc_kill(int);
int proc_wait(int, int);
int proc_running(int);
int proc_status(int);
const char *proc_errors(int);
int proc_errors_hold(int, const char *);
long proc_rss_kb(int);
double proc_cpu_s(int);

int wait_until(int (*)(void *), void *, int);

#endif

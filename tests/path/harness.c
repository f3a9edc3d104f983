#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "harness.h"

#define POLL_US 10000
#define SECRET "a-secret-for-tests-only-0123456789"

static void child_run(const struct proc *, const char *const *);
static int reap(struct proc *, int);
static void nap(void);

static struct proc procs[PROCS_MAX];
static int proc_count;
static int proc_serial; /* names the files with errors */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/*
 * Readies the harness: libraries, environment and the folder for errors.
 */
void
harness_init(void)
{
	char dir[200];

	if (proc_count > 0)
		return;
	curl_global_init(CURL_GLOBAL_ALL);
	signal(SIGPIPE, SIG_IGN);
	setenv("CYCLAMENVALE_SECRET", SECRET, 1);
	snprintf(dir, sizeof(dir), "%s/errors", harness_build());
	mkdir(dir, 0777);
	snprintf(
	    dir, sizeof(dir), "%s/errors/%d", harness_build(), (int)getpid());
	mkdir(dir, 0777);
	atexit(harness_finish);
}

/*
 * Ends every process that was started and is still there.
 */
void
harness_finish(void)
{
	int i;

	for (i = 0; i < proc_count; i++)
		if (procs[i].pid > 0)
			kill(procs[i].pid, SIGKILL);
	for (i = 0; i < proc_count; i++)
		reap(&procs[i], 0);
	proc_count = 0;
}

/*
 * For cmocka: readies the harness before a test.
 */
int
harness_setup(void **state)
{
	(void)state;
	harness_init();
	return 0;
}

/*
 * For cmocka: ends all processes after a test.
 */
int
harness_teardown(void **state)
{
	(void)state;
	harness_finish();
	return 0;
}

/*
 * Returns the folder that holds the programs.
 */
const char *
harness_build(void)
{
	const char *dir = getenv("BUILD");

	return dir == NULL ? "build" : dir;
}

/*
 * Returns the seed of random tests, from SEED in the environment or 1.
 */
uint64_t
harness_seed(void)
{
	const char *text = getenv("SEED");

	return text == NULL ? 1 : strtoull(text, NULL, 10);
}

/*
 * Writes the loopback address number `host` of net `net` (0 to 3) that
 * belongs to this test process, so that tests may run side by side.
 */
void
harness_address(unsigned int net, unsigned int host, char *buf)
{
	unsigned int pid = (unsigned int)getpid();

	snprintf(buf, ADDR_TEXT, "127.%u.%u.%u", 16 + pid % 200,
	    net * 64 + pid / 200 % 64, host);
}

/*
 * Becomes the program in a fresh child process.
 */
static void
child_run(const struct proc *p, const char *const *argv)
{
	sigset_t none;
	int fd, null;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	signal(SIGPIPE, SIG_DFL);
	fd = open(p->errors, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0666);
	null = open("/dev/null", O_RDWR | O_CLOEXEC);
	if (fd != -1) {
		dup2(null, STDIN_FILENO);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	execv(argv[0], (char *const *)(uintptr_t)argv);
	_exit(127);
}

/*
 * Starts a program and returns its handle, or -1.  argv[0] is the path of
 * the program and the list ends with NULL.
 */
int
proc_start(const char *name, const char *const *argv)
{
	struct proc *p;
	int n;

	pthread_mutex_lock(&lock);
	n = proc_count < PROCS_MAX ? proc_count++ : -1;
	pthread_mutex_unlock(&lock);
	if (n == -1)
		return -1;
	p = &procs[n];
	memset(p, 0, sizeof(*p));
	snprintf(p->name, sizeof(p->name), "%s", name);
	snprintf(p->errors, sizeof(p->errors), "%s/errors/%d/%s.%d",
	    harness_build(), (int)getpid(), name,
	    __atomic_fetch_add(&proc_serial, 1, __ATOMIC_RELAXED));
	p->pid = fork();
	if (p->pid == 0)
		child_run(p, argv);
	return n;
}

/*
 * Takes note of the end of a process.  Returns 1 once it has ended.
 */
static int
reap(struct proc *p, int flags)
{
	int status;
	pid_t r;

	if (p->pid <= 0)
		return 1;
	do
		r = waitpid(p->pid, &status, flags);
	while (r == -1 && errno == EINTR);
	if (r == 0)
		return 0;
	p->status = r == -1 ? -1 : status;
	p->pid = 0;
	return 1;
}

/*
 * Sends a signal to a process, if it is still there.
 */
void
proc_signal(int n, int sig)
{
	if (!reap(&procs[n], WNOHANG))
		kill(procs[n].pid, sig);
}

/*
 * Kills a process and waits for its end.
 */
void
proc_kill(int n)
{
	proc_signal(n, SIGKILL);
	reap(&procs[n], 0);
}

/*
 * Returns 1 while a process runs.
 */
int
proc_running(int n)
{
	return n >= 0 && !reap(&procs[n], WNOHANG);
}

/*
 * Sleeps for the time between two looks at a condition.
 */
static void
nap(void)
{
	usleep(POLL_US);
}

/*
 * Waits up to `ms` for the end of a process.  Returns 0, or -1 if it runs
 * on.
 */
int
proc_wait(int n, int ms)
{
	uint64_t end = clock_ms() + (uint64_t)ms;

	while (proc_running(n)) {
		if (clock_ms() > end)
			return -1;
		nap();
	}
	return 0;
}

/*
 * Returns the status of a process that has ended, as wait(2) gives it.
 */
int
proc_status(int n)
{
	return procs[n].status;
}

/*
 * Returns the name of the file with the standard error of a process.
 */
const char *
proc_errors(int n)
{
	return procs[n].errors;
}

/*
 * Returns 1 if the standard error of a process holds a piece of text.
 */
int
proc_errors_hold(int n, const char *text)
{
	FILE *f = fopen(procs[n].errors, "r");
	char *line = NULL;
	size_t cap = 0;
	int found = 0;

	if (f == NULL)
		return 0;
	while (!found && getline(&line, &cap, f) != -1)
		found = strstr(line, text) != NULL;
	free(line);
	fclose(f);
	return found;
}

/*
 * Returns the resident memory of a process in KiB, or -1.
 */
long
proc_rss_kb(int n)
{
	char path[64], line[256];
	long kb = -1;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)procs[n].pid);
	if ((f = fopen(path, "r")) == NULL)
		return -1;
	while (fgets(line, sizeof(line), f) != NULL)
		if (strncmp(line, "VmRSS:", 6) == 0)
			kb = strtol(line + 6, NULL, 10);
	fclose(f);
	return kb;
}

/*
 * Returns the processor time that a process has used, in seconds, or -1.
 */
double
proc_cpu_s(int n)
{
	char path[64], buf[1024], *p;
	unsigned long user = 0, sys = 0;
	size_t len;
	FILE *f;
	int i;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)procs[n].pid);
	if ((f = fopen(path, "r")) == NULL)
		return -1;
	len = fread(buf, 1, sizeof(buf) - 1, f);
	buf[len] = '\0';
	fclose(f);
	if ((p = strrchr(buf, ')')) == NULL)
		return -1;
	for (i = 0; i < 12 && p != NULL; i++)
		p = strchr(p + 1, ' ');
	if (p == NULL)
		return -1;
	user = strtoul(p, &p, 10);
	sys = strtoul(p, NULL, 10);
	return (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
}

/*
 * Waits up to `ms` until a condition holds.  Returns 0, or -1 if it never
 * did.
 */
int
wait_until(int (*holds)(void *), void *ctx, int ms)
{
	uint64_t end = clock_ms() + (uint64_t)ms;

	for (;;) {
		if (holds(ctx))
			return 0;
		if (clock_ms() > end)
			return -1;
		nap();
	}
}

#include "settings/settings.h"

#define PROG "cyclamenvaled"
#define EXIT_FINDINGS 1

/*
 * Reads the settings and does what --help, --version and --check-settings
 * ask for; findings go to standard error.  Returns -1 if the daemon is to
 * run, else the process's exit status.
 */
int
settings_open(struct settings *s, int argc, char **argv, char *const *envp)
{
	struct finds fs;
	int rc;

	finds_init(&fs);
	rc = settings_parse(s, argc, argv, envp, &fs);
	finds_print(&fs, stderr, PROG);
	finds_finish(&fs);
	if (rc == -1)
		return EXIT_FINDINGS;
	if (s->mode == SETTINGS_RUN)
		return -1;
	if (s->mode == SETTINGS_HELP)
		settings_help(stdout);
	else if (s->mode == SETTINGS_VERSION)
		puts(PROG " " CYCLAMENVALE_VERSION);
	else
		settings_print(s, stdout);
	return 0;
}

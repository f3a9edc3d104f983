#include "settings/settings.h"
#include "settings/table.h"

#define FLAG_WIDTH 34
#define NOTE_WIDTH 6

/*
 * Prints every setting as name=value; of the secret only whether it is set.
 */
void
settings_print(const struct settings *s, FILE *out)
{
	const struct row *r;
	size_t i;

	for (i = 0; i < SETTINGS_ROWS; i++) {
		r = &settings_rows[i];
		fprintf(out, "%s=", r->name);
		settings_kind(r->kind)->print((const char *)s + r->offset, out);
		fputc('\n', out);
	}
}

/*
 * Prints the usage: every setting with its flag, variable and default.
 */
void
settings_help(FILE *out)
{
	const struct row *r;
	size_t i;
	int n;

	fputs("usage: cyclamenvaled [--check-settings] [--help] [--version] "
	      "[--SETTING VALUE ...]\n\n"
	      "A flag goes before its environment variable.\n\n",
	    out);
	for (i = 0; i < SETTINGS_ROWS; i++) {
		r = &settings_rows[i];
		n = r->flag == NULL ? fprintf(out, "  (variable only)")
				    : fprintf(out, "  --%s %s", r->flag,
					  settings_kind(r->kind)->word);
		fprintf(out, "%*s%s", n < FLAG_WIDTH ? FLAG_WIDTH - n : 1, "",
		    r->help);
		if (r->def != NULL)
			fprintf(out, " (default: %s)", r->def);
		fprintf(out, "%s\n%*s%s\n", r->required ? " (required)" : "",
		    FLAG_WIDTH + NOTE_WIDTH, "", r->env);
	}
}

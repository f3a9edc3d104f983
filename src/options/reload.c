#include <string.h>

#include "options/options_int.h"

static size_t setting_size(const struct setting *);
static int is_larger(const struct setting *, const void *, const void *);

/*
 * Returns the size of a setting's field.
 */
static size_t
setting_size(const struct setting *s)
{
	static const size_t sizes[] = {
		[KIND_NAME] = FLEET_NAME_BYTES,
		[KIND_ADDRESS] = sizeof(struct sockaddr_in),
		[KIND_IP] = sizeof(struct in_addr),
		[KIND_KEY] = SEAL_KEY_TEXT_BYTES,
		[KIND_PORT] = sizeof(struct sockaddr_in),
		[KIND_TIME] = sizeof(uint64_t),
		[KIND_NUMBER] = sizeof(double),
		[KIND_MEGABYTES] = sizeof(uint64_t),
		[KIND_COUNT] = sizeof(uint32_t),
	};

	return sizes[s->kind];
}

/*
 * Returns 1 if the time or number at a is larger than the one at b, else 0.
 */
static int
is_larger(const struct setting *s, const void *a, const void *b)
{
	uint64_t time_a, time_b;
	double number_a, number_b;

	if (s->kind == KIND_TIME) {
		memcpy(&time_a, a, sizeof(time_a));
		memcpy(&time_b, b, sizeof(time_b));
		return time_a > time_b;
	}
	memcpy(&number_a, a, sizeof(number_a));
	memcpy(&number_b, b, sizeof(number_b));
	return number_a > number_b;
}

/*
 * Reads all settings again, in the way of options_read().  The names of header
 * fields, which aren't settings, stay empty.
 */
int
options_read_again(struct node_options *opts, const struct options_source *src,
    struct finds *finds)
{
	return options_read(opts, src->argc, src->argv, src->envp, finds);
}

/*
 * Calls a function for each setting whose values differ.  Returns their number.
 */
size_t
options_compare(const struct node_options *old, const struct node_options *new,
    options_change_fn fn, void *ctx)
{
	const struct setting *s;
	size_t n, changed = 0;

	for (n = 0; n < SETTING_COUNT; n++) {
		s = &options_settings[n];
		if (memcmp((const char *)old + s->offset,
			(const char *)new + s->offset, setting_size(s)) == 0)
			continue;
		changed++;
		fn(ctx, s->name, s->effect);
	}
	return changed;
}

/*
 * Puts the settings that can change at run time into force.  Of those that
 * bound what all nodes do together, a larger value stays out of force until
 * all_nodes_know is 1: as long as some nodes have the smaller one, it holds.
 * Returns the number of settings left out for that reason.
 */
int
options_apply(struct node_options *in_force, const struct node_options *new,
    int all_nodes_know)
{
	const struct setting *s;
	const char *from;
	char *to;
	size_t n;
	int left_out = 0;

	for (n = 0; n < SETTING_COUNT; n++) {
		s = &options_settings[n];
		from = (const char *)new + s->offset;
		to = (char *)in_force + s->offset;
		if (s->effect == OPTIONS_AT_RESTART)
			continue;
		if (s->effect == OPTIONS_STRICTER_FIRST && !all_nodes_know &&
		    is_larger(s, from, to)) {
			left_out++;
			continue;
		}
		memcpy(to, from, setting_size(s));
	}
	options_derive_stop(in_force);
	in_force->file_digest = new->file_digest;
	return left_out;
}

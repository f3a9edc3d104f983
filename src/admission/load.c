#include <inttypes.h>
#include <stdio.h>

#include "admission/admission.h"

#define LEVEL_MAX_AGE_US 1000000 /* an older level is ignored */
#define PROBE_ONE_IN 32		 /* one in 32 is sent despite the level */
#define LOAD_FIELDS 5

/*
 * Writes the load as header text into buf, which holds
 * ADMISSION_LOAD_TEXT_BYTES bytes.
 */
void
admission_load_format(const struct admission_load *load, char *buf)
{
	snprintf(buf, ADMISSION_LOAD_TEXT_BYTES, "%u,%u,%u,%u,%u", load->level,
	    load->inflight, load->limit, load->queued, load->service_us);
}

/*
 * Parses the load from header text.  Returns 0, or -1 if the text is
 * malformed.
 */
int
admission_load_parse(struct admission_load *load, const char *text)
{
	uint32_t *const fields[LOAD_FIELDS] = { &load->level, &load->inflight,
		&load->limit, &load->queued, &load->service_us };
	uint64_t v;
	int i;

	for (i = 0; i < LOAD_FIELDS; i++) {
		if (i > 0 && *text++ != ',')
			return -1;
		if (*text < '0' || *text > '9')
			return -1;
		for (v = 0; *text >= '0' && *text <= '9'; text++) {
			v = v * 10 + (uint64_t)(*text - '0');
			if (v > UINT32_MAX)
				return -1;
		}
		*fields[i] = (uint32_t)v;
	}
	return *text == '\0' && load->level < ADMISSION_RANK_COUNT ? 0 : -1;
}

/*
 * Decides at an entry node, before any work is done, whether to send a
 * request of this rank to an exit node whose load was received at heard_us
 * (0 for never).  rnd is a random number.
 */
enum admission_hint
admission_precheck(const struct admission_load *load, uint64_t heard_us,
    uint32_t rank, uint64_t now_us, uint64_t rnd)
{
	if (heard_us == 0 || now_us > heard_us + LEVEL_MAX_AGE_US ||
	    rank <= load->level)
		return ADMISSION_HINT_SEND;
	if (rnd % PROBE_ONE_IN == 0)
		return ADMISSION_HINT_PROBE;
	return ADMISSION_HINT_SHED;
}

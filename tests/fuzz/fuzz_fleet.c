#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "fleet/fleet.h"

#define NOW_MS 1000000

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

/*
 * Datagrams between nodes: one input is one datagram, read and taken into a
 * table of two nodes.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *p, size_t len)
{
	struct fleet_table t;
	struct fleet_msg m;
	int changed;
	XDR x;

	fleet_table_init(&t, "n1", NOW_MS);
	fleet_add_node(&t, "n2", 0x7f000002, NOW_MS);
	memset(&m, 0, sizeof(m));
	xdrmem_create(&x, (char *)p, (unsigned int)len, XDR_DECODE);
	if (xdr_fleet_msg(&x, &m)) {
		if (m.kind == FLEET_HEARTBEAT) {
			fleet_apply_heartbeat(
			    &t, &m.fleet_msg_u.beat, NOW_MS, &changed);
			fleet_apply_heartbeat(
			    &t, &m.fleet_msg_u.beat, NOW_MS + 1, &changed);
		} else if (m.kind == FLEET_GOODBYE) {
			fleet_apply_goodbye(&t, &m.fleet_msg_u.bye, NOW_MS);
		} else if (m.kind == FLEET_LOAD_HEARTBEAT) {
			fleet_apply_load_heartbeat(
			    &t, &m.fleet_msg_u.pulse, 0x7f000002, NOW_MS);
		}
		fleet_owner(&t, 1, NOW_MS);
		fleet_update_members(&t, NOW_MS + 1);
	}
	xdr_free((xdrproc_t)xdr_fleet_msg, (char *)&m);
	fleet_table_finish(&t);
	return 0;
}

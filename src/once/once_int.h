#ifndef ONCE_ONCE_INT_H
#define ONCE_ONCE_INT_H

#include "once/once.h"
#include "once/once_xdr.h"

#define MS_PER_S 1000
#define ONCE_RPC_TIMEOUT_MS 100 /* all tries of a call together */
#define ONCE_RPC_TRIES 2
#define ONCE_CLAIM_TIMEOUT_MS 1000 /* a claim that takes longer is void */

/* once_owner.c */
void once_serve_claim(struct once *, const once_claim_arg *, once_claim_res *);
void once_serve_release(
    struct once *, const once_release_arg *, once_release_res *);
int once_update_lease(struct once_part *, const struct lease_view *);
int once_has_earlier_ids(const struct once_part *, const struct lease_view *);

/* once_standby.c */
void once_serve_note(struct once *, const once_note_arg *, once_note_res *);
void once_serve_copy(struct once *, const once_copy_arg *, once_copy_res *);
void once_copy_memories(struct once *);

/* once_entry.c */
int once_call(struct once *, const struct node_id *, enum once_proc,
    const void *, void *);
void once_send_releases(struct once *);
struct once_node once_node_pack(const struct node_id *);
struct node_id once_node_unpack(const struct once_node *);

#endif

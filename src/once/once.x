/* Messages for request ids: claims, notes at the standby, copies. */

const ONCE_ID_BYTES = 16;
const ONCE_PAGE_CELLS = 32;

enum once_status {
	ONCE_RESERVED = 0,	/* valid once a standby has noted it */
	ONCE_CLAIMED = 1,	/* by another attempt */
	ONCE_NOT_KNOWN = 2,	/* may precede the stored history */
	ONCE_NOT_OWNER = 3,
	ONCE_MEMORY_FULL = 4,
	ONCE_FUTURE_ID = 5	/* the time in the id is in the future */
};

struct once_node {
	unsigned int addr;
	unsigned int port;
	unsigned hyper incarnation;
};

struct once_claim_arg {
	opaque id[ONCE_ID_BYTES];
	unsigned hyper attempt;
	unsigned hyper stamp_ms;
};

struct once_claim_res {
	once_status status;
	unsigned hyper term;
	once_node standby;
};

struct once_note_arg {
	opaque id[ONCE_ID_BYTES];
	unsigned hyper attempt;
	unsigned hyper term;
};

struct once_note_res {
	bool noted;
};

struct once_release_arg {
	opaque id[ONCE_ID_BYTES];
	unsigned hyper attempt;
};

struct once_release_res {
	bool released;
};

struct once_copy_cell {
	opaque id[ONCE_ID_BYTES];
	unsigned hyper attempt;
	unsigned int age_s;
};

struct once_copy_arg {
	unsigned int part;
	unsigned hyper term;
	bool last;
	unsigned hyper age_ms;	/* time that the memory covers */
	once_copy_cell cells<ONCE_PAGE_CELLS>;
};

struct once_copy_res {
	bool accepted;
};

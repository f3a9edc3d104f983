#ifndef OPTIONS_OPTIONS_INT_H
#define OPTIONS_OPTIONS_INT_H

#include "options/options.h"

#define SETTING_COUNT 23

enum setting_kind {
	KIND_NAME,
	KIND_ADDRESS,
	KIND_IP,
	KIND_KEY,
	KIND_PORT, /* on the address of --exit */
	KIND_TIME,
	KIND_NUMBER, /* may have a fraction */
	KIND_MEGABYTES,
	KIND_COUNT
};

struct setting {
	const char *name;
	enum setting_kind kind;
	int required;
	enum options_effect effect;
	size_t offset; /* of the field in struct node_options */
	const char *help;
};

enum settings_msg {
	MSG_OPTION,
	MSG_VARIABLE,
	MSG_REQUIRED,
	MSG_NAME,
	MSG_ADDRESS,
	MSG_IP,
	MSG_KEY,
	MSG_OTHER_KEY,
	MSG_NUMBER,
	MSG_TIME,
	MSG_SETTING,
	MSG_TWICE,
	MSG_LINE,
	MSG_TEXT,
	MSG_AFTER_END,
	MSG_NO_END,
	MSG_FILE,
	SETTINGS_MSG_MAX
};

extern const struct setting options_settings[SETTING_COUNT];
extern const struct find_msg options_msgs[SETTINGS_MSG_MAX];

void options_read_value(struct node_options *, const struct setting *,
    const char *, const char *, struct finds *);
void options_read_text(
    struct node_options *, const char *, size_t, int *, struct finds *);
void options_read_file(struct node_options *, int *, struct finds *);
void options_derive_stop(struct node_options *);

#endif

#ifndef CYCLAMENVALECTL_CTL_H
#define CYCLAMENVALECTL_CTL_H

#include <stddef.h>
#include <stdint.h>

#include "base/find.h"
#include "logsvc/logsvc.h"
#include "publish/publish.h"

#define CTL_PROG "cyclamenvalectl"

enum ctl_exit {
	CTL_OK = 0,
	CTL_FINDINGS = 1,
	CTL_USAGE = 2,
	CTL_LOST = 3,
	CTL_LOG = 4,
	CTL_TIMEOUT = 5
};

enum ctl_opt {
	OPT_LOG_URL,
	OPT_BASE,
	OPT_ID,
	OPT_AUTHOR,
	OPT_TIMEOUT,
	OPT_WORKSPACE,
	OPT_KEY_ID,
	OPT_RETRY,
	OPT_NODE,
	OPT_JSON,
	OPT_VERSION,
	OPT_HELP,
	OPT_MAX
};

#define OPT_BIT(o) (1U << (o))

/* The options of a verb as given.  Times are in milliseconds. */
struct ctl_args {
	unsigned int given; /* bits of enum ctl_opt */
	const char *log_url;
	const char *id;
	const char *author;
	const char *workspace;
	const char *key_id;
	const char *node;
	uint64_t base;
	uint64_t version;
	uint64_t timeout;
	char **operands;
	int operand_count;
};

/* One verb: its options, how many operands it takes, and what runs it. */
struct ctl_verb {
	const char *name;
	enum ctl_exit (*run)(const struct ctl_args *);
	unsigned int allowed;  /* bits of enum ctl_opt */
	unsigned int required; /* bits of enum ctl_opt */
	int operands_min;
	int operands_max;
	int operand_nodes; /* operands are IP:PORT */
	const char *operands;
	const char *help;
};

/* A connection to the log service. */
struct ctl_log {
	struct logsvc_http *http;
	struct publish_env env;
};

int ctl_args_read(struct ctl_args *, const struct ctl_verb *, int, char **);
void ctl_args_help(const struct ctl_verb *);

enum ctl_exit ctl_check(const struct ctl_args *);
enum ctl_exit ctl_publish(const struct ctl_args *);
enum ctl_exit ctl_show(const struct ctl_args *);
enum ctl_exit ctl_grant(const struct ctl_args *);
enum ctl_exit ctl_withdraw(const struct ctl_args *);
enum ctl_exit ctl_dump(const struct ctl_args *);
enum ctl_exit ctl_wait(const struct ctl_args *);
enum ctl_exit ctl_explain(const struct ctl_args *);

void ctl_log_open(struct ctl_log *, const struct ctl_args *);
void ctl_log_close(struct ctl_log *);
enum ctl_exit ctl_log_read(struct publish_reader *, const struct ctl_args *);
enum ctl_exit ctl_outcome(enum publish_status, uint64_t);
char *ctl_file_read(const char *, size_t *);

#endif

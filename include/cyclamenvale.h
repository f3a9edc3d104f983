#ifndef CYCLAMENVALE_H
#define CYCLAMENVALE_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CYCLAMENVALE_VERSION "0.1.0"

#if defined(__GNUC__)
#define CV_API __attribute__((visibility("default")))
#else
#define CV_API
#endif

struct json_t;
struct finds;

/* Importance of a route's requests; under overload CV_LOW is shed first. */
enum cv_class {
	CV_CRITICAL,
	CV_HIGH,
	CV_NORMAL,
	CV_LOW,
	CV_CLASS_MAX
};

enum cv_severity {
	CV_WARNING,
	CV_ERROR
};

/*
 * One finding.  The place is a path into the JSON that is printed, or the
 * name of the function that was given a wrong argument.  The strings belong
 * to the configuration.
 */
struct cv_finding {
	enum cv_severity severity;
	const char *place;
	const char *text;
	const char *detail;
};

/* A configuration under construction; the members are private. */
struct cv_config {
	struct json_t *root;
	struct json_t *routes;
	struct json_t *workspaces;
	struct finds *misuse;
	struct finds *finds;
};

/* Handles into one configuration's tables. */
typedef int cv_route;
typedef int cv_workspace;

CV_API int cv_config_init(struct cv_config *);
CV_API void cv_config_finish(struct cv_config *);

CV_API cv_route cv_route_add(
    struct cv_config *, const char *, const char *, const char *);
CV_API void cv_route_open(struct cv_config *, cv_route);
CV_API void cv_route_idempotent(struct cv_config *, cv_route);
CV_API void cv_route_method(struct cv_config *, cv_route, const char *);
CV_API void cv_route_class(struct cv_config *, cv_route, enum cv_class);
CV_API void cv_route_deadline(struct cv_config *, cv_route, uint32_t);
CV_API void cv_route_retries(struct cv_config *, cv_route, uint32_t);

CV_API cv_workspace cv_workspace_add(
    struct cv_config *, const char *, double, uint32_t);
CV_API void cv_key_add(
    struct cv_config *, cv_workspace, const char *, const char *);
CV_API void cv_key_hash_add(
    struct cv_config *, cv_workspace, const char *, const char *);

CV_API int cv_config_check(struct cv_config *);
CV_API int cv_config_finding(
    const struct cv_config *, size_t, struct cv_finding *);
CV_API void cv_config_findings_print(
    const struct cv_config *, FILE *, const char *);
CV_API int cv_config_print(struct cv_config *, FILE *);

#ifdef __cplusplus
}
#endif

#endif

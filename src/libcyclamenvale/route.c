#include "config/config.h"
#include "libcyclamenvale/internal.h"

/*
 * Adds a route: requests whose path begins with the prefix go to the
 * service.  It needs a key and is not idempotent, of class CV_NORMAL and
 * without retries until told otherwise; a deadline has to be set.  Returns
 * the route's handle.
 */
cv_route
cv_route_add(struct cv_config *c, const char *name, const char *prefix,
    const char *service)
{
	json_t *o = json_object();

	cv_set(c, o, "name", json_string(name), CV_BAD_TEXT, __func__);
	cv_set(c, o, "prefix", json_string(prefix), CV_BAD_TEXT, __func__);
	cv_set(c, o, "service", json_string(service), CV_BAD_TEXT, __func__);
	json_object_set_new(o, "open", json_false());
	json_object_set_new(o, "idempotent", json_false());
	json_object_set_new(
	    o, "class", json_string(config_class_names[CLASS_NORMAL]));
	json_object_set_new(o, "retries", json_integer(0));
	json_array_append_new(c->routes, o);
	return (cv_route)json_array_size(c->routes) - 1;
}

/*
 * Lets requests without a key take the route.
 */
void
cv_route_open(struct cv_config *c, cv_route route)
{
	json_object_set_new(
	    cv_row(c, c->routes, route, __func__), "open", json_true());
}

/*
 * States that a request of the route may run more than once.
 */
void
cv_route_idempotent(struct cv_config *c, cv_route route)
{
	json_object_set_new(
	    cv_row(c, c->routes, route, __func__), "idempotent", json_true());
}

/*
 * Limits the route to a method; may be called several times.
 */
void
cv_route_method(struct cv_config *c, cv_route route, const char *method)
{
	json_t *o = cv_row(c, c->routes, route, __func__);
	json_t *list = json_object_get(o, "methods");

	if (o == NULL)
		return;
	if (list == NULL) {
		list = json_array();
		json_object_set_new(o, "methods", list);
	}
	if (json_array_append_new(list, json_string(method)) == -1)
		cv_misuse_add(c, CV_BAD_TEXT, __func__);
}

/*
 * Sets the importance of the route's requests.
 */
void
cv_route_class(struct cv_config *c, cv_route route, enum cv_class class)
{
	json_t *o = cv_row(c, c->routes, route, __func__);

	if ((unsigned int)class >= CV_CLASS_MAX) {
		cv_misuse_add(c, CV_BAD_CLASS, __func__);
		return;
	}
	json_object_set_new(o, "class", json_string(config_class_names[class]));
}

/*
 * Sets the time, in milliseconds, in which a request must be answered.
 */
void
cv_route_deadline(struct cv_config *c, cv_route route, uint32_t ms)
{
	json_object_set_new(cv_row(c, c->routes, route, __func__),
	    "deadline_ms", json_integer(ms));
}

/*
 * Sets how many retries one request and all calls made for it may cost
 * together.
 */
void
cv_route_retries(struct cv_config *c, cv_route route, uint32_t retries)
{
	json_object_set_new(cv_row(c, c->routes, route, __func__), "retries",
	    json_integer(retries));
}

#include <cyclamenvale.h>
#include <stdio.h>

/*
 * Adds the routes of a small shop: prices anyone may read, a catalogue and
 * orders, which must never run twice.
 */
static void
routes_add(struct cv_config *c)
{
	cv_route r;

	r = cv_route_add(c, "prices", "/prices", "pricing");
	cv_route_open(c, r);
	cv_route_idempotent(c, r);
	cv_route_method(c, r, "GET");
	cv_route_class(c, r, CV_HIGH);
	cv_route_deadline(c, r, 300);
	cv_route_retries(c, r, 1);

	r = cv_route_add(c, "catalogue", "/catalogue", "catalogue");
	cv_route_idempotent(c, r);
	cv_route_deadline(c, r, 1000);
	cv_route_retries(c, r, 2);

	r = cv_route_add(c, "orders", "/orders", "orders");
	cv_route_class(c, r, CV_CRITICAL);
	cv_route_deadline(c, r, 2000);
}

/*
 * Prints the configuration that cyclamenvalectl publishes.
 */
int
main(void)
{
	struct cv_config c;
	cv_workspace ws;
	int rc;

	if (cv_config_init(&c) == -1)
		return 1;
	routes_add(&c);
	ws = cv_workspace_add(&c, "tunis-cards", 50, 100);
	cv_key_add(&c, ws, "shop-1", "an-example-key-not-for-use");
	ws = cv_workspace_add(&c, "printers", 2.5, 5);
	cv_key_hash_add(&c, ws, "press-1",
	    "6b1d3d5ce3a3ea1b3e8b2f6d2a1c6e1f"
	    "0f5a4b3c2d1e0f9a8b7c6d5e4f3a2b1c");
	rc = cv_config_print(&c, stdout);
	if (rc == -1)
		cv_config_findings_print(&c, stderr, "storefront");
	cv_config_finish(&c);
	return rc == 0 ? 0 : 1;
}

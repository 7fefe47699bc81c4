/* The current configuration: versions, route matching, weighted targets and API keys, and parsing
 * of the configuration row that the platform publishes. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "catalog/current_catalog.h"
#include "harness.h"
#include "platform/platform_catalog.h"

static const Catalog *
catalog_of_version (int64_t version)
{
  return catalog_finish (catalog_builder_new (NULL, version));
}

static int64_t
current_version (CurrentCatalog *current)
{
  const Catalog *c = current_catalog_get (current);
  int64_t version = c ? catalog_version (c) : 0;

  catalog_unref (c);
  return version;
}

/* Guards against a stale read of the store that replaces the configuration by an older one. */
static void
older_configuration_is_rejected (void)
{
  CurrentCatalog *current = current_catalog_new (NULL);

  CU_ASSERT_EQUAL (current_version (current), 0);
  CU_ASSERT (current_catalog_set (current, catalog_of_version (3)));
  CU_ASSERT_FALSE (current_catalog_set (current, catalog_of_version (2)));
  CU_ASSERT_FALSE (current_catalog_set (current, catalog_of_version (3)));
  CU_ASSERT_EQUAL (current_version (current), 3);
  CU_ASSERT (current_catalog_set (current, catalog_of_version (4)));
  CU_ASSERT_EQUAL (current_version (current), 4);
  talloc_free (current);
}

/* Guards against use after free: a request keeps its route while an update replaces the
 * configuration. */
static void
referenced_configuration_outlives_an_update (void)
{
  CurrentCatalog *current = current_catalog_new (NULL);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService service = { .name = "s" };
  CatalogTarget target = { catalog_add_service (b, &service), 1 };
  CatalogRoute route
      = { .name = "r", .host = "h", .path_prefix = "/a/", .targets = &target, .n_targets = 1 };
  const CatalogRoute *found;
  const Catalog *old;
  void *request = talloc_new (NULL);

  catalog_add_route (b, &route);
  current_catalog_set (current, catalog_finish (b));
  old = current_catalog_get (current);
  catalog_attach (request, old);
  found = catalog_match_route (old, "GET", "h", "/a/1");
  current_catalog_set (current, catalog_of_version (2));
  CU_ASSERT_PTR_NOT_NULL (found);
  if (!found)
    return;
  CU_ASSERT_STRING_EQUAL (found->name, "r");
  CU_ASSERT_STRING_EQUAL (catalog_route_select_service (found, 7)->name, "s");
  talloc_free (request);
  talloc_free (current);
}

static void
add_route (CatalogBuilder *b, const char *name, const char *method, const char *prefix)
{
  CatalogRoute route = { .name = name, .host = "h", .path_prefix = prefix, .method = method };

  catalog_add_route (b, &route);
}

static const char *
matched_name (const Catalog *c, const char *method, const char *path)
{
  const CatalogRoute *route = catalog_match_route (c, method, "h", path);

  return route ? route->name : "none";
}

/* Guards against a request that gets another route's timeout or service: the longest prefix counts among the routes
 * for its method, and the first one of routes with the same prefix. */
static void
method_and_order_decide_between_prefixes (void)
{
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  const Catalog *c;

  add_route (b, "get", "GET", "/a/");
  add_route (b, "post", "POST", "/a/");
  add_route (b, "any", NULL, "/a/");
  add_route (b, "second", NULL, "/a/");
  add_route (b, "put", "PUT", "/a/b/");
  add_route (b, "root", NULL, "");
  c = catalog_finish (b);
  CU_ASSERT_STRING_EQUAL (matched_name (c, "GET", "/a/b/c"), "get");
  CU_ASSERT_STRING_EQUAL (matched_name (c, "POST", "/a/"), "post");
  CU_ASSERT_STRING_EQUAL (matched_name (c, "DELETE", "/a/b/"), "any");
  CU_ASSERT_STRING_EQUAL (matched_name (c, "PUT", "/a/b/c"), "put");
  CU_ASSERT_STRING_EQUAL (matched_name (c, "PUT", "/a/b"), "any");
  CU_ASSERT_STRING_EQUAL (matched_name (c, "GET", "/a"), "root");
  CU_ASSERT_STRING_EQUAL (matched_name (c, "GET", ""), "root");
  catalog_unref (c);
}

/* Guards against a loop that stands still while it frees thousands of routes of a configuration that was replaced. */
static void
routes_are_freed_in_few_blocks (void)
{
  enum
  {
    ROUTES = 6000,
    MAX_BLOCKS = ROUTES / 50
  };
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  const Catalog *c;
  char prefix[32];

  for (int i = 0; i < ROUTES; i++)
    {
      snprintf (prefix, sizeof prefix, "/prefix%d/", i);
      add_route (b, "some-route", NULL, prefix);
    }
  c = catalog_finish (b);
  CU_ASSERT (talloc_total_blocks (c) <= MAX_BLOCKS);
  CU_ASSERT_STRING_EQUAL (catalog_match_route (c, "GET", "h", "/prefix5999/x")->path_prefix,
                          "/prefix5999/");
  CU_ASSERT_PTR_NULL (catalog_match_route (c, "GET", "h", "/prefix6000/x"));
  catalog_unref (c);
}

/* --- The platform's row ------------------------------------------------------------------ */

static const Catalog *
parse_row (const char *text, Err *err)
{
  *err = (Err)ERR_INIT;
  return platform_catalog_parse (text, strlen (text), err);
}

static const char ROW[]
    = "{\"version\":7,"
      "\"services\":[{\"name\":\"s\",\"connection_limit\":40},{\"name\":\"e\",\"engine\":"
      "{\"slots\":8,\"kv_cache_tokens\":900,\"stride\":4}}],"
      "\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/a/"
      "\",\"service\":\"s\",\"kind\":\"idempotent\"},"
      "{\"host\":\"h\",\"path_prefix\":\"/a/b/\",\"kind\":\"streaming\",\"weighted_services\":"
      "[{\"service\":\"s\",\"weight\":1},{\"service\":\"e\",\"weight\":3}]},"
      "{\"host\":\"h\",\"path_prefix\":\"/c/\",\"service\":\"s\",\"kind\":\"something else\"}],"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key\"],\"prepaid\":500}],"
      "\"unknown\":{\"to\":\"us\"}}";

/* Guards against routing a request by a shorter prefix although a longer one matches too. */
static void
longest_matching_prefix_is_selected (void)
{
  Err err;
  const Catalog *c = parse_row (ROW, &err);

  CU_ASSERT_STRING_EQUAL (catalog_match_route (c, "GET", "h", "/a/x")->path_prefix, "/a/");
  CU_ASSERT_STRING_EQUAL (catalog_match_route (c, "GET", "h", "/a/b/x")->path_prefix, "/a/b/");
  CU_ASSERT_PTR_NULL (catalog_match_route (c, "GET", "other", "/a/x"));
  CU_ASSERT_PTR_NULL (catalog_match_route (c, "GET", "h", "/ab"));
  CU_ASSERT_PTR_NULL (catalog_match_route (c, "GET", "h", "/"));
  catalog_unref (c);
}

/* Guards against retrying a request whose kind this version does not know, and which may not be
 * idempotent. */
static void
unknown_kind_is_treated_as_non_idempotent (void)
{
  Err err;
  const Catalog *c = parse_row (ROW, &err);

  CU_ASSERT_EQUAL (catalog_match_route (c, "GET", "h", "/c/")->kind, CALL_NON_IDEMPOTENT);
  CU_ASSERT_EQUAL (catalog_match_route (c, "GET", "h", "/a/")->kind, CALL_IDEMPOTENT);
  catalog_unref (c);
}

/* Guards against a limit that becomes negative or zero because its number is too large for its type, and against one
 * that differs between processors. */
static void
numbers_beyond_their_range_are_limited (void)
{
  static const char LARGE[]
      = "{\"version\":7,\"services\":[{\"name\":\"s\",\"connection_limit\":4294967296}],"
        "\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/a/"
        "\",\"service\":\"s\",\"timeout_ms\":1e300,"
        "\"max_attempts\":4294967296,\"priority\":-1e300,\"target_latency_ms\":2500.5}],"
        "\"tenants\":[{\"name\":\"t\",\"priority\":-1,\"prepaid\":9007199254740991}],"
        "\"limits\":{\"idle_timeout_ms\":9223372036854775807,\"max_body_bytes\":-1}}";
  Err err;
  const Catalog *c = parse_row (LARGE, &err);
  const CatalogRoute *route = c ? catalog_match_route (c, "GET", "h", "/a/") : NULL;

  CU_ASSERT_PTR_NOT_NULL (route);
  if (!route)
    return;
  CU_ASSERT_EQUAL (catalog_find_service (c, "s")->connection_limit, INT32_MAX);
  CU_ASSERT_EQUAL (route->timeout_ms, INT32_MAX);
  CU_ASSERT_EQUAL (route->max_attempts, INT32_MAX);
  CU_ASSERT_EQUAL (route->priority, 0);
  CU_ASSERT_EQUAL (route->target_latency_ms, 2500);
  CU_ASSERT_EQUAL (catalog_limits (c)->idle_timeout_ms, INT32_MAX);
  CU_ASSERT_EQUAL (catalog_limits (c)->max_body_bytes, 0);
  catalog_unref (c);
}

/* Guards against a weighted split that sends all requests to one target, and against one that selects
 * another target on a retry. */
static void
targets_share_requests_by_weight (void)
{
  Err err;
  const Catalog *c = parse_row (ROW, &err);
  const CatalogRoute *route = catalog_match_route (c, "GET", "h", "/a/b/");
  int engine = 0;

  for (uint64_t i = 0; i < 4000; i++)
    {
      uint64_t hash = i * 0x9e3779b97f4a7c15u;

      engine += !strcmp (catalog_route_select_service (route, hash)->name, "e");
      CU_ASSERT_PTR_EQUAL (catalog_route_select_service (route, hash),
                           catalog_route_select_service (route, hash));
    }
  CU_ASSERT (engine > 2800 && engine < 3200);
  catalog_unref (c);
}

/* Guards against an account whose prepaid budget is ignored, and against API keys that are not hashed
 * before they are stored or looked up. */
static void
accounts_are_found_by_their_keys (void)
{
  Err err;
  const Catalog *c = parse_row (ROW, &err);
  const CatalogAccount *a = catalog_find_account_by_key (c, "key");

  CU_ASSERT (catalog_requires_keys (c));
  CU_ASSERT_PTR_NOT_NULL (a);
  if (!a)
    return;
  CU_ASSERT_STRING_EQUAL (a->name, "t");
  CU_ASSERT (a->has_budget);
  CU_ASSERT_EQUAL (a->budget, 500);
  CU_ASSERT_PTR_NULL (catalog_find_account_by_key (c, "kez"));
  CU_ASSERT_PTR_NULL (catalog_find_account_by_key (c, ""));
  catalog_unref (c);
}

/* Guards against an incomplete row, or one of another format version, that removes routes. */
static void
invalid_row_is_rejected (void)
{
  static const char NO_SERVICE[] = "{\"version\":7,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/"
                                   "a/\",\"service\":\"none\"}]}";
  static const char *const BAD[] = { "",
                                     "{",
                                     "[]",
                                     "{\"routes\":[]}",
                                     "{\"version\":\"7\"}",
                                     "{\"version\":7,\"routes\":[{\"host\":\"h\"}]}",
                                     NO_SERVICE,
                                     "{\"version\":7,\"tenants\":[{\"prepaid\":5}]}",
                                     "{\"version\":7,}",
                                     "{\"version\":7,\"ro\\utes\":[]}",
                                     "{\"version\":7,\"x\":[{\"a\" 1}]}",
                                     "{\"version\":7,\"x\":[}}",
                                     "{\"version\":7 \"limits\":{}}",
                                     "{\"version\":}",
                                     "{\"version\" 7}",
                                     "{\"version\":7} x",
                                     "{\"version\":7]",
                                     "{\"version\":7,\"routes\":}",
                                     "{\"version\":7,\"routes\":x}",
                                     "{\"version\":7,\"routes\":[}",
                                     "{\"version\":7,\"services\":[{\"name\":\"s\"},]}",
                                     "{\"version\":7,\"services\":[{\"name\":\"s\"} {}]}",
                                     "{\"version\":7,\"services\":[,]}",
                                     "{\"version\":7,\"services\":[{\"name\":\"s\"]]}",
                                     "{\"version\":7,\"services\":[{\"name\":\"s\"}}}",
                                     "{\"version\":7,\"limits\":{\"a\":}}",
                                     "{\"version\":7,\"limits\":{}}}" };

  for (size_t i = 0; i < sizeof BAD / sizeof BAD[0]; i++)
    {
      Err err;

      CU_ASSERT_PTR_NULL (parse_row (BAD[i], &err));
      CU_ASSERT_NOT_EQUAL (err.kind, ERR_NONE);
      CU_ASSERT (strlen (err.detail) > 0);
    }
}

/* Guards against a parser that looks for the parts of a row only where it expects them, or takes brackets and
 * quotes within strings for those of the row. */
static void
parts_of_a_row_are_found_in_any_order_and_form (void)
{
  static const char ODD[]
      = " {\n\"limits\" : { \"idle_timeout_ms\" :\t900 } ,\"x\\\"]}\":[\"}]\\\\\",{\"routes\":[]}],"
        "\"routes\":[ "
        "{\"name\":\"[{\\\"\",\"host\":\"h\\u0031\",\"path_prefix\":\"/]}\",\"service\":\"s,\"} ],"
        "\"empty\":[ ],\"tenants\":[ ], \"number\":-1.5e3 ,\"services\":[{\"name\":\"s,\"} ,{} ]"
        ",\"null\":null\t, \"version\" : 7 }\r\n";
  Err err;
  const Catalog *c = parse_row (ODD, &err);
  const CatalogRoute *route;

  CU_ASSERT_PTR_NOT_NULL (c);
  if (!c)
    return;
  CU_ASSERT_EQUAL (catalog_version (c), 7);
  CU_ASSERT_EQUAL (catalog_limits (c)->idle_timeout_ms, 900);
  route = catalog_match_route (c, "GET", "h1", "/]}x");
  CU_ASSERT_PTR_NOT_NULL (route);
  if (!route)
    return;
  CU_ASSERT_STRING_EQUAL (route->name, "[{\"");
  CU_ASSERT_STRING_EQUAL (route->targets[0].service->name, "s,");
  catalog_unref (c);
}

/* Guards against reading past the end of a row, which is not zero-terminated. */
static void
truncated_row_is_rejected (void)
{
  for (size_t len = 0; len < sizeof ROW - 1; len++)
    {
      char *truncated = talloc_strndup (NULL, ROW, len);
      Err err = ERR_INIT;

      CU_ASSERT_PTR_NULL (platform_catalog_parse (truncated, len, &err));
      talloc_free (truncated);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "older_configuration_is_rejected", older_configuration_is_rejected },
    { "referenced_configuration_outlives_an_update", referenced_configuration_outlives_an_update },
    { "method_and_order_decide_between_prefixes", method_and_order_decide_between_prefixes },
    { "routes_are_freed_in_few_blocks", routes_are_freed_in_few_blocks },
    { "longest_matching_prefix_is_selected", longest_matching_prefix_is_selected },
    { "unknown_kind_is_treated_as_non_idempotent", unknown_kind_is_treated_as_non_idempotent },
    { "numbers_beyond_their_range_are_limited", numbers_beyond_their_range_are_limited },
    { "targets_share_requests_by_weight", targets_share_requests_by_weight },
    { "accounts_are_found_by_their_keys", accounts_are_found_by_their_keys },
    { "invalid_row_is_rejected", invalid_row_is_rejected },
    { "parts_of_a_row_are_found_in_any_order_and_form",
      parts_of_a_row_are_found_in_any_order_and_form },
    { "truncated_row_is_rejected", truncated_row_is_rejected },
  };

  return harness_run ("catalog", CASES, sizeof CASES / sizeof CASES[0]);
}

/* The configuration in force: versions, routes, shares, keys; and reading it from the platform's row. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "catalog/catalog_store.h"
#include "harness.h"
#include "platform/platform_catalog.h"

static const Catalog *
of_version (int64_t version)
{
  return catalog_finish (catalog_builder_new (NULL, version));
}

static int64_t
version_in_force (CatalogStore *store)
{
  const Catalog *c = catalog_store_get (store);
  int64_t version = c ? catalog_version (c) : 0;

  catalog_unref (c);
  return version;
}

/* Guards against a stale read that puts an older configuration back in force. */
static void
a_configuration_never_goes_back (void)
{
  CatalogStore *store = catalog_store_new (NULL);

  CU_ASSERT_EQUAL (version_in_force (store), 0);
  CU_ASSERT (catalog_store_set (store, of_version (3)));
  CU_ASSERT_FALSE (catalog_store_set (store, of_version (2)));
  CU_ASSERT_FALSE (catalog_store_set (store, of_version (3)));
  CU_ASSERT_EQUAL (version_in_force (store), 3);
  CU_ASSERT (catalog_store_set (store, of_version (4)));
  CU_ASSERT_EQUAL (version_in_force (store), 4);
  talloc_free (store);
}

/* Guards against a request whose route goes away under it when the configuration changes. */
static void
a_held_configuration_outlives_the_next (void)
{
  CatalogStore *store = catalog_store_new (NULL);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService service = { .name = "s" };
  CatalogTarget target = { catalog_add_service (b, &service), 1 };
  CatalogRoute route
      = { .name = "r", .host = "h", .path_prefix = "/a/", .targets = &target, .n_targets = 1 };
  const CatalogRoute *found;
  const Catalog *held;
  void *request = talloc_new (NULL);

  catalog_add_route (b, &route);
  catalog_store_set (store, catalog_finish (b));
  held = catalog_store_get (store);
  catalog_hold (request, held);
  found = catalog_route (held, "GET", "h", "/a/1");
  catalog_store_set (store, of_version (2));
  CU_ASSERT_PTR_NOT_NULL (found);
  if (!found)
    return;
  CU_ASSERT_STRING_EQUAL (found->name, "r");
  CU_ASSERT_STRING_EQUAL (catalog_route_service (found, 7)->name, "s");
  talloc_free (request);
  talloc_free (store);
}

/* --- The platform's row ------------------------------------------------------------------ */

static const Catalog *
read_row (const char *text, Err *err)
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

/* Guards against a request that is sent along the wrong route of two that match. */
static void
the_longest_prefix_wins (void)
{
  Err err;
  const Catalog *c = read_row (ROW, &err);

  CU_ASSERT_STRING_EQUAL (catalog_route (c, "GET", "h", "/a/x")->path_prefix, "/a/");
  CU_ASSERT_STRING_EQUAL (catalog_route (c, "GET", "h", "/a/b/x")->path_prefix, "/a/b/");
  CU_ASSERT_PTR_NULL (catalog_route (c, "GET", "other", "/a/x"));
  CU_ASSERT_PTR_NULL (catalog_route (c, "GET", "h", "/ab"));
  CU_ASSERT_PTR_NULL (catalog_route (c, "GET", "h", "/"));
  catalog_unref (c);
}

/* Guards against a request that is repeated because its kind is not known here. */
static void
an_unknown_kind_may_run_once (void)
{
  Err err;
  const Catalog *c = read_row (ROW, &err);

  CU_ASSERT_EQUAL (catalog_route (c, "GET", "h", "/c/")->kind, CALL_ONCE);
  CU_ASSERT_EQUAL (catalog_route (c, "GET", "h", "/a/")->kind, CALL_IDEMPOTENT);
  catalog_unref (c);
}

/* Guards against a split that sends everything to one target, and one that changes between attempts. */
static void
targets_share_requests_by_weight (void)
{
  Err err;
  const Catalog *c = read_row (ROW, &err);
  const CatalogRoute *route = catalog_route (c, "GET", "h", "/a/b/");
  int engine = 0;

  for (uint64_t i = 0; i < 4000; i++)
    {
      uint64_t hash = i * 0x9e3779b97f4a7c15u;

      engine += !strcmp (catalog_route_service (route, hash)->name, "e");
      CU_ASSERT_PTR_EQUAL (catalog_route_service (route, hash),
                           catalog_route_service (route, hash));
    }
  CU_ASSERT (engine > 2800 && engine < 3200);
  catalog_unref (c);
}

/* Guards against an account that is served without a budget, or a key that is kept as it is. */
static void
accounts_are_found_by_their_keys (void)
{
  Err err;
  const Catalog *c = read_row (ROW, &err);
  const CatalogAccount *a = catalog_account_by_key (c, "key");

  CU_ASSERT (catalog_needs_keys (c));
  CU_ASSERT_PTR_NOT_NULL (a);
  if (!a)
    return;
  CU_ASSERT_STRING_EQUAL (a->name, "t");
  CU_ASSERT (a->limited);
  CU_ASSERT_EQUAL (a->budget, 500);
  CU_ASSERT_PTR_NULL (catalog_account_by_key (c, "kez"));
  CU_ASSERT_PTR_NULL (catalog_account_by_key (c, ""));
  catalog_unref (c);
}

/* Guards against a row written in part, or by another version of its writer, that takes routes away. */
static void
a_row_that_cannot_be_used_whole_is_rejected (void)
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
                                     "{\"version\":7,\"tenants\":[{\"prepaid\":5}]}" };

  for (size_t i = 0; i < sizeof BAD / sizeof BAD[0]; i++)
    {
      Err err;

      CU_ASSERT_PTR_NULL (read_row (BAD[i], &err));
      CU_ASSERT_NOT_EQUAL (err.kind, ERR_NONE);
      CU_ASSERT (strlen (err.detail) > 0);
    }
}

/* Guards against reading beyond a row that has no end of its own. */
static void
every_part_of_a_row_is_rejected_or_read (void)
{
  for (size_t len = 0; len < sizeof ROW - 1; len++)
    {
      char *part = talloc_strndup (NULL, ROW, len);
      Err err = ERR_INIT;

      CU_ASSERT_PTR_NULL (platform_catalog_parse (part, len, &err));
      talloc_free (part);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "a_configuration_never_goes_back", a_configuration_never_goes_back },
    { "a_held_configuration_outlives_the_next", a_held_configuration_outlives_the_next },
    { "the_longest_prefix_wins", the_longest_prefix_wins },
    { "an_unknown_kind_may_run_once", an_unknown_kind_may_run_once },
    { "targets_share_requests_by_weight", targets_share_requests_by_weight },
    { "accounts_are_found_by_their_keys", accounts_are_found_by_their_keys },
    { "a_row_that_cannot_be_used_whole_is_rejected", a_row_that_cannot_be_used_whole_is_rejected },
    { "every_part_of_a_row_is_rejected_or_read", every_part_of_a_row_is_rejected_or_read },
  };

  return harness_run ("catalog", CASES, sizeof CASES / sizeof CASES[0]);
}

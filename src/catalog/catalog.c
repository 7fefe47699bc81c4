#include "catalog/catalog.h"

#include <stdatomic.h>
#include <string.h>

#include <glib.h>
#include <openssl/sha.h>
#include <talloc.h>

#include "catalog/route_index.h"
#include "core/arena.h"

struct Catalog
{
  atomic_int refs;
  int64_t version;
  CatalogLimits limits;
  GHashTable *services_by_name;
  GHashTable *services_by_model;
  Arena *route_memory;
  RouteIndex *routes;
  GHashTable *accounts_by_name;
  GHashTable *accounts_by_digest; /* by digest of the API key */
  size_t n_routes;
  GHashTable *regions; /* set of the names of all regions of routes and accounts, in route_memory */
  size_t n_unreadable_regions;
};

typedef struct
{
  CatalogRoute route;
  RouteNode node;
  CatalogTarget targets[];
} StoredRoute;

struct CatalogBuilder
{
  Catalog *catalog;
};

static guint
digest_hash (gconstpointer digest)
{
  guint hash;

  memcpy (&hash, digest, sizeof hash);
  return hash;
}

static gboolean
digest_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, CATALOG_DIGEST_BYTES) == 0;
}

CatalogBuilder *
catalog_builder_new (const void *ctx, int64_t version)
{
  CatalogBuilder *b = talloc_zero (ctx, CatalogBuilder);
  Catalog *c = talloc_zero (NULL, Catalog);

  b->catalog = c;
  atomic_store (&c->refs, 1);
  c->version = version;
  c->services_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  c->services_by_model = g_hash_table_new (g_str_hash, g_str_equal);
  c->route_memory = arena_new (c);
  c->routes = route_index_new (c);
  c->accounts_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  c->accounts_by_digest = g_hash_table_new (digest_hash, digest_equal);
  c->regions = g_hash_table_new (g_str_hash, g_str_equal);
  return b;
}

const CatalogService *
catalog_add_service (CatalogBuilder *b, const CatalogService *service)
{
  CatalogService *s = talloc (b->catalog, CatalogService);

  *s = *service;
  s->name = talloc_strdup (s, service->name);
  s->model = service->model ? talloc_strdup (s, service->model) : NULL;
  if (s->model)
    g_hash_table_insert (b->catalog->services_by_model, (gpointer)s->model, s);
  s->health_path = service->health_path ? talloc_strdup (s, service->health_path) : NULL;
  g_hash_table_insert (b->catalog->services_by_name, (gpointer)s->name, s);
  return s;
}

const CatalogService *
catalog_builder_find_service (const CatalogBuilder *b, const char *name)
{
  return g_hash_table_lookup (b->catalog->services_by_name, name);
}

static const char *
intern_region (Catalog *c, const char *name)
{
  const char *copy = g_hash_table_lookup (c->regions, name);

  if (copy)
    return copy;
  copy = arena_strdup (c->route_memory, name);
  g_hash_table_add (c->regions, (gpointer)copy);
  return copy;
}

static const RegionSet *
copy_regions (Catalog *c, const RegionSet *regions)
{
  RegionSet *set;
  const char **names;

  if (!regions)
    return NULL;
  set = arena_alloc (c->route_memory, sizeof *set);
  names = arena_alloc (c->route_memory, (regions->n + 1) * sizeof *names);
  for (size_t i = 0; i < regions->n; i++)
    names[i] = intern_region (c, regions->names[i]);
  *set = (RegionSet){ .unreadable = regions->unreadable, .n = regions->n, .names = names };
  c->n_unreadable_regions += regions->unreadable;
  return set;
}

void
catalog_add_route (CatalogBuilder *b, const CatalogRoute *route)
{
  Catalog *c = b->catalog;
  Arena *memory = c->route_memory;
  size_t targets_size = route->n_targets * sizeof *route->targets;
  StoredRoute *stored = arena_alloc (memory, sizeof *stored + targets_size);
  CatalogRoute *r = &stored->route;

  *r = *route;
  r->name = arena_strdup (memory, route->name);
  r->host = arena_strdup (memory, route->host);
  r->path_prefix = arena_strdup (memory, route->path_prefix);
  r->method = arena_strdup (memory, route->method);
  r->regions = copy_regions (c, route->regions);
  if (targets_size > 0)
    memcpy (stored->targets, route->targets, targets_size);
  r->targets = stored->targets;
  r->total_weight = 0;
  for (size_t i = 0; i < route->n_targets; i++)
    r->total_weight += route->targets[i].weight;
  route_index_add (c->routes, &stored->node, r);
  c->n_routes++;
}

const CatalogAccount *
catalog_add_account (CatalogBuilder *b, const CatalogAccount *account)
{
  CatalogAccount *a = talloc (b->catalog, CatalogAccount);

  *a = *account;
  a->name = talloc_strdup (a, account->name);
  a->regions = copy_regions (b->catalog, account->regions);
  g_hash_table_insert (b->catalog->accounts_by_name, (gpointer)a->name, a);
  return a;
}

void
catalog_add_key (CatalogBuilder *b, const CatalogAccount *account,
                 const uint8_t digest[CATALOG_DIGEST_BYTES])
{
  uint8_t *copy = talloc_memdup (b->catalog, digest, CATALOG_DIGEST_BYTES);

  g_hash_table_insert (b->catalog->accounts_by_digest, copy, (gpointer)account);
}

void
catalog_set_limits (CatalogBuilder *b, const CatalogLimits *limits)
{
  b->catalog->limits = *limits;
}

const Catalog *
catalog_finish (CatalogBuilder *b)
{
  Catalog *c = b->catalog;

  talloc_free (b);
  return c;
}

const Catalog *
catalog_ref (const Catalog *catalog)
{
  atomic_fetch_add (&((Catalog *)catalog)->refs, 1);
  return catalog;
}

void
catalog_unref (const Catalog *catalog)
{
  Catalog *c = (Catalog *)catalog;

  if (!c || atomic_fetch_sub (&c->refs, 1) > 1)
    return;
  g_hash_table_unref (c->services_by_name);
  g_hash_table_unref (c->services_by_model);
  g_hash_table_unref (c->accounts_by_name);
  g_hash_table_unref (c->accounts_by_digest);
  g_hash_table_unref (c->regions);
  talloc_free (c);
}

typedef struct
{
  const Catalog *catalog;
} CatalogRef;

static int
catalog_ref_destroy (CatalogRef *ref)
{
  catalog_unref (ref->catalog);
  return 0;
}

void
catalog_attach (const void *ctx, const Catalog *catalog)
{
  CatalogRef *ref = talloc (ctx, CatalogRef);

  ref->catalog = catalog;
  talloc_set_destructor (ref, catalog_ref_destroy);
}

int64_t
catalog_version (const Catalog *c)
{
  return c->version;
}

const CatalogLimits *
catalog_limits (const Catalog *c)
{
  return &c->limits;
}

size_t
catalog_n_routes (const Catalog *c)
{
  return c->n_routes;
}

bool
catalog_requires_keys (const Catalog *c)
{
  return g_hash_table_size (c->accounts_by_name) > 0;
}

const CatalogRoute *
catalog_match_route (const Catalog *c, const char *method, const char *host, const char *path)
{
  return route_index_match (c->routes, method, host, path);
}

const CatalogService *
catalog_find_service_by_model (const Catalog *c, const char *model)
{
  return g_hash_table_lookup (c->services_by_model, model);
}

void
catalog_key_digest (const char *key, uint8_t digest[CATALOG_DIGEST_BYTES])
{
  SHA256 ((const unsigned char *)key, strlen (key), digest);
}

const CatalogAccount *
catalog_find_account_by_key (const Catalog *c, const char *key)
{
  uint8_t digest[CATALOG_DIGEST_BYTES];

  catalog_key_digest (key, digest);
  return g_hash_table_lookup (c->accounts_by_digest, digest);
}

const CatalogAccount *
catalog_find_account (const Catalog *c, const char *name)
{
  return g_hash_table_lookup (c->accounts_by_name, name);
}

const CatalogService *
catalog_find_service (const Catalog *c, const char *name)
{
  return g_hash_table_lookup (c->services_by_name, name);
}

void
catalog_each_account (const Catalog *c, void (*fn) (void *data, const CatalogAccount *account),
                      void *data)
{
  GHashTableIter iter;
  gpointer account;

  g_hash_table_iter_init (&iter, c->accounts_by_name);
  while (g_hash_table_iter_next (&iter, NULL, &account))
    fn (data, account);
}

void
catalog_each_service (const Catalog *c, void (*fn) (void *data, const CatalogService *service),
                      void *data)
{
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, c->services_by_name);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    fn (data, service);
}

void
catalog_each_region (const Catalog *c, void (*fn) (void *data, const char *region), void *data)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, c->regions);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    fn (data, name);
}

size_t
catalog_n_unreadable_regions (const Catalog *c)
{
  return c->n_unreadable_regions;
}

const CatalogService *
catalog_route_select_service (const CatalogRoute *r, uint64_t hash)
{
  uint64_t point;

  if (r->total_weight == 0)
    return r->n_targets ? r->targets[0].service : NULL;
  point = hash % r->total_weight;
  for (size_t i = 0; i < r->n_targets; i++)
    {
      if (point < r->targets[i].weight)
        return r->targets[i].service;
      point -= r->targets[i].weight;
    }
  return NULL;
}

#include "catalog/current_catalog.h"

#include <inttypes.h>
#include <pthread.h>

#include <talloc.h>

#include "core/invariant.h"
#include "core/log.h"

struct CurrentCatalog
{
  pthread_mutex_t lock; /* the lock "catalog"; protects current */
  const Catalog *current;
};

static int
current_catalog_destroy (CurrentCatalog *s)
{
  catalog_unref (s->current);
  pthread_mutex_destroy (&s->lock);
  return 0;
}

CurrentCatalog *
current_catalog_new (const void *ctx)
{
  CurrentCatalog *s = talloc_zero (ctx, CurrentCatalog);

  pthread_mutex_init (&s->lock, NULL);
  talloc_set_destructor (s, current_catalog_destroy);
  return s;
}

bool
current_catalog_set (CurrentCatalog *s, const Catalog *catalog)
{
  const Catalog *old;
  int64_t old_version;
  bool newer;

  pthread_mutex_lock (&s->lock);
  old = s->current;
  old_version = old ? catalog_version (old) : 0;
  newer = !old || catalog_version (catalog) > old_version;
  if (newer)
    s->current = catalog;
  pthread_mutex_unlock (&s->lock);
  if (!newer)
    {
      catalog_unref (catalog);
      return false;
    }
  log_event (LOG_LEVEL_NOTICE, "catalog", "in_force",
             "version=%" PRId64 " before=%" PRId64 " routes=%zu idle_timeout_ms=%" PRId64,
             catalog_version (catalog), old_version, catalog_n_routes (catalog),
             catalog_limits (catalog)->idle_timeout_ms);
  catalog_unref (old);
  return true;
}

const Catalog *
current_catalog_get (CurrentCatalog *s)
{
  const Catalog *c;

  pthread_mutex_lock (&s->lock);
  c = s->current ? catalog_ref (s->current) : NULL;
  pthread_mutex_unlock (&s->lock);
  return c;
}

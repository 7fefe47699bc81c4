#include "route/pool.h"

#include <string.h>

#include <talloc.h>

/* A retry for every fifth request, and 20 at once after a calm time: a host meets each dead server
 * with a request of its own before it avoids it, and a region has about 20. */
#define RETRY_BURST       20
#define RETRY_PER_REQUEST 0.2

#define AVERAGE_WEIGHT 0.05

static int
pool_destroy (RoutePool *pool)
{
  g_hash_table_destroy (pool->by_name);
  return 0;
}

RoutePool *
pool_new (const void *ctx, const char *name)
{
  RoutePool *pool = talloc_zero (ctx, RoutePool);

  strncpy (pool->name, name, sizeof pool->name - 1);
  pool->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  retry_budget_init (&pool->retries, RETRY_BURST, RETRY_PER_REQUEST);
  talloc_set_destructor (pool, pool_destroy);
  return pool;
}

RouteServer *
pool_server (const RoutePool *pool, const char *name)
{
  return g_hash_table_lookup (pool->by_name, name);
}

/* A server that moved to another address is another server: nothing known of the old one holds. */
static RouteServer *
keep_or_add (RoutePool *pool, const ConfigServer *config)
{
  RouteServer *old = pool_server (pool, config->name);

  if (old && !strcmp (old->address, config->address))
    {
      g_hash_table_remove (pool->by_name, config->name);
      return old;
    }
  return route_server_new (pool, config);
}

static void
drop_rest (RoutePool *pool, PoolGoneFn gone, void *data)
{
  GHashTableIter it;
  gpointer server;

  g_hash_table_iter_init (&it, pool->by_name);
  while (g_hash_table_iter_next (&it, NULL, &server))
    {
      g_hash_table_iter_remove (&it);
      if (pool->variant)
        variant_forget (pool->variant, server);
      gone (data, server);
    }
}

static void
set_variant (RoutePool *pool, const char *name)
{
  if (pool->variant && !strcmp (pool->variant->ops->name, name))
    return;
  talloc_free (pool->variant);
  pool->variant = variant_new (pool, name);
}

void
pool_configure (RoutePool *pool, const ConfigPool *config, const Config *all,
                const RoutesOptions *host, PoolGoneFn gone, void *data)
{
  size_t n = config ? config->n_servers : 0;
  RouteServer **servers = talloc_zero_array (pool, RouteServer *, n);

  for (size_t i = 0; i < n; i++)
    {
      servers[i] = keep_or_add (pool, &config->servers[i]);
      server_configure (servers[i], &config->servers[i], host);
      server_set_stops (servers[i], all);
    }
  drop_rest (pool, gone, data);
  for (size_t i = 0; i < n; i++)
    g_hash_table_insert (pool->by_name, servers[i]->name, servers[i]);
  talloc_free (pool->servers);
  talloc_free (pool->candidates);
  pool->servers = servers;
  pool->n_servers = n;
  pool->candidates = talloc_zero_array (pool, RouteServer *, n);
  pool->kind = config ? config->kind : pool->kind;
  set_variant (pool, config_policy (all, "default")->route_variant);
}

static void
average (double *mean, double value)
{
  *mean = *mean > 0 ? *mean + AVERAGE_WEIGHT * (value - *mean) : value;
}

void
pool_ended (RoutePool *pool, const RouteResult *result)
{
  average (&pool->total_ms, (double)result->total_ms);
  if (result->first_token_ms >= 0)
    average (&pool->first_token_ms, (double)result->first_token_ms);
}

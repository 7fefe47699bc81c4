#include "catalog/route_index.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>
#include <xxhash.h>

typedef struct
{
  GHashTable *by_prefix; /* set of the first RouteNode of each prefix */
  GArray *lengths;       /* size_t, of the prefixes, longest first, each once */
} HostRoutes;

struct RouteIndex
{
  GHashTable *hosts; /* HostRoutes by name */
};

static guint
node_hash (gconstpointer key)
{
  const RouteNode *n = key;

  return (guint)XXH3_64bits (n->route->path_prefix, n->prefix_len);
}

static gboolean
node_equal (gconstpointer a, gconstpointer b)
{
  const RouteNode *x = a;
  const RouteNode *y = b;

  return x->prefix_len == y->prefix_len
         && memcmp (x->route->path_prefix, y->route->path_prefix, x->prefix_len) == 0;
}

static void
host_free (gpointer data)
{
  HostRoutes *h = data;

  g_hash_table_unref (h->by_prefix);
  g_array_unref (h->lengths);
  g_free (h);
}

static int
index_destroy (RouteIndex *index)
{
  g_hash_table_unref (index->hosts);
  return 0;
}

RouteIndex *
route_index_new (const void *ctx)
{
  RouteIndex *index = talloc (ctx, RouteIndex);

  index->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_free);
  talloc_set_destructor (index, index_destroy);
  return index;
}

static HostRoutes *
get_host (RouteIndex *index, const char *name)
{
  HostRoutes *h = g_hash_table_lookup (index->hosts, name);

  if (h)
    return h;
  h = g_new (HostRoutes, 1);
  h->by_prefix = g_hash_table_new (node_hash, node_equal);
  h->lengths = g_array_new (FALSE, FALSE, sizeof (size_t));
  g_hash_table_insert (index->hosts, (gpointer)name, h);
  return h;
}

static void
add_length (HostRoutes *h, size_t len)
{
  guint i = 0;

  while (i < h->lengths->len && g_array_index (h->lengths, size_t, i) > len)
    i++;
  if (i == h->lengths->len || g_array_index (h->lengths, size_t, i) != len)
    g_array_insert_val (h->lengths, i, len);
}

void
route_index_add (RouteIndex *index, RouteNode *node, const CatalogRoute *route)
{
  HostRoutes *h = get_host (index, route->host);
  RouteNode *first;

  *node = (RouteNode){ .route = route, .prefix_len = strlen (route->path_prefix), .last = node };
  first = g_hash_table_lookup (h->by_prefix, node);
  if (!first)
    {
      g_hash_table_add (h->by_prefix, node);
      add_length (h, node->prefix_len);
      return;
    }
  first->last->next = node;
  first->last = node;
}

static const CatalogRoute *
find_method (const RouteNode *n, const char *method)
{
  while (n && n->route->method && strcmp (n->route->method, method) != 0)
    n = n->next;
  return n ? n->route : NULL;
}

const CatalogRoute *
route_index_match (const RouteIndex *index, const char *method, const char *host, const char *path)
{
  const HostRoutes *h = g_hash_table_lookup (index->hosts, host);
  CatalogRoute wanted = { .path_prefix = path };
  size_t path_len = strlen (path);

  for (guint i = 0; h && i < h->lengths->len; i++)
    {
      RouteNode key = { .route = &wanted, .prefix_len = g_array_index (h->lengths, size_t, i) };
      const CatalogRoute *found = NULL;

      if (key.prefix_len <= path_len)
        found = find_method (g_hash_table_lookup (h->by_prefix, &key), method);
      if (found)
        return found;
    }
  return NULL;
}

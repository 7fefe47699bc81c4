#include "prefix_cache.h"

#include <stdbool.h>
#include <stdint.h>

#include <xxhash.h>

void
prefix_cache_init (PrefixCache *cache, size_t capacity)
{
  cache->capacity = capacity;
  cache->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_init (&cache->lru);
}

static void
evict (PrefixCache *cache)
{
  while (g_hash_table_size (cache->by_hash) > cache->capacity)
    {
      gint64 *oldest = g_queue_pop_head (&cache->lru);

      g_hash_table_remove (cache->by_hash, oldest);
    }
}

size_t
prefix_cache_access (PrefixCache *cache, const char *prompt, size_t len)
{
  uint64_t hash = 0;
  size_t cached = 0;
  bool in_cached_prefix = true;

  for (size_t offset = 0; offset + PREFIX_CACHE_BLOCK_BYTES <= len;
       offset += PREFIX_CACHE_BLOCK_BYTES)
    {
      GList *link;

      hash = XXH64 (prompt + offset, PREFIX_CACHE_BLOCK_BYTES, hash);
      link = g_hash_table_lookup (cache->by_hash, &hash);
      if (link)
        {
          g_queue_unlink (&cache->lru, link);
          g_queue_push_tail_link (&cache->lru, link);
          cached += in_cached_prefix ? PREFIX_CACHE_BLOCK_BYTES : 0;
          continue;
        }
      in_cached_prefix = false;
      g_queue_push_tail (&cache->lru, g_memdup2 (&hash, sizeof hash));
      link = g_queue_peek_tail_link (&cache->lru);
      g_hash_table_insert (cache->by_hash, link->data, link);
    }
  evict (cache);
  return cached;
}

double
prefix_cache_usage (const PrefixCache *cache)
{
  return cache->capacity ? (double)g_hash_table_size (cache->by_hash) / (double)cache->capacity : 0;
}

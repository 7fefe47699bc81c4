/** @file
 * LRU prompt cache of the model engine stand-in. Prompts are split into blocks of 64 bytes; a block's key
 * is the hash of the prompt up to the end of the block. */
#pragma once

#include <stddef.h>

#include <glib.h>

#define PREFIX_CACHE_BLOCK_BYTES 64

typedef struct
{
  size_t capacity;     /* blocks */
  GHashTable *by_hash; /* hash of a block to its link in lru */
  GQueue lru;          /* least recently used first */
} PrefixCache;

void prefix_cache_init (PrefixCache *cache, size_t capacity);

/** Adds the prompt's blocks and marks them as recently used. @return length in bytes of the leading part
 * of the prompt that was cached already. */
size_t prefix_cache_access (PrefixCache *cache, const char *prompt, size_t len);

/** @return fraction of the capacity in use, 0 to 1. */
double prefix_cache_usage (const PrefixCache *cache);

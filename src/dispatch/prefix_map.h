/** @file
 * Which servers have recently processed which prompt parts, and thus have them in their prefix
 * caches, as far as this host knows. Bounded; the least recently used entry is evicted first. Lock
 * "dispatch". */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct PrefixMap PrefixMap;

/** @return a talloc object under @p ctx. */
PrefixMap *prefix_map_new (const void *ctx, size_t max_entries);

/** Records that @p server (a hash of its id) has processed the part. */
void prefix_map_add (PrefixMap *map, uint64_t part, uint64_t server, int64_t now_ms);

/** @return true if @p server is known to have processed the part at or after @p since_ms. */
bool prefix_map_has (const PrefixMap *map, uint64_t part, uint64_t server, int64_t since_ms);

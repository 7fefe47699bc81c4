/** @file
 * The regions in which a request may be served. A NULL pointer stands for "no restriction"; a set without regions
 * allows none. Immutable; any thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  bool
      unreadable; /* the configuration's value could not be read in full; names has what could be */
  size_t n;
  const char *const *names;
} RegionSet;

/** @return whether @p region, NULL if it is unknown, is certain to be allowed. */
bool region_set_allows (const RegionSet *set, const char *region);

/** @return whether @p set allows no region at all. */
bool region_set_is_empty (const RegionSet *set);

/** @return the regions that both sets allow: one of the sets, or a talloc object under @p ctx that refers to their
 * names. */
const RegionSet *region_set_intersect (const void *ctx, const RegionSet *a, const RegionSet *b);

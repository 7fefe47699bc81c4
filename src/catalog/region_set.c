#include "catalog/region_set.h"

#include <string.h>

#include <talloc.h>

bool
region_set_allows (const RegionSet *set, const char *region)
{
  if (!set)
    return true;
  for (size_t i = 0; region && i < set->n; i++)
    if (!strcmp (set->names[i], region))
      return true;
  return false;
}

bool
region_set_is_empty (const RegionSet *set)
{
  return set && set->n == 0;
}

const RegionSet *
region_set_intersect (const void *ctx, const RegionSet *a, const RegionSet *b)
{
  RegionSet *both;
  const char **names;

  if (!a || !b)
    return a ? a : b;
  both = talloc_zero (ctx, RegionSet);
  names = talloc_array (both, const char *, a->n + 1);
  both->unreadable = a->unreadable || b->unreadable;
  both->names = names;
  for (size_t i = 0; i < a->n; i++)
    if (region_set_allows (b, a->names[i]))
      names[both->n++] = a->names[i];
  return both;
}

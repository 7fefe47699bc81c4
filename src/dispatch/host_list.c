#include "dispatch/host_list.h"

#include <stdbool.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

typedef enum
{
  DISTANCE_DATA_CENTRE,
  DISTANCE_REGION,
  DISTANCE_REMOTE
} Distance;

typedef struct
{
  uint64_t hash; /* of the name */
  char *data_centre;
  char *region; /* NULL: unknown */
} KnownHost;

struct HostList
{
  uint64_t self_hash;
  KnownHost *hosts;
  size_t n;
  uint32_t version;
};

static uint64_t
hash_name (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

HostList *
host_list_new (const void *ctx, const char *self)
{
  HostList *l = talloc_zero (ctx, HostList);

  l->self_hash = hash_name (self);
  l->version = 1;
  return l;
}

void
host_list_set (HostList *l, const ListedHost *hosts, size_t n)
{
  talloc_free (l->hosts);
  l->hosts = talloc_zero_array (l, KnownHost, n + 1);
  l->n = n;
  l->version++;
  for (size_t i = 0; i < n; i++)
    l->hosts[i] = (KnownHost){ .hash = hash_name (hosts[i].name),
                               .data_centre = talloc_strdup (l->hosts, hosts[i].data_centre),
                               .region = talloc_strdup (l->hosts, hosts[i].region) };
}

int
host_list_count (const HostList *l)
{
  return (int)l->n;
}

uint32_t
host_list_version (const HostList *l)
{
  return l->version;
}

typedef struct
{
  Distance distance;
  uint64_t score;
} Position;

static Position
position_of (const KnownHost *h, const HostListServer *server)
{
  Position p
      = { .distance = DISTANCE_REMOTE, .score = XXH64 (&h->hash, sizeof h->hash, server->hash) };

  if (!strcmp (h->data_centre, server->data_centre))
    p.distance = DISTANCE_DATA_CENTRE;
  else if (server->region && h->region && !strcmp (h->region, server->region))
    p.distance = DISTANCE_REGION;
  return p;
}

static bool
is_before (const Position *a, const Position *b)
{
  return a->distance != b->distance ? a->distance < b->distance : a->score > b->score;
}

static const KnownHost *
find_self (const HostList *l)
{
  for (size_t i = 0; i < l->n; i++)
    if (l->hosts[i].hash == l->self_hash)
      return &l->hosts[i];
  return NULL;
}

int
host_list_rank (const HostList *l, const HostListServer *server)
{
  const KnownHost *self = find_self (l);
  Position own;
  int rank = 0;

  if (!self)
    return -1;
  own = position_of (self, server);
  for (size_t i = 0; i < l->n; i++)
    {
      Position p = position_of (&l->hosts[i], server);

      rank += &l->hosts[i] != self && is_before (&p, &own);
    }
  return rank;
}

#include "budget/coordinators.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

typedef struct
{
  char *name;
  uint64_t hash;
  uint64_t incarnation;
  int64_t avoid_until_ms;
} Candidate;

struct Coordinators
{
  char *self;
  bool left; /* this host keeps nothing any more */
  Candidate *list;
  size_t n;
};

static Candidate *
find (const Coordinators *k, const char *host)
{
  for (size_t i = 0; i < k->n; i++)
    if (!strcmp (k->list[i].name, host))
      return &k->list[i];
  return NULL;
}

static Candidate
candidate (const Coordinators *k, const void *ctx, const CoordinatorCandidate *host)
{
  const Candidate *before = find (k, host->name);
  Candidate c = { .name = talloc_strdup (ctx, host->name),
                  .hash = XXH64 (host->name, strlen (host->name), 0),
                  .incarnation = host->incarnation };

  if (before && before->incarnation == host->incarnation)
    c.avoid_until_ms = before->avoid_until_ms;
  return c;
}

void
coordinators_set_candidates (Coordinators *k, const CoordinatorCandidate *hosts, size_t n)
{
  Candidate *list = talloc_array (k, Candidate, n + 1);
  bool self = false;
  size_t kept = 0;

  for (size_t i = 0; i < n; i++)
    {
      self |= !strcmp (hosts[i].name, k->self);
      list[kept++] = candidate (k, list, &hosts[i]);
    }
  if (!self)
    list[kept++] = candidate (k, list, &(CoordinatorCandidate){ k->self, 0 });
  talloc_free (k->list);
  k->list = list;
  k->n = kept;
}

Coordinators *
coordinators_new (const void *ctx, const char *self)
{
  Coordinators *k = talloc_zero (ctx, Coordinators);

  k->self = talloc_strdup (k, self);
  return k;
}

bool
coordinators_has_candidates (const Coordinators *k)
{
  return k->list != NULL;
}

void
coordinators_skip (Coordinators *k, const char *host, int64_t until_ms)
{
  Candidate *c = find (k, host);

  if (c && strcmp (host, k->self) != 0)
    c->avoid_until_ms = until_ms;
}

void
coordinators_exclude_self (Coordinators *k)
{
  k->left = true;
}

void
coordinators_each_peer (const Coordinators *k, void (*fn) (void *data, const char *host),
                        void *data)
{
  for (size_t i = 0; i < k->n; i++)
    if (strcmp (k->list[i].name, k->self) != 0)
      fn (data, k->list[i].name);
}

static bool
is_passed_over (const Coordinators *k, const Candidate *c, int64_t now_ms)
{
  return now_ms < c->avoid_until_ms || (k->left && !strcmp (c->name, k->self));
}

/* The candidate with the highest score below that of the rank before. */
const char *
coordinators_find (const Coordinators *k, const char *account, unsigned rank, int64_t now_ms)
{
  uint64_t seed = XXH64 (account, strlen (account), 1);
  uint64_t below = UINT64_MAX;
  const Candidate *best = NULL;

  for (unsigned r = 0; r <= rank; r++)
    {
      uint64_t best_score = 0;

      best = NULL;
      for (size_t i = 0; i < k->n; i++)
        {
          const Candidate *c = &k->list[i];
          uint64_t score = XXH64 (&c->hash, sizeof c->hash, seed);

          if (score >= below || is_passed_over (k, c, now_ms) || (best && score <= best_score))
            continue;
          best = c;
          best_score = score;
        }
      if (!best)
        return NULL;
      below = best_score;
    }
  return best->name;
}

bool
coordinators_is_preferred (const Coordinators *k, const char *account)
{
  return coordinators_is_acting (k, account, INT64_MAX);
}

bool
coordinators_is_this_host (const Coordinators *k, const char *host)
{
  return !strcmp (host, k->self);
}

bool
coordinators_is_acting (const Coordinators *k, const char *account, int64_t now_ms)
{
  const char *keeper = coordinators_find (k, account, 0, now_ms);

  return keeper && coordinators_is_this_host (k, keeper);
}

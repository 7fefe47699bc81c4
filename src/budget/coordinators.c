#include "budget/coordinators.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

typedef struct
{
  char *name;
  uint64_t hash;
  uint64_t incarnation;
  int64_t skip_until_ms;
} Candidate;

struct Coordinators
{
  char *self;
  bool self_excluded;
  Candidate *candidates;
  size_t n;
};

static Candidate *
find_candidate (const Coordinators *cs, const char *host)
{
  for (size_t i = 0; i < cs->n; i++)
    if (!strcmp (cs->candidates[i].name, host))
      return &cs->candidates[i];
  return NULL;
}

static Candidate
make_candidate (const Coordinators *cs, const void *ctx, const CoordinatorCandidate *host)
{
  const Candidate *previous = find_candidate (cs, host->name);
  Candidate c = { .name = talloc_strdup (ctx, host->name),
                  .hash = XXH64 (host->name, strlen (host->name), 0),
                  .incarnation = host->incarnation };

  if (previous && previous->incarnation == host->incarnation)
    c.skip_until_ms = previous->skip_until_ms;
  return c;
}

void
coordinators_set_candidates (Coordinators *cs, const CoordinatorCandidate *hosts, size_t n)
{
  Candidate *candidates = talloc_array (cs, Candidate, n + 1);
  bool has_self = false;
  size_t n_candidates = 0;

  for (size_t i = 0; i < n; i++)
    {
      has_self |= !strcmp (hosts[i].name, cs->self);
      candidates[n_candidates++] = make_candidate (cs, candidates, &hosts[i]);
    }
  if (!has_self)
    candidates[n_candidates++]
        = make_candidate (cs, candidates, &(CoordinatorCandidate){ cs->self, 0 });
  talloc_free (cs->candidates);
  cs->candidates = candidates;
  cs->n = n_candidates;
}

Coordinators *
coordinators_new (const void *ctx, const char *self)
{
  Coordinators *cs = talloc_zero (ctx, Coordinators);

  cs->self = talloc_strdup (cs, self);
  return cs;
}

bool
coordinators_has_candidates (const Coordinators *cs)
{
  return cs->candidates != NULL;
}

void
coordinators_skip (Coordinators *cs, const char *host, int64_t until_ms)
{
  Candidate *c = find_candidate (cs, host);

  if (c && strcmp (host, cs->self) != 0)
    c->skip_until_ms = until_ms;
}

void
coordinators_exclude_self (Coordinators *cs)
{
  cs->self_excluded = true;
}

void
coordinators_each_peer (const Coordinators *cs, void (*fn) (void *data, const char *host),
                        void *data)
{
  for (size_t i = 0; i < cs->n; i++)
    if (strcmp (cs->candidates[i].name, cs->self) != 0)
      fn (data, cs->candidates[i].name);
}

static bool
is_skipped (const Coordinators *cs, const Candidate *c, int64_t now_ms)
{
  return now_ms < c->skip_until_ms || (cs->self_excluded && !strcmp (c->name, cs->self));
}

/* Rendezvous hashing: each rank selects the candidate with the highest score below that of the previous rank. */
const char *
coordinators_find (const Coordinators *cs, const char *account, unsigned rank, int64_t now_ms)
{
  uint64_t seed = XXH64 (account, strlen (account), 1);
  uint64_t previous_score = UINT64_MAX;
  const Candidate *best = NULL;

  for (unsigned r = 0; r <= rank; r++)
    {
      uint64_t best_score = 0;

      best = NULL;
      for (size_t i = 0; i < cs->n; i++)
        {
          const Candidate *c = &cs->candidates[i];
          uint64_t score = XXH64 (&c->hash, sizeof c->hash, seed);

          if (score >= previous_score || is_skipped (cs, c, now_ms)
              || (best && score <= best_score))
            continue;
          best = c;
          best_score = score;
        }
      if (!best)
        return NULL;
      previous_score = best_score;
    }
  return best->name;
}

bool
coordinators_is_preferred (const Coordinators *cs, const char *account)
{
  return coordinators_is_acting (cs, account, INT64_MAX);
}

bool
coordinators_is_this_host (const Coordinators *cs, const char *host)
{
  return !strcmp (host, cs->self);
}

bool
coordinators_is_acting (const Coordinators *cs, const char *account, int64_t now_ms)
{
  const char *coordinator = coordinators_find (cs, account, 0, now_ms);

  return coordinator && coordinators_is_this_host (cs, coordinator);
}

#include "reach/reach_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "core/log.h"

/* A helper that can't be reached, or refuses, is not asked for this long, doubled with each time in a row. */
#define HELPER_SKIP_MS     1000
#define MAX_SKIP_DOUBLINGS 3

/* Of a data centre with this many helpers that are skipped, the others are asked last: it may be cut off as a whole. */
#define DOUBTED_AFTER_SKIPPED 2

static uint64_t
hash_text (const char *text, uint64_t seed)
{
  return XXH64 (text, strlen (text), seed);
}

static bool
contains (const uint64_t *hashes, size_t n, uint64_t hash)
{
  while (n > 0)
    if (hashes[--n] == hash)
      return true;
  return false;
}

static void
count_skipped (Reach *r, int64_t now)
{
  for (size_t i = 0; i < r->n_helpers; i++)
    r->helpers[i].n_skipped = 0;
  for (size_t i = 0; i < r->n_helpers; i++)
    r->helpers[r->helpers[i].data_centre].n_skipped += now < r->helpers[i].skip_until_ms;
}

/* @return the rank of a helper, the lowest first: the distance; behind all distances, data centres that may be cut off; behind these,
 * for a check, those in which another one has tried the server in vain. */
static int
rank_of (const Reach *r, const Helper *h, const KnownServer *check)
{
  int rank = (int)h->distance;

  if (r->helpers[h->data_centre].n_skipped >= DOUBTED_AFTER_SKIPPED)
    rank += REACH_REMOTE + 1;
  if (check && contains (check->in_vain, check->n_in_vain, h->data_centre_hash))
    rank += 2 * (REACH_REMOTE + 1);
  return rank;
}

/* Rendezvous hash over this host, the server and the helper, among the nearest: no host becomes everybody's helper, and requests
 * to one server share connections. */
static Helper *
choose_helper (Reach *r, const KnownServer *s, bool for_check, const RegionSet *regions,
               int64_t now)
{
  uint64_t seed = hash_text (s->address, hash_text (r->host, 0));
  const KnownServer *check = for_check ? s : NULL;
  Helper *best = NULL;
  uint64_t best_hash = 0;
  int best_rank = 0;

  count_skipped (r, now);
  for (size_t i = 0; i < r->n_helpers; i++)
    {
      Helper *h = &r->helpers[i];
      uint64_t hash = hash_text (h->name, seed);
      int rank = rank_of (r, h, check);

      if (!region_set_allows (regions, h->region))
        continue;
      if (now < h->skip_until_ms || (check && contains (s->asked, s->n_asked, h->name_hash)))
        continue;
      if (best && (rank > best_rank || (rank == best_rank && hash < best_hash)))
        continue;
      best = h;
      best_hash = hash;
      best_rank = rank;
    }
  return best;
}

Helper *
reach_find_helper (Reach *r, const char *address)
{
  for (size_t i = 0; i < r->n_helpers; i++)
    if (!strcmp (r->helpers[i].address, address))
      return &r->helpers[i];
  return NULL;
}

/* Not every helper reaches the server: one that has connected to it is asked first. */
static const Helper *
proved_helper (Reach *r, const KnownServer *s, const RegionSet *regions, int64_t now)
{
  const Helper *h = s->cut_off ? reach_find_helper (r, s->helper) : NULL;

  return h && now >= h->skip_until_ms && region_set_allows (regions, h->region) ? h : NULL;
}

static bool
set_helper (Reach *r, const Helper *h, ReachRoute *route)
{
  if (!h)
    return false;
  counter_add (r->over_helpers, 1);
  snprintf (route->helper, sizeof route->helper, "%s", h->address);
  return true;
}

bool
reach_set_helper (Reach *r, const KnownServer *s, const RegionSet *regions, ReachRoute *route,
                  int64_t now)
{
  const Helper *h = proved_helper (r, s, regions, now);

  return set_helper (r, h ? h : choose_helper (r, s, false, regions, now), route);
}

bool
reach_set_check_helper (Reach *r, const KnownServer *s, ReachRoute *route, int64_t now)
{
  return set_helper (r, choose_helper (r, s, true, NULL, now), route);
}

void
reach_note_helper (Reach *r, const char *address, ReachResult result, int64_t now)
{
  Helper *h = reach_find_helper (r, address);
  int64_t ms;

  if (result == REACH_NO_CONNECTION || result == REACH_HELPER_REFUSES)
    counter_add (r->helper_failures, 1);
  if (!h)
    return;
  if (result == REACH_CONNECTED)
    h->failures = 0;
  if (result == REACH_CONNECTED || result == REACH_SERVER_UNREACHABLE || now < h->skip_until_ms)
    return;
  ms = (int64_t)HELPER_SKIP_MS << MIN (h->failures, MAX_SKIP_DOUBLINGS);
  h->failures++;
  h->skip_until_ms = now + ms;
  log_event (LOG_LEVEL_NOTICE, "reach", "helper_skipped", "helper=%s reason=%s ms=%" PRId64,
             h->name, result == REACH_NO_CONNECTION ? "silent" : "refuses", ms);
}

static size_t
first_of_data_centre (const ReachHelper *helpers, size_t i)
{
  size_t first = 0;

  while (strcmp (helpers[first].data_centre, helpers[i].data_centre) != 0)
    first++;
  return first;
}

/* A helper that stays in the list stays skipped. */
void
reach_set_helpers (Reach *r, const ReachHelper *helpers, size_t n)
{
  Helper *list = talloc_zero_array (r, Helper, n + 1);

  pthread_mutex_lock (&r->lock);
  for (size_t i = 0; i < n; i++)
    {
      const Helper *known = reach_find_helper (r, helpers[i].address);

      list[i] = (Helper){ .name = talloc_strdup (list, helpers[i].name),
                          .address = talloc_strdup (list, helpers[i].address),
                          .region = talloc_strdup (list, helpers[i].region),
                          .distance = helpers[i].distance,
                          .name_hash = hash_text (helpers[i].name, 0),
                          .data_centre_hash = hash_text (helpers[i].data_centre, 0),
                          .failures = known ? known->failures : 0,
                          .skip_until_ms = known ? known->skip_until_ms : 0,
                          .data_centre = first_of_data_centre (helpers, i) };
    }
  talloc_free (r->helpers);
  r->helpers = list;
  r->n_helpers = n;
  reach_forget_unused (r);
  pthread_mutex_unlock (&r->lock);
}

#include "reach/reach.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>
#include <xxhash.h>

#include "core/counter.h"
#include "core/log.h"

/* Servers that only other hosts could connect to within this time show that it is this host that is cut off. */
#define EVIDENCE_MS      5000
#define EVIDENCE_SERVERS 2

/* A helper that can't be reached, or refuses, is not asked for this long, doubled with each time in a row. */
#define HELPER_SKIP_MS     1000
#define MAX_SKIP_DOUBLINGS 3

/* Of a data centre with this many helpers that are skipped, the others are asked last: it may be cut off as a whole. */
#define DOUBTED_AFTER_SKIPPED 2

/* A server that all helpers, or this many, have tried in vain is down; for so long no check of it begins. Whole data centres may be
 * cut off without knowing it yet, so that one of each is asked first. */
#define MAX_HELPERS_ASKED 8
#define DOWN_MS           2000

/* Between two direct probes, of any servers, while the last one failed. */
#define TRIAL_INTERVAL_MS 400

/* After this many direct probes in a row that succeeded, all servers are asked directly again. */
#define TRIALS_TO_CLEAR 3

/* What is known of a server that nobody asks is forgotten. */
#define FORGET_MS 120000

typedef enum
{
  CHECK_NONE,
  CHECK_WANTED,
  CHECK_RUNNING
} CheckState;

typedef struct
{
  char address[REACH_ADDRESS_BYTES];
  int64_t used_ms;
  int64_t failed_ms;  /* first direct connection that failed; 0: none since one that succeeded */
  bool cut_off;       /* a helper has connected after a direct connection had failed */
  int64_t cut_off_ms; /* when that was last seen */
  char helper[REACH_ADDRESS_BYTES]; /* address of that helper */
  int64_t down_until_ms;            /* helpers could not connect either */
  /* The check over helpers that a failed direct connection gives rise to. */
  CheckState check;
  uint64_t asked[MAX_HELPERS_ASKED];   /* hashes of the names of the helpers that were asked */
  uint64_t in_vain[MAX_HELPERS_ASKED]; /* hashes of the data centres of those that have tried */
  size_t n_asked;
  size_t n_in_vain;
} KnownServer;

typedef struct
{
  char *name;
  char *address;
  ReachDistance distance;
  uint64_t name_hash;
  uint64_t data_centre_hash;
  size_t data_centre; /* index of the first helper of the same one */
  int failures;       /* in a row */
  int64_t skip_until_ms;
  size_t n_skipped; /* of its data centre, if it is the first one; of the latest choice */
} Helper;

struct Reach
{
  pthread_mutex_t lock; /* "reach" */
  ReachOptions options;
  char *host;
  GHashTable *servers; /* KnownServer by address */
  Helper *helpers;
  size_t n_helpers;
  size_t n_cut_off;
  size_t n_wanted;  /* checks */
  int64_t heard_ms; /* last answer of any server on a direct connection; 0: never */
  /* First failed direct connection of the servers that are cut off; 0: none is. */
  int64_t cut_since_ms;
  int64_t next_trial_ms;
  int trials_succeeded; /* in a row */
  uint64_t trials;
  Counter *lost;
  Counter *regained;
  Counter *over_helpers;
  Counter *helper_failures;
  Counter *cut_off_gauge;
};

/* --- Servers ----------------------------------------------------------------------------- */

static KnownServer *
get_server (Reach *r, const char *address, int64_t now)
{
  KnownServer *s = g_hash_table_lookup (r->servers, address);

  if (!s)
    {
      s = g_new0 (KnownServer, 1);
      snprintf (s->address, sizeof s->address, "%s", address);
      g_hash_table_insert (r->servers, s->address, s);
    }
  s->used_ms = now;
  return s;
}

static void
clear_cut_off (Reach *r, KnownServer *s, const char *evidence)
{
  s->failed_ms = 0;
  if (!s->cut_off)
    return;
  s->cut_off = false;
  r->n_cut_off--;
  if (r->n_cut_off == 0)
    r->cut_since_ms = 0;
  counter_add (r->regained, 1);
  counter_set (r->cut_off_gauge, (int64_t)r->n_cut_off);
  log_event (LOG_LEVEL_NOTICE, "reach", "regained", "address=%s evidence=%s cut_off=%zu",
             s->address, evidence, r->n_cut_off);
}

static void
mark_cut_off (Reach *r, KnownServer *s, const char *helper, int64_t now)
{
  int64_t failed_ms = s->failed_ms > 0 ? s->failed_ms : now;

  s->cut_off_ms = now;
  s->down_until_ms = 0;
  snprintf (s->helper, sizeof s->helper, "%s", helper);
  if (s->cut_off)
    return;
  s->cut_off = true;
  r->n_cut_off++;
  if (r->cut_since_ms == 0 || failed_ms < r->cut_since_ms)
    r->cut_since_ms = failed_ms;
  if (r->next_trial_ms < now + TRIAL_INTERVAL_MS)
    r->next_trial_ms = now + TRIAL_INTERVAL_MS;
  r->trials_succeeded = 0;
  counter_add (r->lost, 1);
  counter_set (r->cut_off_gauge, (int64_t)r->n_cut_off);
  log_event (LOG_LEVEL_NOTICE, "reach", "lost",
             "address=%s helper=%s failed_ago_ms=%" PRId64 " heard_ago_ms=%" PRId64 " cut_off=%zu",
             s->address, helper, now - failed_ms, r->heard_ms > 0 ? now - r->heard_ms : -1,
             r->n_cut_off);
}

/* @return whether it is so likely that this host is cut off from all servers that the others are asked over helpers at once,
 * without a direct connection that fails first. */
static bool
is_suspected (const Reach *r, int64_t now)
{
  size_t n = 0;
  GHashTableIter iter;
  gpointer value;

  if (r->n_cut_off < EVIDENCE_SERVERS || r->heard_ms >= r->cut_since_ms)
    return false;
  g_hash_table_iter_init (&iter, r->servers);
  while (n < EVIDENCE_SERVERS && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const KnownServer *s = value;

      n += s->cut_off && now - s->cut_off_ms < EVIDENCE_MS;
    }
  return n >= EVIDENCE_SERVERS;
}

/* --- Helpers ----------------------------------------------------------------------------- */

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
choose_helper (Reach *r, const KnownServer *s, bool for_check, int64_t now)
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

static Helper *
find_helper (Reach *r, const char *address)
{
  for (size_t i = 0; i < r->n_helpers; i++)
    if (!strcmp (r->helpers[i].address, address))
      return &r->helpers[i];
  return NULL;
}

/* Not every helper reaches the server: one that has connected to it is asked first. */
static const Helper *
proved_helper (Reach *r, const KnownServer *s, int64_t now)
{
  const Helper *h = s->cut_off ? find_helper (r, s->helper) : NULL;

  return h && now >= h->skip_until_ms ? h : NULL;
}

static bool
set_helper (Reach *r, const KnownServer *s, bool for_check, ReachRoute *route, int64_t now)
{
  const Helper *h = for_check ? NULL : proved_helper (r, s, now);

  if (!h)
    h = choose_helper (r, s, for_check, now);
  if (!h)
    return false;
  counter_add (r->over_helpers, 1);
  snprintf (route->helper, sizeof route->helper, "%s", h->address);
  return true;
}

static void
note_helper_result (Reach *r, const char *address, ReachResult result, int64_t now)
{
  Helper *h = find_helper (r, address);
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

/* --- Routes ------------------------------------------------------------------------------ */

static ReachRoute
direct_route (const char *address)
{
  ReachRoute route = { .server = "" };

  snprintf (route.server, sizeof route.server, "%s", address);
  return route;
}

ReachRoute
reach_choose (Reach *r, const char *address, int64_t now)
{
  ReachRoute route = direct_route (address);
  KnownServer *s;

  pthread_mutex_lock (&r->lock);
  s = get_server (r, route.server, now);
  if (s->cut_off || is_suspected (r, now))
    set_helper (r, s, false, &route, now);
  pthread_mutex_unlock (&r->lock);
  return route;
}

void
reach_answered (Reach *r, const ReachRoute *route, bool is_new, int64_t now)
{
  KnownServer *s;

  pthread_mutex_lock (&r->lock);
  s = get_server (r, route->server, now);
  s->down_until_ms = 0;
  if (!route->helper[0])
    {
      r->heard_ms = now;
      if (is_new)
        clear_cut_off (r, s, "answer");
    }
  else
    {
      note_helper_result (r, route->helper, REACH_CONNECTED, now);
      if (s->cut_off || is_suspected (r, now))
        mark_cut_off (r, s, route->helper, now);
    }
  pthread_mutex_unlock (&r->lock);
}

/* @return true if a check is wanted now that was not before. */
static bool
want_check (Reach *r, KnownServer *s, int64_t now)
{
  s->failed_ms = s->failed_ms > 0 ? s->failed_ms : now;
  if (s->cut_off || s->check != CHECK_NONE || now < s->down_until_ms)
    return false;
  s->check = CHECK_WANTED;
  s->n_asked = 0;
  s->n_in_vain = 0;
  r->n_wanted++;
  return true;
}

void
reach_failed (Reach *r, const ReachRoute *route, ReachResult result, int64_t now)
{
  KnownServer *s;
  bool wanted = false;

  pthread_mutex_lock (&r->lock);
  s = get_server (r, route->server, now);
  if (route->helper[0])
    note_helper_result (r, route->helper, result, now);
  /* The helper does not reach it, or it is down: other helpers tell. */
  if (route->helper[0] && result == REACH_SERVER_UNREACHABLE)
    clear_cut_off (r, s, "none");
  if (!route->helper[0] || result == REACH_SERVER_UNREACHABLE)
    wanted = want_check (r, s, now);
  pthread_mutex_unlock (&r->lock);
  if (wanted && r->options.probe_wanted)
    r->options.probe_wanted (r->options.data);
}

ReachView
reach_view (Reach *r, const char *address, int64_t now)
{
  const KnownServer *s;
  ReachView view = REACH_VIEW_DIRECT;

  pthread_mutex_lock (&r->lock);
  s = get_server (r, address, now);
  if (s->cut_off)
    view = REACH_VIEW_CUT_OFF;
  if (is_suspected (r, now))
    view = REACH_VIEW_CUT_OFF_ALL;
  pthread_mutex_unlock (&r->lock);
  return view;
}

/* --- Probes ------------------------------------------------------------------------------ */

static void
end_check (Reach *r, KnownServer *s)
{
  r->n_wanted -= s->check == CHECK_WANTED;
  s->check = CHECK_NONE;
}

static bool
next_check (Reach *r, ReachRoute *route, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (r->n_wanted == 0)
    return false;
  g_hash_table_iter_init (&iter, r->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      KnownServer *s = value;

      if (s->check != CHECK_WANTED)
        continue;
      end_check (r, s);
      *route = direct_route (s->address);
      if (s->n_asked == MAX_HELPERS_ASKED || !set_helper (r, s, true, route, now))
        {
          s->down_until_ms = s->n_in_vain > 0 ? now + DOWN_MS : 0;
          continue;
        }
      s->check = CHECK_RUNNING;
      return true;
    }
  return false;
}

/* Each of the servers that are cut off in turn. */
static bool
next_trial (Reach *r, ReachRoute *route, int64_t now)
{
  size_t skip = r->n_cut_off > 0 ? r->trials % r->n_cut_off : 0;
  GHashTableIter iter;
  gpointer value;

  if (r->n_cut_off == 0 || now < r->next_trial_ms)
    return false;
  r->trials++;
  r->next_trial_ms = now + TRIAL_INTERVAL_MS;
  g_hash_table_iter_init (&iter, r->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((KnownServer *)value)->cut_off && skip-- == 0)
      {
        *route = direct_route (((KnownServer *)value)->address);
        return true;
      }
  return false;
}

bool
reach_next_probe (Reach *r, ReachRoute *route, int64_t now)
{
  bool wanted;

  pthread_mutex_lock (&r->lock);
  wanted = next_check (r, route, now) || next_trial (r, route, now);
  pthread_mutex_unlock (&r->lock);
  return wanted;
}

static void
clear_all (Reach *r)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    clear_cut_off (r, value, "probes");
}

static void
note_trial (Reach *r, KnownServer *s, ReachResult result, int64_t now)
{
  if (result != REACH_CONNECTED)
    {
      /* Still cut off, as far as a direct connection shows. */
      s->cut_off_ms = now;
      r->trials_succeeded = 0;
      return;
    }
  clear_cut_off (r, s, "probe");
  r->next_trial_ms = now;
  if (++r->trials_succeeded >= TRIALS_TO_CLEAR)
    clear_all (r);
}

static void
note_check (Reach *r, KnownServer *s, const ReachRoute *route, ReachResult result, int64_t now)
{
  const Helper *h;

  end_check (r, s);
  note_helper_result (r, route->helper, result, now);
  if (result == REACH_CONNECTED)
    {
      mark_cut_off (r, s, route->helper, now);
      return;
    }
  h = find_helper (r, route->helper);
  if (h && s->n_asked < MAX_HELPERS_ASKED)
    s->asked[s->n_asked++] = h->name_hash;
  if (h && result == REACH_SERVER_UNREACHABLE && s->n_in_vain < MAX_HELPERS_ASKED)
    s->in_vain[s->n_in_vain++] = h->data_centre_hash;
  s->check = CHECK_WANTED;
  r->n_wanted++;
}

void
reach_probed (Reach *r, const ReachRoute *route, ReachResult result, int64_t now)
{
  KnownServer *s;

  pthread_mutex_lock (&r->lock);
  s = get_server (r, route->server, now);
  if (route->helper[0])
    note_check (r, s, route, result, now);
  else
    note_trial (r, s, result, now);
  pthread_mutex_unlock (&r->lock);
}

size_t
reach_n_cut_off (Reach *r)
{
  size_t n;

  pthread_mutex_lock (&r->lock);
  n = r->n_cut_off;
  pthread_mutex_unlock (&r->lock);
  return n;
}

/* --- Set-up ------------------------------------------------------------------------------ */

static void
forget_unused (Reach *r)
{
  int64_t newest_ms = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    newest_ms = MAX (newest_ms, ((KnownServer *)value)->used_ms);
  g_hash_table_iter_init (&iter, r->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      KnownServer *s = value;

      if (newest_ms - s->used_ms < FORGET_MS || s->check != CHECK_NONE)
        continue;
      clear_cut_off (r, s, "unused");
      g_hash_table_iter_remove (&iter);
    }
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
      const Helper *known = find_helper (r, helpers[i].address);

      list[i] = (Helper){ .name = talloc_strdup (list, helpers[i].name),
                          .address = talloc_strdup (list, helpers[i].address),
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
  forget_unused (r);
  pthread_mutex_unlock (&r->lock);
}

static int
reach_destroy (Reach *r)
{
  g_hash_table_unref (r->servers);
  pthread_mutex_destroy (&r->lock);
  return 0;
}

Reach *
reach_new (const void *ctx, const ReachOptions *options)
{
  Reach *r = talloc_zero (ctx, Reach);

  pthread_mutex_init (&r->lock, NULL);
  r->options = *options;
  r->host = talloc_strdup (r, options->host);
  r->servers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  r->lost = counter_get ("pond_reach_lost_total", "",
                         "Servers that only other hosts could still connect to.");
  r->regained
      = counter_get ("pond_reach_regained_total", "", "Such servers that are reached again.");
  r->over_helpers = counter_get ("pond_reach_over_helpers_total", "",
                                 "Tries to reach a server over another host.");
  r->helper_failures = counter_get ("pond_reach_helper_failures_total", "",
                                    "Other hosts that could not be reached, or refused.");
  r->cut_off_gauge = gauge_get ("pond_reach_cut_off_servers", "",
                                "Servers that are reached over other hosts only.");
  talloc_set_destructor (r, reach_destroy);
  return r;
}

#include <inttypes.h>
#include <stdlib.h>

#include <talloc.h>

#include "core/log.h"
#include "dispatch/dispatch_impl.h"

/* Of one statement; a service has a few dozen servers and more. */
#define USUAL_WEIGHT 0.05

/* --- Servers by their keys ---------------------------------------------------------------- */

void
load_picture_init (Dispatch *d)
{
  static const char *const LABELS[N_LOAD_IGNORED]
      = { "reason=\"older\"", "reason=\"contradictory\"", "reason=\"unknown_server\"" };

  d->servers_by_key = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (int i = 0; i < N_LOAD_IGNORED; i++)
    d->loads_ignored[i] = counter_get ("pond_server_loads_ignored_total", LABELS[i],
                                       "Load figures of servers that were not used.");
}

/* Of two servers with one key neither is looked up: the figures could be those of the other one. */
void
load_picture_add (Dispatch *d, Server *s)
{
  gpointer key = GUINT_TO_POINTER (s->key);

  g_hash_table_insert (d->servers_by_key, key,
                       g_hash_table_contains (d->servers_by_key, key) ? NULL : s);
}

void
load_picture_remove (Dispatch *d, const Server *s)
{
  gpointer key = GUINT_TO_POINTER (s->key);

  if (g_hash_table_lookup (d->servers_by_key, key) == s)
    g_hash_table_remove (d->servers_by_key, key);
}

/* --- Figures ------------------------------------------------------------------------------ */

static void
count_ignored (Dispatch *d, const Server *s, LoadVerdict verdict, const LoadFigures *f, bool heard)
{
  if (verdict == LOAD_OLDER)
    counter_add (d->loads_ignored[LOAD_IGNORED_OLDER], 1);
  if (verdict != LOAD_CONTRADICTORY)
    return;
  counter_add (d->loads_ignored[LOAD_IGNORED_CONTRADICTORY], 1);
  log_event (LOG_LEVEL_DEBUG, "dispatch", "load_contradictory",
             "server=%s running=%d waiting=%d slots=%d pace=%d age_ms=%" PRId64 " source=%s", s->id,
             f->running, f->waiting, s->slots, f->pace_percent, f->age_ms,
             heard ? "host" : "answer");
}

void
load_picture_report (Dispatch *d, Server *s, const LoadFigures *f, bool heard, int64_t now_ms)
{
  ServerPool *p = server_pool_get (d, s->service);
  LoadVerdict verdict = server_report_load (s, f, heard, now_ms);

  count_ignored (d, s, verdict, f, heard);
  if (verdict != LOAD_APPLIED)
    return;
  p->usual_others += USUAL_WEIGHT * (s->other_requests - p->usual_others);
  s->usual_others = p->usual_others;
}

void
dispatch_loads_heard (Dispatch *d, const SharedLoad *loads, size_t n, int64_t now_ms)
{
  pthread_mutex_lock (&d->lock);
  for (size_t i = 0; i < n; i++)
    {
      Server *s = g_hash_table_lookup (d->servers_by_key, GUINT_TO_POINTER (loads[i].key));

      if (s)
        load_picture_report (d, s, &loads[i].figures, true, now_ms);
      else
        counter_add (d->loads_ignored[LOAD_IGNORED_UNKNOWN], 1);
    }
  pthread_mutex_unlock (&d->lock);
}

static bool
is_to_be_told (const Server *s, int64_t since_ms, bool heard_too, int64_t now_ms)
{
  return s->load.learned_ms >= since_ms && (heard_too || !s->load.heard)
         && server_load_weight (&s->load, now_ms) > 0;
}

static int
compare_age (const void *a, const void *b)
{
  const SharedLoad *x = a;
  const SharedLoad *y = b;

  return (x->figures.age_ms > y->figures.age_ms) - (x->figures.age_ms < y->figures.age_ms);
}

static SharedLoad
shared_load (const Server *s, int64_t now_ms)
{
  const ServerLoad *l = &s->load;
  int64_t age = now_ms - l->observed_ms;

  return (SharedLoad){ .key = s->key,
                       .figures = { .running = l->running,
                                    .waiting = l->waiting,
                                    .pace_percent = (int)(l->pace * 100 + 0.5),
                                    .age_ms = age > 0 ? age : 0 } };
}

size_t
dispatch_loads_since (Dispatch *d, int64_t since_ms, bool heard_too, SharedLoad *loads, size_t max,
                      int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  SharedLoad *all;
  size_t n = 0;

  pthread_mutex_lock (&d->lock);
  all = talloc_array (NULL, SharedLoad, g_hash_table_size (d->servers) + 1);
  g_hash_table_iter_init (&iter, d->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_to_be_told (value, since_ms, heard_too, now_ms))
      all[n++] = shared_load (value, now_ms);
  pthread_mutex_unlock (&d->lock);
  if (n > max)
    {
      qsort (all, n, sizeof *all, compare_age);
      n = max;
    }
  for (size_t i = 0; i < n; i++)
    loads[i] = all[i];
  talloc_free (all);
  return n;
}

#include "reach/reach_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "core/log.h"

/* Servers that only other hosts could connect to within this time show that it is this host that is cut off. */
#define EVIDENCE_MS      5000
#define EVIDENCE_SERVERS 2

/* What is known of a server that nobody asks is forgotten. */
#define FORGET_MS 120000

/* --- Servers ----------------------------------------------------------------------------- */

KnownServer *
reach_server (Reach *r, const char *address, int64_t now)
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

void
reach_clear_cut_off (Reach *r, KnownServer *s, const char *evidence)
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

void
reach_mark_cut_off (Reach *r, KnownServer *s, const char *helper, int64_t now)
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

/* --- Routes ------------------------------------------------------------------------------ */

ReachRoute
reach_direct_route (const char *address)
{
  ReachRoute route = { .server = "" };

  snprintf (route.server, sizeof route.server, "%s", address);
  return route;
}

ReachRoute
reach_choose (Reach *r, const char *address, const RegionSet *regions, int64_t now)
{
  ReachRoute route = reach_direct_route (address);
  KnownServer *s;

  pthread_mutex_lock (&r->lock);
  s = reach_server (r, route.server, now);
  if (s->cut_off || is_suspected (r, now))
    reach_set_helper (r, s, regions, &route, now);
  pthread_mutex_unlock (&r->lock);
  return route;
}

void
reach_answered (Reach *r, const ReachRoute *route, bool is_new, int64_t now)
{
  KnownServer *s;

  pthread_mutex_lock (&r->lock);
  s = reach_server (r, route->server, now);
  s->down_until_ms = 0;
  if (!route->helper[0])
    {
      r->heard_ms = now;
      if (is_new)
        reach_clear_cut_off (r, s, "answer");
    }
  else
    {
      reach_note_helper (r, route->helper, REACH_CONNECTED, now);
      if (s->cut_off || is_suspected (r, now))
        reach_mark_cut_off (r, s, route->helper, now);
    }
  pthread_mutex_unlock (&r->lock);
}

void
reach_failed (Reach *r, const ReachRoute *route, ReachResult result, int64_t now)
{
  KnownServer *s;
  bool wanted = false;

  pthread_mutex_lock (&r->lock);
  s = reach_server (r, route->server, now);
  if (route->helper[0])
    reach_note_helper (r, route->helper, result, now);
  /* The helper does not reach it, or it is down: other helpers tell. */
  if (route->helper[0] && result == REACH_SERVER_UNREACHABLE)
    reach_clear_cut_off (r, s, "none");
  if (!route->helper[0] || result == REACH_SERVER_UNREACHABLE)
    wanted = reach_want_check (r, s, now);
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
  s = reach_server (r, address, now);
  if (s->cut_off)
    view = REACH_VIEW_CUT_OFF;
  if (is_suspected (r, now))
    view = REACH_VIEW_CUT_OFF_ALL;
  pthread_mutex_unlock (&r->lock);
  return view;
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

void
reach_forget_unused (Reach *r)
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
      reach_clear_cut_off (r, s, "unused");
      g_hash_table_iter_remove (&iter);
    }
}

/* --- Set-up ------------------------------------------------------------------------------ */

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

#include "reach/reach_impl.h"

#include <stdio.h>
#include <string.h>

/* A server that all helpers, or this many, have tried in vain is down; for so long no check of it begins. Whole data centres may be
 * cut off without knowing it yet, so that one of each is asked first. */
#define DOWN_MS 2000

/* After this many direct probes in a row that succeeded, all servers are asked directly again. */
#define TRIALS_TO_CLEAR 3

bool
reach_want_check (Reach *r, KnownServer *s, int64_t now)
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
      *route = reach_direct_route (s->address);
      if (s->n_asked == MAX_HELPERS_ASKED || !reach_set_check_helper (r, s, route, now))
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
        *route = reach_direct_route (((KnownServer *)value)->address);
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
    reach_clear_cut_off (r, value, "probes");
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
  reach_clear_cut_off (r, s, "probe");
  r->next_trial_ms = now;
  if (++r->trials_succeeded >= TRIALS_TO_CLEAR)
    clear_all (r);
}

static void
note_check (Reach *r, KnownServer *s, const ReachRoute *route, ReachResult result, int64_t now)
{
  const Helper *h;

  end_check (r, s);
  reach_note_helper (r, route->helper, result, now);
  if (result == REACH_CONNECTED)
    {
      reach_mark_cut_off (r, s, route->helper, now);
      return;
    }
  h = reach_find_helper (r, route->helper);
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
  s = reach_server (r, route->server, now);
  if (route->helper[0])
    note_check (r, s, route, result, now);
  else
    note_trial (r, s, result, now);
  pthread_mutex_unlock (&r->lock);
}

#include "dispatch/dispatch.h"

#include <inttypes.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <xxhash.h>

#include "core/invariant.h"
#include "core/log.h"
#include "dispatch/dispatch_impl.h"

#define PREFIX_ENTRIES     8192
#define MEAN_PROMPT_WEIGHT 0.02

/* Part of a server's connections that hosts share out; the rest is for hosts that are not counted yet. */
#define CONNECTION_SHARE   0.85
#define FEWEST_CONNECTIONS 2

/* --- Choice ------------------------------------------------------------------------------ */

static bool
was_tried (const Server *s, const DispatchQuery *q)
{
  for (size_t i = 0; i < q->n_tried; i++)
    if (!strcmp (s->id, q->tried[i]))
      return true;
  return false;
}

static int
connection_share (const Dispatch *d, const CatalogService *service)
{
  int share;

  if (service->connection_limit <= 0)
    return INT32_MAX;
  share = (int)(service->connection_limit * CONNECTION_SHARE / (d->hosts > 0 ? d->hosts : 1));
  return share > FEWEST_CONNECTIONS ? share : FEWEST_CONNECTIONS;
}

static double
policy_cost (Dispatch *d, const Pool *p, const Server *s, const DispatchQuery *q,
             const Server *home)
{
  if (!strcmp (d->options.policy, "random") || !strcmp (d->options.policy, "two_choices"))
    return rng_unit (&d->rng);
  if (!strcmp (d->options.policy, "least"))
    return s->in_flight + server_others (s, q->now_ms) + rng_unit (&d->rng);
  return cost_of (s, q, &p->pace, d->prefixes, home);
}

typedef struct
{
  Server *best;
  double cost;
  Server *second;
  double second_cost;
  const Server *home;
  int usable;
  int full;
  int paused;              /* want nothing from this host for now */
  int64_t paused_until_ms; /* the first of them */
} Search;

static void
offer (Search *search, Server *s, double cost)
{
  if (!search->best || cost < search->cost)
    {
      search->second = search->best;
      search->second_cost = search->cost;
      search->best = s;
      search->cost = cost;
    }
  else if (!search->second || cost < search->second_cost)
    {
      search->second = s;
      search->second_cost = cost;
    }
}

/* Of two servers drawn at random, the one with less in flight. */
static void
take_less_busy (Search *search, int64_t now_ms)
{
  Server *a = search->best;
  Server *b = search->second;

  if (b && b->in_flight + server_others (b, now_ms) < a->in_flight + server_others (a, now_ms))
    search->best = b;
}

static void
pass_over (Search *search, const Server *s)
{
  if (search->paused++ == 0 || s->pause_until_ms < search->paused_until_ms)
    search->paused_until_ms = s->pause_until_ms;
}

/* Servers that were tried or are avoided are taken only when there is no other. */
static Server *
choose (Dispatch *d, const Pool *p, const DispatchQuery *q, Search *search)
{
  int share = connection_share (d, q->service);
  const Server *home = cost_home (&p->servers, q);
  Server *spare = NULL;
  double spare_cost = 0;

  search->home = home;

  for (ListNode *n = list_first (&p->servers); n; n = list_next (&p->servers, n))
    {
      Server *s = LIST_ENTRY (n, Server, node);
      double cost;

      if (s->leaving || was_tried (s, q))
        continue;
      search->usable++;
      if (q->now_ms < s->pause_until_ms)
        {
          pass_over (search, s);
          continue;
        }
      if (s->in_flight >= share)
        {
          search->full++;
          continue;
        }
      cost = policy_cost (d, p, s, q, home);
      if (!server_is_usable (s, q->now_ms))
        {
          if (!spare || cost < spare_cost)
            {
              spare = s;
              spare_cost = cost;
            }
          continue;
        }
      offer (search, s, cost);
    }
  if (!strcmp (d->options.policy, "two_choices"))
    take_less_busy (search, q->now_ms);
  return search->best ? search->best : spare;
}

static int
flight_destroy (Flight *f)
{
  INVARIANT ("flight_is_ended", f->server == NULL, "a flight was freed before its end");
  return 0;
}

static Flight *
flight_new (Dispatch *d, const void *ctx, Pool *p, Server *s, const DispatchQuery *q,
            const Server *home)
{
  Flight *f = talloc_zero (ctx, Flight);

  f->dispatch = d;
  f->server = s;
  f->pool = p;
  f->sent_ms = q->now_ms;
  f->is_engine = q->service->is_engine;
  f->unread = f->is_engine ? cost_unread_tokens (s, q, d->prefixes, home) : 0;
  f->expected_ms = cost_first_ms (s, q, &p->pace, d->prefixes, home);
  connections_take (&s->connections, q->now_ms);
  s->in_flight++;
  s->awaiting_first++;
  s->prompt_tokens += f->unread;
  for (size_t i = 0; i < q->n_parts; i++)
    prefix_map_add (d->prefixes, q->parts[i].id, s->hash, q->now_ms);
  if (q->prompt_tokens > 0)
    p->pace.mean_prompt += MEAN_PROMPT_WEIGHT * ((double)q->prompt_tokens - p->pace.mean_prompt);
  talloc_set_destructor (f, flight_destroy);
  return f;
}

static void
refuse (const DispatchQuery *q, const Search *search, Err *err)
{
  err_set (err, search->usable ? ERR_OVERLOADED : ERR_NO_SERVER,
           "service %s: %d servers, %d of them full, %d want nothing for now", q->service->name,
           search->usable, search->full, search->paused);
  if (search->paused > 0)
    err->retry_after_ms = search->paused_until_ms - q->now_ms;
}

Flight *
dispatch_pick (Dispatch *d, const void *ctx, const DispatchQuery *q, Err *err)
{
  Search search = { 0 };
  Server *s;
  Pool *p;
  Flight *f = NULL;

  pthread_mutex_lock (&d->lock);
  p = pool_get (d, q->service->name);
  s = choose (d, p, q, &search);
  if (!s)
    refuse (q, &search, err);
  else if (q->repeat && !retry_pool_take (&p->retries, &d->options.retries, d->hosts, q->now_ms))
    err_set (err, ERR_RETRIES_EXHAUSTED, "service %s: the retry limits have no room",
             q->service->name);
  else
    {
      if (!q->repeat)
        retry_pool_request (&p->retries, &d->options.retries, q->now_ms);
      f = flight_new (d, ctx, p, s, q, search.home);
    }
  pthread_mutex_unlock (&d->lock);
  return f;
}

/* --- Set-up ------------------------------------------------------------------------------ */

static int
dispatch_destroy (Dispatch *d)
{
  g_hash_table_unref (d->pools);
  g_hash_table_unref (d->servers);
  pthread_mutex_destroy (&d->lock);
  return 0;
}

Dispatch *
dispatch_new (const void *ctx, const DispatchOptions *options)
{
  Dispatch *d = talloc_zero (ctx, Dispatch);

  pthread_mutex_init (&d->lock, NULL);
  d->options = *options;
  d->options.data_centre = talloc_strdup (d, options->data_centre);
  d->options.region = talloc_strdup (d, options->region);
  d->options.policy = talloc_strdup (d, options->policy ? options->policy : "cost");
  d->pools = g_hash_table_new (g_str_hash, g_str_equal);
  d->servers = g_hash_table_new (g_str_hash, g_str_equal);
  d->leavers = leavers_new (d);
  d->prefixes = prefix_map_new (d, PREFIX_ENTRIES);
  d->hosts = 1;
  rng_seed (&d->rng, options->seed);
  talloc_set_destructor (d, dispatch_destroy);
  return d;
}

static json_t *
server_json (const Server *s, int64_t now_ms)
{
  return json_pack ("{s:s,s:s,s:s,s:i,s:i,s:f,s:f,s:f,s:b,s:b}", "server", s->id, "service",
                    s->service, "data_centre", s->data_centre, "in_flight", s->in_flight,
                    "awaiting_first", s->awaiting_first, "others", server_others (s, now_ms),
                    "slowness", s->slowness, "failing", s->failing, "leaving", s->leaving, "usable",
                    server_is_usable (s, now_ms));
}

char *
dispatch_describe (Dispatch *d, const void *ctx, int64_t now_ms)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;
  char *text;
  char *copy;

  pthread_mutex_lock (&d->lock);
  g_hash_table_iter_init (&iter, d->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_array_append_new (list, server_json (value, now_ms));
  pthread_mutex_unlock (&d->lock);
  text = json_dumps (list, JSON_COMPACT);
  copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (list);
  return copy;
}

#include "dispatch/dispatch.h"

#include <inttypes.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <xxhash.h>

#include "core/invariant.h"
#include "core/log.h"
#include "dispatch/candidate.h"
#include "dispatch/dispatch_impl.h"

#define PREFIX_ENTRIES     8192
#define MEAN_PROMPT_WEIGHT 0.02

/* The sums over a service change little in this time. */
#define ROOM_CACHED_MS 50

/* Retry-After if only limits of servers keep a request from them: spread, so that the requests do not come back
 * together. */
#define LIMIT_RETRY_MS        500
#define LIMIT_RETRY_SPREAD_MS 1000

/* --- Choice ------------------------------------------------------------------------------ */

typedef struct
{
  Server *best;
  double cost;
  Server *second;
  double second_cost;
  Server *fallback; /* if there is no best */
  ServerStanding fallback_standing;
  double fallback_cost;
  const Server *affinity;
  /* Fit for the request, not draining and not tried; includes at_limit, paused and those in backoff. */
  int eligible;
  int misfits[SERVER_EVACUATED + 1]; /* neither draining nor tried, by why they don't fit */
  int at_limit;            /* have as many requests of this host as its share of the connections */
  int limited;             /* this host has used its share of their limits */
  const Server *a_limited; /* one of these */
  int cold;                /* this host has used its share of what they bear */
  int known;               /* this host knows their load */
  int full;                /* of these, those with no place within the request's objective */
  bool best_unknown;       /* this host does not know the load of the best */
  int paused;              /* have asked this host for a pause */
  int64_t paused_until_ms; /* the earliest end of a pause */
} Candidates;

static void
consider_candidate (Candidates *c, Server *s, double cost, RoomFit fit)
{
  if (!c->best || cost < c->cost)
    {
      c->second = c->best;
      c->second_cost = c->cost;
      c->best = s;
      c->best_unknown = fit == ROOM_UNKNOWN;
      c->cost = cost;
    }
  else if (!c->second || cost < c->second_cost)
    {
      c->second = s;
      c->second_cost = cost;
    }
}

static void
consider_fallback (Candidates *c, Server *s, ServerStanding standing, double cost)
{
  if (c->fallback
      && (standing > c->fallback_standing
          || (standing == c->fallback_standing && cost >= c->fallback_cost)))
    return;
  c->fallback = s;
  c->fallback_standing = standing;
  c->fallback_cost = cost;
}

/* Policy "two_choices": the best and second candidate were drawn at random; keeps the one with
 * fewer requests. */
static void
keep_less_loaded (Candidates *c, int64_t now_ms)
{
  Server *a = c->best;
  Server *b = c->second;

  if (b
      && b->in_flight + server_other_requests (b, now_ms)
             < a->in_flight + server_other_requests (a, now_ms))
    c->best = b;
}

static void
count_paused (Candidates *c, const Server *s)
{
  if (c->paused++ == 0 || s->pause_until_ms < c->paused_until_ms)
    c->paused_until_ms = s->pause_until_ms;
}

static void
count_room (Candidates *c, const Candidate *candidate)
{
  if (candidate->verdict != CANDIDATE_ELIGIBLE && candidate->verdict != CANDIDATE_FULL)
    return;
  c->known += candidate->room != ROOM_UNKNOWN;
  c->full += candidate->room == ROOM_LATE || candidate->room == ROOM_NONE;
}

/* A server that can't be connected to is no way out of a service that is full. A request that a server had no room for is
 * sent again only where it is likely to be taken: a server that nothing is known of is, unless half of the known ones are full. */
static Server *
choose_with_room (const Candidates *c, const DispatchQuery *q)
{
  if (c->best)
    {
      bool unlikely = c->best_unknown && c->full > 0 && 2 * c->full >= c->known;

      return q->was_rejected && unlikely ? NULL : c->best;
    }
  if (c->full > 0 && (q->was_rejected || c->fallback_standing == SERVER_IN_BACKOFF))
    return NULL;
  return c->fallback;
}

static void
count_limited (Dispatch *d, Candidates *c, const Server *s)
{
  c->limited++;
  c->a_limited = s;
  counter_add (d->limit_avoided, 1);
}

static void
count_cold (Dispatch *d, Candidates *c)
{
  c->cold++;
  counter_add (d->cold_avoided, 1);
}

/* @return whether the server may be chosen. */
static bool
count_candidate (Dispatch *d, Candidates *c, const Server *s, const Candidate *candidate)
{
  CandidateVerdict verdict = candidate->verdict;

  if (verdict == CANDIDATE_UNFIT)
    c->misfits[candidate->fit]++;
  else if (verdict != CANDIDATE_DRAINING && verdict != CANDIDATE_TRIED)
    c->eligible++;
  if (verdict == CANDIDATE_PAUSED)
    count_paused (c, s);
  else if (verdict == CANDIDATE_AT_SHARE)
    c->at_limit++;
  else if (verdict == CANDIDATE_COLD)
    count_cold (d, c);
  else if (verdict == CANDIDATE_LIMITED)
    count_limited (d, c, s);
  count_room (c, candidate);
  return verdict == CANDIDATE_ELIGIBLE;
}

/* Servers that will have a place only after the objective, then those in doubt, and then those in backoff after a failed
 * connect, are chosen only if there is no other. A usable
 * server that is due to show whether its limit is still in force goes first. */
static Server *
choose_server (Dispatch *d, const ServerPool *p, const DispatchQuery *q, Candidates *c)
{
  bool lost = lost_servers_are_many (&p->lost, q->now_ms);
  Server *due = NULL;

  c->affinity = cost_affinity_server (&p->servers, q);
  for (ListNode *n = list_first (&p->servers); n; n = list_next (&p->servers, n))
    {
      Server *s = LIST_ENTRY (n, Server, node);
      Candidate candidate = candidate_assess (d, p, q, s, c->affinity);

      if (!count_candidate (d, c, s, &candidate))
        continue;
      if (candidate.limit == LIMIT_DUE && !q->is_retry && candidate.standing <= SERVER_DOUBTFUL)
        due = s;
      if (candidate.standing == SERVER_PREFERRED && candidate.room != ROOM_LATE
          && !(candidate.room == ROOM_UNKNOWN && lost))
        consider_candidate (c, s, candidate.cost, candidate.room);
      else
        consider_fallback (c, s, candidate.standing, candidate.cost);
    }
  if (!strcmp (d->options.policy, "two_choices"))
    keep_less_loaded (c, q->now_ms);
  if (due)
    return due;
  return choose_with_room (c, q);
}

static AssignmentLimits
limits_of_choice (const Candidates *c, const Server *chosen, int64_t now_ms)
{
  const Server *s = chosen->limit.requests_per_s > 0 || !c->a_limited ? chosen : c->a_limited;

  return (AssignmentLimits){ .avoided = c->limited,
                             .requests_per_s = s->limit.requests_per_s,
                             .age_ms = now_ms - s->limit.stated_ms };
}

static int
assignment_destroy (Assignment *a)
{
  INVARIANT ("flight_is_ended", a->server == NULL,
             "an assignment was freed before assignment_end()");
  return 0;
}

static void
learn_request (LatencyModel *m, const DispatchQuery *q, Tokens prefill_tokens)
{
  if (q->target_gap_ms > 0 && (m->gap_ms == 0 || q->target_gap_ms < m->gap_ms))
    m->gap_ms = q->target_gap_ms;
  if (q->prompt_tokens <= 0)
    return;
  m->mean_prompt_tokens += MEAN_PROMPT_WEIGHT * ((double)q->prompt_tokens - m->mean_prompt_tokens);
  m->mean_prefill_tokens += MEAN_PROMPT_WEIGHT * ((double)prefill_tokens - m->mean_prefill_tokens);
}

static Assignment *
assignment_new (Dispatch *d, const void *ctx, ServerPool *p, Server *s, const DispatchQuery *q,
                const Candidates *c)
{
  CostInputs inputs = candidate_cost_inputs (d, p, q, c->affinity);
  Assignment *a = talloc_zero (ctx, Assignment);

  a->dispatch = d;
  a->server = s;
  a->pool = p;
  a->sent_ms = q->now_ms;
  a->is_engine = q->service->is_engine;
  a->prefill_tokens = a->is_engine ? cost_prefill_tokens (s, &inputs) : 0;
  a->expected_first_event_ms = cost_first_event_ms (s, &inputs);
  a->expected_wait_ms = service_room_wait_ms (s, p->hold_ms, q->now_ms);
  a->limits = limits_of_choice (c, s, q->now_ms);
  memcpy (a->version, s->version, sizeof a->version);
  a->version_changes = s->version_changes;
  server_limit_take (&s->limit, q->now_ms);
  cold_limit_take (&s->cold, q->now_ms);
  idle_connections_take (&s->idle_connections, q->now_ms);
  s->in_flight++;
  in_flight_history_set (&s->in_flight_history, s->in_flight, q->now_ms);
  s->awaiting_first_event++;
  in_flight_history_set (&s->awaiting_history, s->awaiting_first_event, q->now_ms);
  s->pending_prefill_tokens += a->prefill_tokens;
  for (size_t i = 0; i < q->n_parts; i++)
    prefix_map_add (d->prefixes, q->parts[i].id, s->hash, q->now_ms);
  learn_request (&p->latency, q, a->prefill_tokens);
  talloc_set_destructor (a, assignment_destroy);
  return a;
}

static ErrKind
pick_error_kind (const DispatchQuery *q, const Candidates *c)
{
  if (c->limited > 0)
    return ERR_SERVER_LIMITS;
  if (c->cold > 0)
    return ERR_SERVERS_COLD;
  if (c->eligible > 0)
    return ERR_OVERLOADED;
  if (c->misfits[SERVER_EVACUATED] > 0)
    return ERR_EVACUATED;
  if (c->misfits[SERVER_OUT_OF_REGION] > 0)
    return ERR_REGION_UNSERVED;
  return q->version ? ERR_VERSION_GONE : ERR_NO_SERVER;
}

static void
set_pick_error (Dispatch *d, const DispatchQuery *q, const Candidates *c, Err *err)
{
  char version[SERVER_VERSION_BYTES];

  err_set (
      err, pick_error_kind (q, c),
      "service %s, version %s: %d servers, %d of them full, %d at their connections, %d cold, %d "
      "want nothing for now, %d at their limits (one: %.3f a second, stated %" PRId64
      " ms ago); %d out of region, %d evacuated",
      q->service->name, q->version ? log_word (version, sizeof version, q->version) : "any",
      c->eligible, c->full, c->at_limit, c->cold, c->paused, c->limited,
      c->a_limited ? c->a_limited->limit.requests_per_s : 0,
      c->a_limited ? q->now_ms - c->a_limited->limit.stated_ms : 0,
      c->misfits[SERVER_OUT_OF_REGION], c->misfits[SERVER_EVACUATED]);
  if (c->limited > 0 || c->cold > 0)
    err->retry_after_ms = LIMIT_RETRY_MS + (int64_t)rng_below (&d->rng, LIMIT_RETRY_SPREAD_MS);
  else if (c->paused > 0)
    err->retry_after_ms = c->paused_until_ms - q->now_ms;
}

Assignment *
dispatch_pick (Dispatch *d, const void *ctx, const DispatchQuery *q, Err *err)
{
  Candidates c = { 0 };
  Server *s;
  ServerPool *p;
  Assignment *a = NULL;
  const char *forbidden = NULL;

  pthread_mutex_lock (&d->lock);
  p = server_pool_get (d, q->service->name);
  s = choose_server (d, p, q, &c);
  if (s && q->is_retry)
    forbidden = retry_budget_take (&p->retry_budget, &d->options.retries, n_hosts (d), q->now_ms);
  if (!s)
    set_pick_error (d, q, &c, err);
  else if (forbidden)
    err_set (err, ERR_RETRIES_EXHAUSTED, "service %s: retry limits: %s", q->service->name,
             forbidden);
  else
    {
      if (!q->is_retry && !q->is_counted)
        retry_budget_count_request (&p->retry_budget, &d->options.retries, q->now_ms);
      a = assignment_new (d, ctx, p, s, q, &c);
    }
  pthread_mutex_unlock (&d->lock);
  return a;
}

ServiceRoom
dispatch_room (Dispatch *d, const CatalogService *service, int64_t now_ms)
{
  ServerPool *p;
  ServiceRoom room;

  pthread_mutex_lock (&d->lock);
  p = server_pool_get (d, service->name);
  if (p->room_ms == 0 || now_ms - p->room_ms >= ROOM_CACHED_MS)
    {
      p->room = (ServiceRoom){ .hold_ms = p->hold_ms,
                               .prompt_tokens_per_ms = p->latency.prefill_tokens_per_ms };
      p->room_ms = now_ms;
      for (ListNode *n = list_first (&p->servers); n; n = list_next (&p->servers, n))
        {
          const Server *s = LIST_ENTRY (n, Server, node);

          if (server_is_usable (s, now_ms) && !s->evacuated)
            service_room_add (&p->room, s, now_ms);
        }
    }
  room = p->room;
  pthread_mutex_unlock (&d->lock);
  return room;
}

/* --- Set-up ------------------------------------------------------------------------------ */

static int
dispatch_destroy (Dispatch *d)
{
  g_hash_table_unref (d->pools);
  g_hash_table_unref (d->servers);
  g_hash_table_unref (d->evacuated);
  g_hash_table_unref (d->servers_by_key);
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
  d->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  d->drain_set = drain_set_new (d);
  load_picture_init (d);
  d->prefixes = prefix_map_new (d, PREFIX_ENTRIES);
  d->hosts = host_list_new (d, options->host);
  d->limit_avoided = counter_get ("pond_server_limit_avoided_total", "",
                                  "Servers not considered for a request because of their limits.");
  d->cold_avoided = counter_get ("pond_cold_servers_avoided_total", "",
                                 "Servers not considered for a request because they were cold.");
  rng_seed (&d->rng, options->seed);
  talloc_set_destructor (d, dispatch_destroy);
  return d;
}

/* What the server said of its load; "load_age_ms" is -1 if nothing is known. */
static void
add_load_json (json_t *json, const Server *s, int64_t now_ms)
{
  const ServerLoad *l = &s->load;

  json_object_set_new (json, "running", json_integer (l->running));
  json_object_set_new (json, "waiting", json_integer (l->waiting));
  json_object_set_new (json, "pace", json_real (l->pace));
  json_object_set_new (json, "load_age_ms",
                       json_integer (l->observed_ms ? now_ms - l->observed_ms : -1));
  json_object_set_new (json, "load_source", json_string (l->heard ? "host" : "answer"));
}

static json_t *
server_json (const Server *s, int64_t now_ms)
{
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:i,s:i,s:f,s:f,s:f,s:b,s:b,s:b,s:b,s:f,s:I}", "server", s->id, "service",
      s->service, "data_centre", s->data_centre, "in_flight", s->in_flight, "awaiting_first",
      s->awaiting_first_event, "others", server_other_requests (s, now_ms), "slowness",
      s->latency_factor, "failing", s->failure_rate, "leaving", s->draining, "evacuated",
      s->evacuated, "cold", cold_limit_is_cold (&s->cold, now_ms), "usable",
      server_is_usable (s, now_ms), "limit_per_s", s->limit.requests_per_s, "limit_age_ms",
      (json_int_t)(s->limit.requests_per_s > 0 ? now_ms - s->limit.stated_ms : 0));

  add_load_json (json, s, now_ms);
  return json;
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

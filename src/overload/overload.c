#include "overload/overload.h"

#include <inttypes.h>
#include <math.h>
#include <pthread.h>

#include <glib.h>
#include <jansson.h>
#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"
#include "overload/account_shares.h"
#include "overload/admission_level.h"
#include "overload/return_time.h"

/* Work of a request in prompt tokens: an output token takes about as long as ten of the prompt, and a request without any
 * counts as one. */
#define WORK_OF_OUTPUT_TOKEN 10.0

/* A request whose prompt alone takes more of its objective is late also when there is room. */
#define PROMPT_SHARE 0.5

/* A queue may take this share of the objective: the rest is for the work itself. */
#define QUEUE_SHARE 1.0

#define MAX_ROUTES 4096

typedef struct
{
  char *name;
  AdmissionLevel level;
  RankDemand demand;
  AccountShares *shares;
  int64_t admitted;
  int64_t refused;
} ServiceState;

typedef struct
{
  char *name;
  RouteDeadline deadline;
} RouteState;

struct Overload
{
  pthread_mutex_t lock; /* "overload" */
  Rng rng;
  GHashTable *services; /* by name */
  GHashTable *routes;   /* by name */
  Counter *refused_rank;
  Counter *refused_share;
  Counter *refused_returned;
  Counter *ample;
  Counter *bad_priority;
  Counter *bad_load;
};

static int
overload_destroy (Overload *o)
{
  g_hash_table_unref (o->services);
  g_hash_table_unref (o->routes);
  pthread_mutex_destroy (&o->lock);
  return 0;
}

static Counter *
refusal_counter (const char *labels)
{
  return counter_get ("pond_overload_refusals_total", labels,
                      "Requests refused for want of room before they were sent, by reason.");
}

static Counter *
bad_input_counter (const char *labels)
{
  return counter_get ("pond_overload_ignored_total", labels,
                      "Values that can't be true and were not used, by kind.");
}

Overload *
overload_new (const void *ctx, uint64_t seed)
{
  Overload *o = talloc_zero (ctx, Overload);

  pthread_mutex_init (&o->lock, NULL);
  rng_seed (&o->rng, seed);
  o->services = g_hash_table_new (g_str_hash, g_str_equal);
  o->routes = g_hash_table_new (g_str_hash, g_str_equal);
  o->refused_rank = refusal_counter ("reason=\"rank\"");
  o->refused_share = refusal_counter ("reason=\"share\"");
  o->refused_returned = refusal_counter ("reason=\"returned\"");
  o->ample = counter_get ("pond_overload_ample_total", "",
                          "Requests admitted beyond the level, as the servers have room.");
  o->bad_priority = bad_input_counter ("kind=\"priority\"");
  o->bad_load = bad_input_counter ("kind=\"load\"");
  talloc_set_destructor (o, overload_destroy);
  return o;
}

static ServiceState *
service_state (Overload *o, const char *name)
{
  ServiceState *s = g_hash_table_lookup (o->services, name);

  if (s)
    return s;
  s = talloc_zero (o, ServiceState);
  s->name = talloc_strdup (s, name);
  s->shares = account_shares_new (s);
  g_hash_table_insert (o->services, s->name, s);
  return s;
}

/* @return the time that the client has lost since its first try. */
static int64_t
lost_time_ms (Overload *o, const OverloadRequest *q)
{
  RouteState *r = q->route ? g_hash_table_lookup (o->routes, q->route) : NULL;

  if (!r && (!q->route || g_hash_table_size (o->routes) >= MAX_ROUTES))
    return 0;
  if (!r)
    {
      r = talloc_zero (o, RouteState);
      r->name = talloc_strdup (r, q->route);
      g_hash_table_insert (o->routes, r->name, r);
    }
  return route_deadline_add (&r->deadline, q->client_timeout_ms, q->now_ms);
}

static int
nearest_priority (int n)
{
  return n < 0 ? 0 : n < PRIORITIES ? n : PRIORITIES - 1;
}

static RequestPriority
checked_priority (Overload *o, const OverloadRequest *q)
{
  RequestPriority p
      = { nearest_priority (q->priority.first), nearest_priority (q->priority.second) };

  if (p.first == q->priority.first && p.second == q->priority.second)
    return p;
  counter_add (o->bad_priority, 1);
  log_event (LOG_LEVEL_INFO, "overload", "priority_ignored", "id=%s priority=%d route_priority=%d",
             q->id, q->priority.first, q->priority.second);
  return p;
}

static double
work_of (Tokens prompt_tokens, Tokens max_tokens)
{
  return 1 + (double)prompt_tokens + WORK_OF_OUTPUT_TOKEN * (double)max_tokens;
}

static double
drain_ms (const ServiceRoom *room)
{
  return room->places > 0 ? room->waiting * room->hold_ms / room->places : 0;
}

static int64_t
return_ms (Overload *o, const ServiceState *s, const ServiceRoom *room, int64_t left_ms,
           int64_t now_ms)
{
  ReturnInput in = { .short_for_ms = s->level.since_ms > 0 ? now_ms - s->level.since_ms : 0,
                     .drain_ms = drain_ms (room),
                     .left_ms = left_ms };

  return return_time_ms (&in, &o->rng);
}

typedef struct
{
  double level;
  int rank;
  double share;
  ShareStanding standing;
  int64_t lost_ms;
  double chance;
} Decision;

static void
count_refusal (Overload *o, const Decision *d)
{
  if (d->standing != SHARE_WITHIN)
    counter_add (o->refused_share, 1);
  else
    counter_add (d->lost_ms > 0 ? o->refused_returned : o->refused_rank, 1);
}

static void
refuse (Overload *o, ServiceState *s, const OverloadRequest *q, const Decision *d, Err *err)
{
  s->refused++;
  count_refusal (o, d);
  err_set (
      err, ERR_OVERLOADED,
      "service %s: level %.3f, rank %d admitted at %.2f, share %.2f of its account, %.0f of %.0f "
      "places taken, %.0f wait",
      s->name, d->level, d->rank, d->chance, d->share, q->room.taken, q->room.places,
      q->room.waiting);
  err->retry_after_ms = return_ms (o, s, &q->room, q->left_ms, q->now_ms);
  log_event (
      LOG_LEVEL_INFO, "overload", "refused",
      "id=%s service=%s account=%s level=%.3f rank=%d chance=%.2f share=%.2f lost_ms=%" PRId64
      " short_ms=%" PRId64 " known=%d servers=%d taken=%.0f places=%.0f waiting=%.0f",
      q->id, s->name, q->account ? q->account : "-", d->level, d->rank, d->chance, d->share,
      d->lost_ms, s->level.since_ms > 0 ? q->now_ms - s->level.since_ms : 0, q->room.known,
      q->room.servers, q->room.taken, q->room.places, q->room.waiting);
}

static Decision
decide (Overload *o, ServiceState *s, const OverloadRequest *q)
{
  double work = work_of (q->prompt_tokens, q->max_tokens);
  Decision d = { .level = admission_level_get (&s->level, q->now_ms) };

  admission_level_offer (&s->level, work, q->now_ms);
  d.lost_ms = lost_time_ms (o, q);
  d.standing
      = account_shares_add (s->shares, q->account, work, d.level, &o->rng, q->now_ms, &d.share);
  d.rank = rank_of (checked_priority (o, q), d.standing, d.lost_ms > 0);
  rank_demand_add (&s->demand, d.rank, work, q->now_ms);
  d.chance = d.level >= 1 ? 1 : rank_demand_chance (&s->demand, d.rank, d.level);
  return d;
}

bool
overload_admit (Overload *o, const OverloadRequest *q, OverloadPass *pass, Err *err)
{
  ServiceState *s;
  Decision d;
  bool admitted;

  pthread_mutex_lock (&o->lock);
  s = service_state (o, q->service);
  d = decide (o, s, q);
  *pass = (OverloadPass){ .level = d.level, .rank = d.rank };
  admitted = q->is_resumed || rng_unit (&o->rng) < d.chance;
  if (!admitted && service_room_is_ample (&q->room))
    {
      admitted = true;
      pass->was_ample = true;
      counter_add (o->ample, 1);
    }
  s->admitted += admitted;
  if (!admitted)
    refuse (o, s, q, &d, err);
  pthread_mutex_unlock (&o->lock);
  return admitted;
}

static bool
check_load (Overload *o, const OverloadAnswer *a)
{
  if (!a->has_load || (a->running >= 0 && a->waiting >= 0 && a->slots >= 0))
    return true;
  counter_add (o->bad_load, 1);
  log_event (LOG_LEVEL_INFO, "overload", "load_ignored",
             "service=%s running=%d waiting=%d slots=%d", a->service, a->running, a->waiting,
             a->slots);
  return false;
}

static LevelAnswer
level_answer (const OverloadAnswer *a)
{
  bool has_queue = a->has_load && a->slots > 0;
  bool is_busy = has_queue ? a->waiting > 0 || a->running >= a->slots : a->has_ended;
  double late_ms = (double)(a->took_ms - a->target_ms);
  double queue_ms = has_queue ? a->waiting * a->hold_ms / a->slots : 0;
  LevelAnswer l
      = { .work = a->rejected || a->has_ended ? 0 : work_of (a->prompt_tokens, a->max_tokens),
          .wait_ms = queue_ms };

  /* Without a queue there, it was late by its own work, a slow machine or the way. */
  l.is_late = is_busy && late_ms > 0 && a->prompt_ms < PROMPT_SHARE * (double)a->target_ms;
  if (l.is_late && late_ms > l.wait_ms)
    l.wait_ms = late_ms;
  l.short_of_room = a->rejected || queue_ms > QUEUE_SHARE * (double)a->target_ms;
  return l;
}

void
overload_add_answer (Overload *o, const OverloadAnswer *a)
{
  LevelAnswer l = level_answer (a);

  pthread_mutex_lock (&o->lock);
  if (check_load (o, a))
    admission_level_add (&service_state (o, a->service)->level, &l, a->now_ms);
  pthread_mutex_unlock (&o->lock);
}

int64_t
overload_return_ms (Overload *o, const char *service, const ServiceRoom *room, int64_t left_ms,
                    int64_t now_ms)
{
  int64_t ms;

  pthread_mutex_lock (&o->lock);
  ms = return_ms (o, service_state (o, service), room, left_ms, now_ms);
  pthread_mutex_unlock (&o->lock);
  return ms;
}

static json_t *
service_json (ServiceState *s, int64_t now_ms)
{
  return json_pack ("{s:s,s:f,s:I,s:i,s:I,s:I}", "service", s->name, "level",
                    admission_level_get (&s->level, now_ms), "short_ms",
                    (json_int_t)(s->level.since_ms > 0 ? now_ms - s->level.since_ms : 0),
                    "accounts", (int)account_shares_count (s->shares), "admitted",
                    (json_int_t)s->admitted, "refused", (json_int_t)s->refused);
}

char *
overload_describe (Overload *o, const void *ctx, int64_t now_ms)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;
  char *text;
  char *copy;

  pthread_mutex_lock (&o->lock);
  g_hash_table_iter_init (&iter, o->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_array_append_new (list, service_json (value, now_ms));
  pthread_mutex_unlock (&o->lock);
  text = json_dumps (list, JSON_COMPACT);
  copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (list);
  return copy;
}

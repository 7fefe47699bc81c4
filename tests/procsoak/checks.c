/* What hosts and stand-ins tell, compared with what callers were told. */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "procsoak.h"

#define ENGINE_PORT   10
#define SERVICE_PORT  20
#define OPERATOR_PORT 200
#define ROUND_MS      400

/* Requests that were on their way when a planned stop came into force have arrived by then. */
#define STOP_SETTLE_MS 1500

typedef void (*JsonFn) (Soak *s, int index, const json_t *json);

typedef struct
{
  Soak *soak;
  int index;
  int generation;
  JsonFn fn;
  char *body;
  size_t len;
} Question;

/* --- Questions --------------------------------------------------------------------------- */

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  Question *q = data;

  (void)exchange;
  q->body = talloc_realloc_size (q, q->body, q->len + len);
  memcpy (q->body + q->len, bytes, len);
  q->len += len;
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  Question *q = data;
  json_t *json = json_loadb (q->body ? q->body : "", q->len, 0, NULL);

  (void)exchange;
  if (result == HTTP_COMPLETE && json)
    q->fn (q->soak, q->index, json);
  else
    q->fn (q->soak, q->index, NULL);
  json_decref (json);
  talloc_free (q);
}

static const HttpEvents EVENTS = { NULL, on_body, on_done };

static void
ask (Soak *s, int port, const char *path, int index, JsonFn fn)
{
  Question *q = talloc_zero (s, Question);
  char *url = talloc_asprintf (q, "http://127.0.0.1:%d%s", soak_port (s, port), path);
  HttpRequest request = { .method = "GET",
                          .url = url,
                          .connect_timeout_ms = 500,
                          .timeout_ms = 1500,
                          .own_connection = true };

  q->soak = s;
  q->index = index;
  q->fn = fn;
  http_client_start (s->client, q, &request, &EVENTS, q);
}

/* --- Configuration and planned stops ------------------------------------------------------- */

static struct
{
  int engine;       /* whose stop is watched, or -1 */
  int64_t since_ms; /* all hosts know of it, and nothing is held on the way */
  int64_t started;  /* requests at that engine then, or -1 */
} planned = { .engine = -1 };

static void
on_state (Soak *s, int i, const json_t *json)
{
  SoakHost *h = &s->hosts[i];
  int64_t version = json_integer_value (json_object_get (json, "version"));

  if (!json || !h->pid || h->frozen)
    return;
  if (version < h->version)
    soak_violation (s, "configuration_never_goes_back", "", "host-%d: %" PRId64 " after %" PRId64,
                    i, version, h->version);
  h->version = version;
}

static bool
all_know_the_stop (const Soak *s)
{
  if (s->stopped < 0 || proxy_mode (s->server_proxies[s->stopped]) != PROXY_PASS)
    return false;
  for (int i = 0; i < s->options.n_hosts; i++)
    {
      const SoakHost *h = &s->hosts[i];

      if (h->frozen || (h->pid && h->version < s->ticket))
        return false;
    }
  return true;
}

static void
on_engine (Soak *s, int i, const json_t *json)
{
  int64_t started = json_integer_value (json_object_get (json, "started"));

  if (!json || planned.engine != i || !all_know_the_stop (s))
    return;
  if (planned.started >= 0 && started > planned.started)
    soak_violation (s, "stopped_server_is_left_alone", "", "engine-%d: %" PRId64 " new requests", i,
                    started - planned.started);
  planned.started = started;
}

static void
watch_stop (Soak *s)
{
  int64_t now = soak_now_ms (s);

  if (!all_know_the_stop (s) || planned.engine != s->stopped)
    {
      planned.engine = s->stopped;
      planned.started = -1;
      planned.since_ms = now;
      return;
    }
  if (now - planned.since_ms >= STOP_SETTLE_MS)
    ask (s, ENGINE_PORT + s->stopped, "/admin/stats", s->stopped, on_engine);
}

static void
on_round (void *data)
{
  Soak *s = data;

  processes_reap (s);
  timers_start (s->timers, s, ROUND_MS, on_round, s);
  if (s->ending)
    return;
  for (int i = 0; i < s->options.n_hosts; i++)
    if (s->hosts[i].pid && !s->hosts[i].frozen)
      ask (s, OPERATOR_PORT + i, "/v1/state", i, on_state);
  watch_stop (s);
}

void
checks_start (Soak *s)
{
  on_round (s);
}

/* --- The end ----------------------------------------------------------------------------- */

static struct
{
  LoopFn done;
  void *data;
  int answers;
  int64_t tokens;
  json_t *by_id[SOAK_ENGINES];
  json_t *runs[SOAK_SERVICES];
} final;

static void
check_bookings (Soak *s)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, s->bookings);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      int64_t ran = 0;
      Booking told = (Booking)GPOINTER_TO_INT (value);

      for (int i = 0; i < SOAK_SERVICES; i++)
        ran += json_integer_value (json_object_get (final.runs[i], key));

      if (ran > 1)
        soak_violation (s, "runs_at_most_once", "", "booking %s ran %" PRId64 " times", (char *)key,
                        ran);
      if (told == BOOKING_DONE && ran != 1)
        soak_violation (s, "done_is_true", "", "booking %s ran %" PRId64 " times", (char *)key,
                        ran);
      if (told == BOOKING_NOT_RUN && ran != 0)
        soak_violation (s, "not_run_is_true", "", "booking %s", (char *)key);
    }
}

static void
check_not_run (Soak *s)
{
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, s->not_run);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    for (int i = 0; i < SOAK_ENGINES; i++)
      if (json_object_get (final.by_id[i], id))
        soak_violation (s, "not_run_is_true", id, "engine-%d has run it", i);
}

static void
finish (Soak *s)
{
  int64_t limit = s->options.run_ms / 1000 * SOAK_LIMIT_PER_S;

  if (++final.answers < 2 * SOAK_ENGINES + SOAK_SERVICES)
    return;
  check_bookings (s);
  check_not_run (s);
  if (final.tokens > limit)
    soak_violation (s, "budget_never_overspent", "", "%" PRId64 " of %" PRId64 " tokens",
                    final.tokens, limit);
  final.done (final.data);
}

static void
on_engine_end (Soak *s, int i, const json_t *json)
{
  final.by_id[i] = json_incref (json_object_get (json, "by_id"));
  final.tokens += json_integer_value (json_object_get (json, "tokens"));
  if (!json)
    soak_violation (s, "standin_answers", "", "engine-%d", i);
  finish (s);
}

static void
on_load (Soak *s, int i, const json_t *json)
{
  if (json_integer_value (json_object_get (json, "running")) > 0
      || json_integer_value (json_object_get (json, "waiting")) > 0)
    soak_violation (s, "work_ends_with_its_caller", "", "engine-%d is busy without callers", i);
  finish (s);
}

static void
on_service_end (Soak *s, int i, const json_t *json)
{
  final.runs[i] = json_incref (json_object_get (json, "runs"));
  if (!json)
    soak_violation (s, "standin_answers", "", "service-%d", i);
  finish (s);
}

void
checks_final (Soak *s, LoopFn done, void *data)
{
  final.done = done;
  final.data = data;
  for (int i = 0; i < SOAK_ENGINES; i++)
    {
      ask (s, ENGINE_PORT + i, "/admin/stats", i, on_engine_end);
      ask (s, ENGINE_PORT + i, "/load", i, on_load);
    }
  for (int i = 0; i < SOAK_SERVICES; i++)
    ask (s, SERVICE_PORT + i, "/admin/stats", i, on_service_end);
}

/* Compares the state that hosts and stand-ins report with the responses that clients received. */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "procsoak.h"

#define ENGINE_PORT      10
#define SERVICE_PORT     20
#define OPERATOR_PORT    200
#define POLL_INTERVAL_MS 400

/* Requests that were in flight when a planned stop came into force have reached the engine after this time. */
#define STOP_SETTLE_MS 1500

typedef void (*QueryFn) (Soak *s, int index, const json_t *json);

typedef struct
{
  Soak *soak;
  int index;
  int generation;
  QueryFn fn;
  char *body;
  size_t len;
} AdminQuery;

/* --- Queries ----------------------------------------------------------------------------- */

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  AdminQuery *q = data;

  (void)exchange;
  q->body = talloc_realloc_size (q, q->body, q->len + len);
  memcpy (q->body + q->len, bytes, len);
  q->len += len;
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  AdminQuery *q = data;
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
send_query (Soak *s, int port, const char *path, int index, QueryFn fn)
{
  AdminQuery *q = talloc_zero (s, AdminQuery);
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

/* --- Configuration and planned stops ----------------------------------------------------- */

static struct
{
  int engine; /* with a planned stop, or -1 */
  /* Since when all running hosts have the ticket and the engine's proxy is in mode PROXY_PASS. */
  int64_t in_force_since_ms;
  /* Requests that the engine had started at the last poll; -1: not polled since the stop came into force. */
  int64_t started;
} watched_stop = { .engine = -1 };

static void
on_state (Soak *s, int i, const json_t *json)
{
  SoakHost *h = &s->hosts[i];
  int64_t version = json_integer_value (json_object_get (json, "version"));

  if (!json || !h->pid || h->frozen)
    return;
  if (version < h->version)
    soak_violation (s, "configuration_version_never_decreases", "",
                    "host-%d: %" PRId64 " after %" PRId64, i, version, h->version);
  h->version = version;
}

static bool
stop_is_in_force (const Soak *s)
{
  if (s->stopped_engine < 0 || proxy_mode (s->server_proxies[s->stopped_engine]) != PROXY_PASS)
    return false;
  for (int i = 0; i < s->options.n_hosts; i++)
    {
      const SoakHost *h = &s->hosts[i];

      if (h->frozen || (h->pid && h->version < s->accepted_ticket))
        return false;
    }
  return true;
}

static void
on_engine_stats (Soak *s, int i, const json_t *json)
{
  int64_t started = json_integer_value (json_object_get (json, "started"));

  if (!json || watched_stop.engine != i || !stop_is_in_force (s))
    return;
  if (watched_stop.started >= 0 && started > watched_stop.started)
    soak_violation (s, "stopped_server_gets_no_requests", "", "engine-%d: %" PRId64 " new requests",
                    i, started - watched_stop.started);
  watched_stop.started = started;
}

static void
watch_stop (Soak *s)
{
  int64_t now = soak_now_ms (s);

  if (!stop_is_in_force (s) || watched_stop.engine != s->stopped_engine)
    {
      watched_stop.engine = s->stopped_engine;
      watched_stop.started = -1;
      watched_stop.in_force_since_ms = now;
      return;
    }
  if (now - watched_stop.in_force_since_ms >= STOP_SETTLE_MS)
    send_query (s, ENGINE_PORT + s->stopped_engine, "/admin/stats", s->stopped_engine,
                on_engine_stats);
}

static void
on_poll (void *data)
{
  Soak *s = data;

  processes_reap (s);
  timers_start (s->timers, s, POLL_INTERVAL_MS, on_poll, s);
  if (s->requests_ended)
    return;
  for (int i = 0; i < s->options.n_hosts; i++)
    if (s->hosts[i].pid && !s->hosts[i].frozen)
      send_query (s, OPERATOR_PORT + i, "/v1/state", i, on_state);
  watch_stop (s);
}

void
checks_start (Soak *s)
{
  on_poll (s);
}

/* --- Final checks ------------------------------------------------------------------------ */

static struct
{
  LoopFn done;
  void *data;
  int n_responses;
  int64_t tokens;
  json_t *by_id[SOAK_ENGINES]; /* counts of each engine by request id */
  json_t *runs[SOAK_SERVICES]; /* runs of bookings by idempotency key */
} final_check;

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
      BookingOutcome outcome = (BookingOutcome)GPOINTER_TO_INT (value);

      for (int i = 0; i < SOAK_SERVICES; i++)
        ran += json_integer_value (json_object_get (final_check.runs[i], key));

      if (ran > 1)
        soak_violation (s, "runs_at_most_once", "", "booking %s ran %" PRId64 " times", (char *)key,
                        ran);
      if (outcome == BOOKING_DONE && ran != 1)
        soak_violation (s, "successful_booking_ran_once", "", "booking %s ran %" PRId64 " times",
                        (char *)key, ran);
      if (outcome == BOOKING_NOT_RUN && ran != 0)
        soak_violation (s, "not_run_request_did_not_run", "", "booking %s", (char *)key);
    }
}

static void
check_not_run (Soak *s)
{
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, s->not_run_ids);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    for (int i = 0; i < SOAK_ENGINES; i++)
      if (json_object_get (final_check.by_id[i], id))
        soak_violation (s, "not_run_request_did_not_run", id, "engine-%d executed the request", i);
}

/* Prints what engines have read and made for requests that delivered nothing: callers pay for none of it. */
static void
print_tokens (const Soak *s, int64_t limit)
{
  int64_t undelivered = 0;
  int n = 0;
  const char *id;
  json_t *counts;

  for (int i = 0; i < SOAK_ENGINES; i++)
    json_object_foreach (final_check.by_id[i], id, counts)
    {
      if (g_hash_table_contains (s->delivered_ids, id))
        continue;
      undelivered += json_integer_value (json_object_get (counts, "tokens"));
      n++;
    }
  printf ("tokens: %" PRId64 " delivered, limit %" PRId64 "; engines counted %" PRId64 ", %" PRId64
          " of them for %d requests that delivered nothing\n",
          s->delivered_tokens, limit, final_check.tokens, undelivered, n);
}

/* Counted as callers do: engines also count the prompts of requests whose caller got nothing, which cost nothing. */
static void
check_budget (Soak *s)
{
  int64_t limit = s->options.run_ms / 1000 * SOAK_LIMIT_PER_S;

  print_tokens (s, limit);
  if (s->delivered_tokens > limit)
    soak_violation (s, "budget_never_overspent", "", "%" PRId64 " of %" PRId64 " tokens",
                    s->delivered_tokens, limit);
}

static void
count_response (Soak *s)
{

  if (++final_check.n_responses < 2 * SOAK_ENGINES + SOAK_SERVICES)
    return;
  check_bookings (s);
  check_not_run (s);
  check_budget (s);
  final_check.done (final_check.data);
}

static void
on_final_engine_stats (Soak *s, int i, const json_t *json)
{
  final_check.by_id[i] = json_incref (json_object_get (json, "by_id"));
  final_check.tokens += json_integer_value (json_object_get (json, "tokens"));
  if (!json)
    soak_violation (s, "standin_responds", "", "engine-%d", i);
  count_response (s);
}

static void
on_final_load (Soak *s, int i, const json_t *json)
{
  if (json_integer_value (json_object_get (json, "running")) > 0
      || json_integer_value (json_object_get (json, "waiting")) > 0)
    soak_violation (s, "cancelled_request_stops_at_server", "", "engine-%d is busy without clients",
                    i);
  count_response (s);
}

static void
on_final_service_stats (Soak *s, int i, const json_t *json)
{
  final_check.runs[i] = json_incref (json_object_get (json, "runs"));
  if (!json)
    soak_violation (s, "standin_responds", "", "service-%d", i);
  count_response (s);
}

void
checks_run_final (Soak *s, LoopFn done, void *data)
{
  final_check.done = done;
  final_check.data = data;
  for (int i = 0; i < SOAK_ENGINES; i++)
    {
      send_query (s, ENGINE_PORT + i, "/admin/stats", i, on_final_engine_stats);
      send_query (s, ENGINE_PORT + i, "/load", i, on_final_load);
    }
  for (int i = 0; i < SOAK_SERVICES; i++)
    send_query (s, SERVICE_PORT + i, "/admin/stats", i, on_final_service_stats);
}

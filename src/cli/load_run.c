#include "cli/load_impl.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <talloc.h>

/* --- Requests ---------------------------------------------------------------------------- */

static void
count_error (LoadStats *stats, const char *kind)
{
  gint64 *n = g_hash_table_lookup (stats->errors, kind);

  if (!n)
    {
      n = g_new0 (gint64, 1);
      g_hash_table_insert (stats->errors, g_strdup (kind), n);
    }
  ++*n;
}

static void
on_token (LoadRequest *request, const char *event)
{
  LoadStats *stats = &request->run->stats[request->route][request->kind];
  int64_t now_us = loop_monotonic_us ();
  const char *timestamp = strstr (event, "\"sent_us\":");

  request->tokens++;
  stats->tokens++;
  if (request->tokens == 1)
    load_samples_add (&stats->first_token, now_us - request->started_us);
  else
    load_samples_add (&stats->between_tokens, now_us - request->last_token_us);
  request->last_token_us = now_us;
  if (timestamp)
    load_samples_add (&stats->token_delay, now_us - strtoll (timestamp + 10, NULL, 10));
}

static void
on_event (LoadRequest *request, const char *event)
{
  if (!strncmp (event, "data: [DONE]", 12))
    request->done_seen = true;
  else if (!strncmp (event, "event: error", 12))
    request->error_seen = true;
  else if (strstr (event, "\"content\""))
    on_token (request, event);
}

static void
on_stream_bytes (LoadRequest *request, const char *bytes, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      if (request->buffer_len < sizeof request->buffer - 1)
        request->buffer[request->buffer_len++] = bytes[i];
      if (bytes[i] != '\n' || request->buffer_len < 2
          || request->buffer[request->buffer_len - 2] != '\n')
        continue;
      request->buffer[request->buffer_len] = '\0';
      on_event (request, request->buffer);
      if (!request->error_seen) /* count_failure() reads the error event */
        request->buffer_len = 0;
    }
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  LoadRequest *request = data;
  size_t room = sizeof request->buffer - 1 - request->buffer_len;

  if (request->kind == LOAD_STREAM && http_exchange_status (exchange) == 200)
    {
      on_stream_bytes (request, bytes, len);
      return true;
    }
  if (len < room)
    room = len;
  memcpy (request->buffer + request->buffer_len, bytes, room);
  request->buffer_len += room;
  request->buffer[request->buffer_len] = '\0';
  return true;
}

static void
count_failure (LoadRequest *request, LoadStats *stats, HttpResult result, int status)
{
  static const char KIND_MEMBER[] = "\"kind\":\"";
  const char *at = strstr (request->buffer, KIND_MEMBER);
  char kind[64];

  if (at)
    snprintf (kind, sizeof kind, "%.*s", (int)strcspn (at + sizeof KIND_MEMBER - 1, "\""),
              at + sizeof KIND_MEMBER - 1);
  else if (result != HTTP_COMPLETE)
    snprintf (kind, sizeof kind, "exchange_%d", (int)result);
  else
    snprintf (kind, sizeof kind, "status_%d", status);
  count_error (stats, kind);
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  LoadRequest *request = data;
  LoadRun *run = request->run;
  LoadStats *stats = &run->stats[request->route][request->kind];
  int status = http_exchange_status (exchange);
  bool succeeded = result == HTTP_COMPLETE && status == 200;

  if (request->kind == LOAD_STREAM && status == 200 && !request->done_seen)
    {
      succeeded = false;
      stats->truncated++;
    }
  if (succeeded)
    {
      stats->succeeded++;
      load_samples_add (&stats->latency, loop_monotonic_us () - request->started_us);
    }
  else
    count_failure (request, stats, result, status);
  run->open_requests--;
  talloc_free (request);
}

static const HttpEvents EVENTS = { NULL, on_body, on_done };

/* --- Arrivals ---------------------------------------------------------------------------- */

static const char *
choose_target (LoadRun *run, char **list)
{
  return list[run->next_target++ % g_strv_length (list)];
}

static char *
model_body (LoadRun *run, const void *ctx, LoadKind kind)
{
  return talloc_asprintf (ctx,
                          "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{"
                          "\"role\":\"user\",\"content\":\"%.*s\"}]}",
                          run->options->model, kind == LOAD_STREAM ? "true" : "false",
                          run->options->max_tokens, run->options->prompt_bytes, run->prompt);
}

static char *
booking_key_header (LoadRun *run, const void *ctx)
{
  int64_t n = run->n_booking_keys;

  if (n > 0 && rng_chance (&run->rng, run->options->key_reuse))
    n = (int64_t)rng_below (&run->rng, (uint64_t)n);
  else
    run->n_booking_keys++;
  return talloc_asprintf (ctx, "Idempotency-Key: load-%" PRIu64 "-%" PRId64, run->options->seed, n);
}

static char *
request_url (LoadRun *run, const void *ctx, const LoadRequest *request)
{
  const LoadOptions *o = run->options;
  bool model = request->kind == LOAD_MODEL || request->kind == LOAD_STREAM;
  const char *path = request->kind == LOAD_BOOKING ? "/bookings" : "/schedules";

  if (request->route == LOAD_VIA_HOST && model)
    return talloc_asprintf (ctx, "http://%s/v1/chat/completions", choose_target (run, o->targets));
  if (request->route == LOAD_VIA_HOST)
    return talloc_asprintf (ctx, "http://%s/v1/pools/%s%s", choose_target (run, o->targets),
                            o->service, path);
  if (model)
    return talloc_asprintf (ctx, "http://%s/v1/chat/completions",
                            choose_target (run, o->direct_model));
  return talloc_asprintf (ctx, "http://%s%s", choose_target (run, o->direct_service), path);
}

static void
send_request (LoadRun *run, LoadRoute route, LoadKind kind)
{
  LoadRequest *request = talloc_zero (run, LoadRequest);
  const LoadOptions *o = run->options;
  void *tmp = talloc_new (request);
  const char *headers[6] = { "Content-Type: application/json" };
  HttpRequest http = { .method = kind == LOAD_LOOK_UP ? "GET" : "POST",
                       .headers = headers,
                       .n_headers = 1,
                       .connect_timeout_ms = 5000,
                       .timeout_ms = o->deadline_ms + 5000 };

  request->run = run;
  request->kind = kind;
  request->route = route;
  http.url = request_url (run, tmp, request);
  headers[http.n_headers++] = talloc_asprintf (tmp, "Authorization: Bearer %s", o->api_key);
  headers[http.n_headers++] = talloc_asprintf (tmp, "X-Deadline-Ms: %" PRId64, o->deadline_ms);
  if (o->budget[0])
    headers[http.n_headers++] = talloc_asprintf (tmp, "X-Budget: %s", o->budget);
  if (kind == LOAD_BOOKING)
    headers[http.n_headers++] = booking_key_header (run, tmp);
  if (kind == LOAD_MODEL || kind == LOAD_STREAM)
    http.body = model_body (run, tmp, kind);
  else if (kind == LOAD_BOOKING)
    http.body = "{\"booking\":true}";
  http.body_len = http.body ? strlen (http.body) : 0;
  request->started_us = loop_monotonic_us ();
  run->stats[route][kind].sent++;
  run->open_requests++;
  if (run->open_requests > run->peak_open_requests)
    run->peak_open_requests = run->open_requests;
  request->exchange = http_client_start (run->client, request, &http, &EVENTS, request);
  talloc_free (tmp);
}

static LoadKind
choose_kind (LoadRun *run)
{
  double total = 0;
  double at;

  for (int k = 0; k < LOAD_N_KINDS; k++)
    total += run->options->weights[k];
  at = rng_unit (&run->rng) * total;
  for (int k = 0; k < LOAD_N_KINDS; k++)
    {
      at -= run->options->weights[k];
      if (at < 0)
        return (LoadKind)k;
    }
  return LOAD_LOOK_UP;
}

static void
start_due_requests (LoadRun *run, LoadRoute route, double now_s)
{
  while (run->next_arrival_s[route] <= now_s && run->next_arrival_s[route] < run->options->seconds)
    {
      run->next_arrival_s[route] += rng_exponential (&run->rng, 1 / run->options->rate);
      if (run->open_requests >= run->options->max_open)
        run->skipped++;
      else
        send_request (run, route, choose_kind (run));
    }
}

static bool
has_route (const LoadOptions *o, LoadRoute route)
{
  return route == LOAD_VIA_HOST ? o->targets != NULL : o->direct_model || o->direct_service;
}

static bool
has_pending_arrivals (const LoadRun *run)
{
  for (int r = 0; r < LOAD_N_ROUTES; r++)
    if (has_route (run->options, (LoadRoute)r) && run->next_arrival_s[r] < run->options->seconds)
      return true;
  return false;
}

static void
on_tick (void *data)
{
  LoadRun *run = data;
  double now_s = (double)(loop_monotonic_us () - run->start_us) / 1e6;

  for (int r = 0; r < LOAD_N_ROUTES; r++)
    if (has_route (run->options, (LoadRoute)r))
      start_due_requests (run, (LoadRoute)r, now_s);
  timers_start (loop_timers (run->loop), run, 1, on_tick, run);
}

static void
free_stats (LoadStats *s)
{
  load_samples_free (&s->latency);
  load_samples_free (&s->first_token);
  load_samples_free (&s->between_tokens);
  load_samples_free (&s->token_delay);
  g_hash_table_destroy (s->errors);
}

json_t *
load_run (const LoadOptions *o)
{
  LoadRun *run;
  json_t *json;

  if (o->rate <= 0 || (!has_route (o, LOAD_VIA_HOST) && !has_route (o, LOAD_DIRECT)))
    return NULL;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  run = talloc_zero (NULL, LoadRun);
  run->options = o;
  run->loop = loop_new (run);
  run->client = http_client_new (run, run->loop);
  run->prompt = talloc_zero_size (run, (size_t)o->prompt_bytes + 1);
  memset (run->prompt, 'p', (size_t)o->prompt_bytes);
  rng_seed (&run->rng, o->seed);
  for (int r = 0; r < LOAD_N_ROUTES; r++)
    for (int k = 0; k < LOAD_N_KINDS; k++)
      run->stats[r][k].errors = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  run->start_us = loop_monotonic_us ();
  on_tick (run);
  while (run->open_requests > 0 || has_pending_arrivals (run))
    tevent_loop_once (loop_tevent (run->loop));
  json = load_results_json (run);
  for (int r = 0; r < LOAD_N_ROUTES; r++)
    for (int k = 0; k < LOAD_N_KINDS; k++)
      free_stats (&run->stats[r][k]);
  talloc_free (run);
  curl_global_cleanup ();
  return json;
}

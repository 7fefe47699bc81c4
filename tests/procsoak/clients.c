/* Callers of the hosts, and what must be true of each answer. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "procsoak.h"

#define CALLERS_PORT 100

/* After the deadline that the caller has told. */
#define SLACK_MS   1000
#define TIMEOUT_MS (SOAK_DEADLINE_MS + 3000)

/* A host that has run for this long has to take connections. */
#define STEADY_MS 3000

#define ROTATION_MS 2000

typedef enum
{
  REQUEST_MODEL,
  REQUEST_STREAM,
  REQUEST_BOOKING,
  REQUEST_LOOK_UP,
  REQUEST_KINDS
} RequestKind;

typedef struct
{
  Soak *soak;
  RequestKind kind;
  int host;
  int generation;
  int64_t begun_ms;
  int64_t prompt_bytes;
  int max_tokens;
  char key[48];
  char id[64];
  char *body;
  size_t len;
  HttpExchange *exchange;
} Request;

static const char *const KIND_NAMES[REQUEST_KINDS] = { "model", "stream", "booking", "look_up" };

static void
violate (const Request *r, const char *invariant, const char *detail)
{
  soak_violation (r->soak, invariant, r->id, "%s at host-%d, begun %" PRId64 " ms ago: %s",
                  KIND_NAMES[r->kind], r->host, soak_now_ms (r->soak) - r->begun_ms, detail);
}

/* @return whether its host was killed or did not run for some of the request's time. */
static bool
was_disturbed (const Request *r)
{
  const SoakHost *h = &r->soak->hosts[r->host];

  return h->killed_ms >= r->begun_ms || h->frozen || h->frozen_ms >= r->begun_ms;
}

/* --- Answers ----------------------------------------------------------------------------- */

static void
note_error (Request *r)
{
  json_t *json = json_loadb (r->body ? r->body : "", r->len, 0, NULL);
  json_t *error = json_object_get (json, "error");
  const char *outcome = json_string_value (json_object_get (error, "outcome"));

  if (!outcome)
    violate (r, "errors_say_the_outcome", r->body ? r->body : "");
  else if (!strcmp (outcome, "not_run") && r->kind == REQUEST_BOOKING)
    g_hash_table_insert (r->soak->bookings, g_strdup (r->key), GINT_TO_POINTER (BOOKING_NOT_RUN));
  else if (!strcmp (outcome, "not_run") && r->id[0])
    g_hash_table_add (r->soak->not_run, g_strdup (r->id));
  json_decref (json);
}

static void
check_model (Request *r)
{
  json_t *json = json_loadb (r->body ? r->body : "", r->len, 0, NULL);
  json_t *usage = json_object_get (json, "usage");
  int64_t prompt = json_integer_value (json_object_get (usage, "prompt_tokens"));
  int64_t tokens = json_integer_value (json_object_get (usage, "completion_tokens"));

  if (prompt != (r->prompt_bytes + 3) / 4 || tokens != r->max_tokens)
    violate (r, "whole_own_answer", r->body ? r->body : "");
  json_decref (json);
}

/* The stand-in numbers its tokens: one that is missing, double or of another stream shows. */
static void
check_stream (Request *r)
{
  const char *at = r->body ? r->body : "";
  const char *end = strstr (at, "data: [DONE]");
  int n = 0;

  while ((at = strstr (at, "\"content\":\"t")))
    {
      at += strlen ("\"content\":\"t");
      if (atoi (at) != ++n)
        {
          violate (r, "stream_in_order", r->body);
          return;
        }
    }
  if (end && n != r->max_tokens)
    violate (r, "whole_own_answer", r->body);
  if (!end && !strstr (r->body ? r->body : "", "event: error"))
    violate (r, "broken_stream_says_so", r->body ? r->body : "");
}

static void
check_booking (Request *r)
{
  if (!r->body || !strstr (r->body, r->key))
    violate (r, "whole_own_answer", r->body ? r->body : "");
  g_hash_table_insert (r->soak->bookings, g_strdup (r->key), GINT_TO_POINTER (BOOKING_DONE));
}

static void
check_answer (Request *r, int status)
{
  if (status != 200)
    {
      note_error (r);
      return;
    }
  r->soak->served++;
  if (r->kind == REQUEST_MODEL)
    check_model (r);
  else if (r->kind == REQUEST_STREAM)
    check_stream (r);
  else if (r->kind == REQUEST_BOOKING)
    check_booking (r);
}

static void
check_failure (Request *r, HttpResult result)
{
  const SoakHost *h = &r->soak->hosts[r->host];

  if (was_disturbed (r))
    return;
  if (result == HTTP_FAILED_CONNECT || result == HTTP_TIMED_OUT_CONNECT)
    {
      if (h->pid && h->generation == r->generation && !h->stopping
          && r->begun_ms - h->started_ms > STEADY_MS)
        violate (r, "running_host_takes_connections", "no connection");
      return;
    }
  violate (r,
           result >= HTTP_TIMED_OUT_CONNECT ? "final_answer_in_time" : "planned_work_cuts_nothing",
           result >= HTTP_TIMED_OUT_CONNECT ? "no answer" : "the connection broke");
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  Request *r = data;
  const char *id = http_exchange_header (exchange, "X-Request-Id");

  snprintf (r->id, sizeof r->id, "%s", id ? id : "");
  if (soak_now_ms (r->soak) - r->begun_ms > SOAK_DEADLINE_MS + SLACK_MS && !was_disturbed (r))
    violate (r, "final_answer_in_time", "late");
  if (result == HTTP_COMPLETE)
    check_answer (r, http_exchange_status (exchange));
  else
    check_failure (r, result);
  r->soak->open--;
  talloc_free (r);
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  Request *r = data;

  (void)exchange;
  r->body = talloc_realloc_size (r, r->body, r->len + len + 1);
  memcpy (r->body + r->len, bytes, len);
  r->len += len;
  r->body[r->len] = '\0';
  return true;
}

static const HttpEvents EVENTS = { NULL, on_body, on_done };

/* --- Requests ---------------------------------------------------------------------------- */

static char *
model_body (Request *r)
{
  Rng *rng = &r->soak->rng;
  char *prompt = talloc_zero_array (r, char, 600);

  r->prompt_bytes = 40 + (int64_t)rng_below (rng, 500);
  r->max_tokens = 5 + (int)rng_below (rng, 40);
  memset (prompt, 'a' + (int)rng_below (rng, 26), (size_t)r->prompt_bytes);
  return talloc_asprintf (r,
                          "{\"model\":\"modell-tjanst\",\"max_tokens\":%d%s,\"messages\":[{"
                          "\"role\":\"user\",\"content\":\"%s\"}]}",
                          r->max_tokens, r->kind == REQUEST_STREAM ? ",\"stream\":true" : "",
                          prompt);
}

static const char *
path_of (RequestKind kind)
{
  if (kind == REQUEST_BOOKING)
    return "/v1/pools/boknings-tjanst/bookings";
  return kind == REQUEST_LOOK_UP ? "/v1/pools/boknings-tjanst/schedules" : "/v1/chat/completions";
}

static RequestKind
draw_kind (Rng *rng)
{
  uint64_t n = rng_below (rng, 100);

  return n < 35   ? REQUEST_MODEL
         : n < 60 ? REQUEST_STREAM
         : n < 85 ? REQUEST_BOOKING
                  : REQUEST_LOOK_UP;
}

/* The caller gives up: the server's work has to end with it. */
static void
on_leave (void *data)
{
  Request *r = data;

  r->soak->open--;
  talloc_free (r);
}

/* A balancer takes a host that is not ready out of its rotation after 2 s. */
static int
draw_host (Soak *s)
{
  int n = s->options.n_hosts;
  int i = (int)rng_below (&s->rng, (uint64_t)n);

  for (int tried = 0; tried < n; tried++, i = (i + 1) % n)
    if (!s->hosts[i].stopping || soak_now_ms (s) - s->hosts[i].stop_ms < ROTATION_MS)
      break;
  return i;
}

static void
send_request (Soak *s)
{
  Request *r = talloc_zero (s, Request);
  char *key = NULL;
  char *deadline = talloc_asprintf (r, "X-Deadline-Ms: %d", SOAK_DEADLINE_MS);
  const char *headers[4] = { NULL, deadline };
  HttpRequest request = { .headers = headers,
                          .n_headers = 2,
                          .connect_timeout_ms = 1000,
                          .timeout_ms = TIMEOUT_MS,
                          .own_connection = true };

  r->soak = s;
  r->kind = draw_kind (&s->rng);
  headers[0] = r->kind <= REQUEST_STREAM ? "Authorization: Bearer " SOAK_MODEL_KEY
                                         : "Authorization: Bearer " SOAK_SERVICE_KEY;
  r->host = draw_host (s);
  r->generation = s->hosts[r->host].generation;
  r->begun_ms = soak_now_ms (s);
  snprintf (r->key, sizeof r->key, "b-%" PRIu64 "-%d", s->options.seed, s->requests++);
  key = talloc_asprintf (r, "Idempotency-Key: %s", r->key);
  if (r->kind == REQUEST_BOOKING)
    headers[request.n_headers++] = key;
  request.method = r->kind == REQUEST_LOOK_UP ? "GET" : "POST";
  request.url = talloc_asprintf (r, "http://127.0.0.1:%d%s", soak_port (s, CALLERS_PORT + r->host),
                                 path_of (r->kind));
  if (r->kind != REQUEST_LOOK_UP)
    request.body = r->kind == REQUEST_BOOKING ? "{\"court\":1}" : model_body (r);
  request.body_len = request.body ? strlen (request.body) : 0;
  if (r->kind == REQUEST_BOOKING)
    g_hash_table_insert (s->bookings, g_strdup (r->key), GINT_TO_POINTER (BOOKING_UNKNOWN));
  r->exchange = http_client_start (s->client, r, &request, &EVENTS, r);
  s->open++;
  if (r->kind <= REQUEST_STREAM && rng_chance (&s->rng, 0.1))
    timers_start (s->timers, r, 20 + (int64_t)rng_below (&s->rng, 400), on_leave, r);
}

static void
on_next (void *data)
{
  Soak *s = data;
  double wait = rng_exponential (&s->rng, 1000 / s->options.rate);

  if (s->ending)
    return;
  timers_start (s->timers, s, (int64_t)wait + 1, on_next, s);
  send_request (s);
}

void
callers_start (Soak *s)
{
  on_next (s);
}

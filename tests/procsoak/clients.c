/* Clients that send requests to the hosts and check each response. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "procsoak.h"

#define CLIENT_PORT 100

/* Allowed delay of a response after the deadline of the request. */
#define DEADLINE_SLACK_MS 1000
#define CLIENT_TIMEOUT_MS (SOAK_DEADLINE_MS + 3000)

/* A host must accept connections this long after its start. */
#define HOST_STARTUP_MS 3000

/* Time after which a load balancer sends no more requests to a draining host. */
#define BALANCER_DELAY_MS 2000

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
  int generation; /* of the host, when the request was sent */
  int64_t started_ms;
  int64_t prompt_bytes;
  int max_tokens;
  char key[48]; /* idempotency key */
  char id[64];  /* X-Request-Id of the response, "" for none */
  char *body;
  size_t len;
  HttpExchange *exchange;
} Request;

static const char *const KIND_NAMES[REQUEST_KINDS] = { "model", "stream", "booking", "look_up" };

static void
report_violation (const Request *r, const char *invariant, const char *detail)
{
  soak_violation (r->soak, invariant, r->id, "%s at host-%d, started %" PRId64 " ms ago: %s",
                  KIND_NAMES[r->kind], r->host, soak_now_ms (r->soak) - r->started_ms, detail);
}

/* @return true if the host exited without a completed drain, or was frozen, during the request. */
static bool
was_interrupted (const Request *r)
{
  const SoakHost *h = &r->soak->hosts[r->host];

  return h->killed_ms >= r->started_ms || h->frozen || h->freeze_changed_ms >= r->started_ms;
}

/* --- Responses --------------------------------------------------------------------------- */

static bool
promises_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* A status that promises so counts whatever the body says: clients may send the request again because of either. */
static void
check_error_response (Request *r, int status)
{
  json_t *json = json_loadb (r->body ? r->body : "", r->len, 0, NULL);
  json_t *error = json_object_get (json, "error");
  const char *outcome = json_string_value (json_object_get (error, "outcome"));
  bool not_run = promises_not_run (status) || (outcome && !strcmp (outcome, "not_run"));

  if (!outcome)
    report_violation (r, "error_has_outcome", r->body ? r->body : "");
  if (not_run && r->kind == REQUEST_BOOKING)
    g_hash_table_insert (r->soak->bookings, g_strdup (r->key), GINT_TO_POINTER (BOOKING_NOT_RUN));
  else if (not_run && r->id[0])
    g_hash_table_add (r->soak->not_run_ids, g_strdup (r->id));
  json_decref (json);
}

static void
check_model_response (Request *r)
{
  json_t *json = json_loadb (r->body ? r->body : "", r->len, 0, NULL);
  json_t *usage = json_object_get (json, "usage");
  int64_t prompt = json_integer_value (json_object_get (usage, "prompt_tokens"));
  int64_t tokens = json_integer_value (json_object_get (usage, "completion_tokens"));

  if (prompt != (r->prompt_bytes + 3) / 4 || tokens != r->max_tokens)
    report_violation (r, "complete_matching_response", r->body ? r->body : "");
  json_decref (json);
}

/* What the account's promise is about: the input of a request that delivered something, once, and the output that it has
 * delivered. @param output tokens that the client has */
static void
count_delivered (Request *r, int64_t output)
{
  if (output == 0)
    return;
  r->soak->delivered_tokens += (r->prompt_bytes + 3) / 4 + output;
  g_hash_table_add (r->soak->delivered_ids, g_strdup (r->id));
}

static int
count_events (const Request *r)
{
  const char *at = r->body ? r->body : "";
  int n = 0;

  while ((at = strstr (at, "\"content\":\"t")))
    {
      at++;
      n++;
    }
  return n;
}

/* To be called when the request ends, however it does. */
static void
count_tokens (Request *r, bool complete, int status)
{
  if (r->kind == REQUEST_STREAM)
    count_delivered (r, count_events (r));
  else if (r->kind == REQUEST_MODEL && complete && status == 200)
    count_delivered (r, r->max_tokens);
}

/* The stand-in numbers its tokens, so tokens that are missing, duplicated or from another stream are detected. */
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
          report_violation (r, "stream_in_order", r->body);
          return;
        }
    }
  if (end && n != r->max_tokens)
    report_violation (r, "complete_matching_response", r->body);
  if (!end && !strstr (r->body ? r->body : "", "event: error"))
    report_violation (r, "truncated_stream_has_error_event", r->body ? r->body : "");
}

static void
check_booking_response (Request *r)
{
  if (!r->body || !strstr (r->body, r->key))
    report_violation (r, "complete_matching_response", r->body ? r->body : "");
  g_hash_table_insert (r->soak->bookings, g_strdup (r->key), GINT_TO_POINTER (BOOKING_DONE));
}

static void
check_response (Request *r, int status)
{
  if (status != 200)
    {
      check_error_response (r, status);
      return;
    }
  r->soak->completed++;
  if (r->kind == REQUEST_MODEL)
    check_model_response (r);
  else if (r->kind == REQUEST_STREAM)
    check_stream (r);
  else if (r->kind == REQUEST_BOOKING)
    check_booking_response (r);
}

static void
check_failure (Request *r, HttpResult result)
{
  const SoakHost *h = &r->soak->hosts[r->host];

  if (was_interrupted (r))
    return;
  if (result == HTTP_FAILED_CONNECT || result == HTTP_TIMED_OUT_CONNECT)
    {
      if (h->pid && h->generation == r->generation && !h->draining
          && r->started_ms - h->started_ms > HOST_STARTUP_MS)
        report_violation (r, "running_host_accepts_connections", "no connection");
      return;
    }
  report_violation (r,
                    result >= HTTP_TIMED_OUT_CONNECT ? "response_before_deadline"
                                                     : "planned_changes_interrupt_no_request",
                    result >= HTTP_TIMED_OUT_CONNECT ? "no response" : "the connection was closed");
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  Request *r = data;
  const char *id = http_exchange_header (exchange, "X-Request-Id");

  snprintf (r->id, sizeof r->id, "%s", id ? id : "");
  count_tokens (r, result == HTTP_COMPLETE, http_exchange_status (exchange));
  if (soak_now_ms (r->soak) - r->started_ms > SOAK_DEADLINE_MS + DEADLINE_SLACK_MS
      && !was_interrupted (r))
    report_violation (r, "response_before_deadline", "late");
  if (result == HTTP_COMPLETE)
    check_response (r, http_exchange_status (exchange));
  else
    check_failure (r, result);
  r->soak->open_requests--;
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
request_path (RequestKind kind)
{
  if (kind == REQUEST_BOOKING)
    return "/v1/pools/boknings-tjanst/bookings";
  return kind == REQUEST_LOOK_UP ? "/v1/pools/boknings-tjanst/schedules" : "/v1/chat/completions";
}

static RequestKind
random_kind (Rng *rng)
{
  uint64_t n = rng_below (rng, 100);

  return n < 35   ? REQUEST_MODEL
         : n < 60 ? REQUEST_STREAM
         : n < 85 ? REQUEST_BOOKING
                  : REQUEST_LOOK_UP;
}

/* The client closes its connection before the response. The server must then stop working on the request. */
static void
on_client_cancel (void *data)
{
  Request *r = data;
  const char *id = http_exchange_header (r->exchange, "X-Request-Id");

  snprintf (r->id, sizeof r->id, "%s", id ? id : "");
  count_tokens (r, false, 0);
  r->soak->open_requests--;
  talloc_free (r);
}

/* Like a load balancer, skips hosts that have been draining for BALANCER_DELAY_MS. */
static int
choose_host (Soak *s)
{
  int n = s->options.n_hosts;
  int i = (int)rng_below (&s->rng, (uint64_t)n);

  for (int tried = 0; tried < n; tried++, i = (i + 1) % n)
    if (!s->hosts[i].draining || soak_now_ms (s) - s->hosts[i].drain_started_ms < BALANCER_DELAY_MS)
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
                          .timeout_ms = CLIENT_TIMEOUT_MS,
                          .own_connection = true };

  r->soak = s;
  r->kind = random_kind (&s->rng);
  headers[0] = r->kind <= REQUEST_STREAM ? "Authorization: Bearer " SOAK_MODEL_KEY
                                         : "Authorization: Bearer " SOAK_SERVICE_KEY;
  r->host = choose_host (s);
  r->generation = s->hosts[r->host].generation;
  r->started_ms = soak_now_ms (s);
  snprintf (r->key, sizeof r->key, "b-%" PRIu64 "-%d", s->options.seed, s->requests++);
  key = talloc_asprintf (r, "Idempotency-Key: %s", r->key);
  if (r->kind == REQUEST_BOOKING)
    headers[request.n_headers++] = key;
  request.method = r->kind == REQUEST_LOOK_UP ? "GET" : "POST";
  request.url = talloc_asprintf (r, "http://127.0.0.1:%d%s", soak_port (s, CLIENT_PORT + r->host),
                                 request_path (r->kind));
  if (r->kind != REQUEST_LOOK_UP)
    request.body = r->kind == REQUEST_BOOKING ? "{\"court\":1}" : model_body (r);
  request.body_len = request.body ? strlen (request.body) : 0;
  if (r->kind == REQUEST_BOOKING)
    g_hash_table_insert (s->bookings, g_strdup (r->key), GINT_TO_POINTER (BOOKING_UNKNOWN));
  r->exchange = http_client_start (s->client, r, &request, &EVENTS, r);
  s->open_requests++;
  if (r->kind <= REQUEST_STREAM && rng_chance (&s->rng, 0.1))
    timers_start (s->timers, r, 20 + (int64_t)rng_below (&s->rng, 400), on_client_cancel, r);
}

static void
on_next_arrival (void *data)
{
  Soak *s = data;
  double wait = rng_exponential (&s->rng, 1000 / s->options.rate);

  if (s->requests_ended)
    return;
  timers_start (s->timers, s, (int64_t)wait + 1, on_next_arrival, s);
  send_request (s);
}

void
clients_start (Soak *s)
{
  on_next_arrival (s);
}

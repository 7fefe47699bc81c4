#include "platform/platform_call.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#define HTTP_OK                  200
#define HTTP_SERVICE_UNAVAILABLE 503
#define FIRST_SERVER_ERROR       500

typedef struct
{
  PlatformRoute *route;
  CallRequest request;
  CallFn fn;
  void *data;
  size_t address;
  size_t tried;
  HttpExchange *exchange;
  char *body;
  size_t body_len;
  bool too_long;
} Call;

static void attempt (Call *call);

/* The caller may free the platform, and with it the call, in its callback. */
static void
report (Call *call, const CallAnswer *answer)
{
  CallFn fn = call->fn;
  void *data = call->data;

  talloc_steal (NULL, call);
  fn (data, answer);
  talloc_free (call);
}

static bool
may_try_next (const Call *call, CallOutcome outcome)
{
  if (call->tried >= call->route->n)
    return false;
  return outcome == CALL_NOT_EXECUTED || (outcome == CALL_NO_ANSWER && call->request.repeatable);
}

static void
end_attempt (Call *call, const CallAnswer *answer)
{
  if (may_try_next (call, answer->outcome))
    {
      call->address = (call->address + 1) % call->route->n;
      attempt (call);
      return;
    }
  if (answer->outcome == CALL_ANSWERED)
    call->route->preferred = call->address;
  report (call, answer);
}

static void
not_started (void *data)
{
  CallAnswer answer = { .outcome = CALL_NOT_EXECUTED };

  end_attempt (data, &answer);
}

static CallOutcome
outcome_of (HttpResult result, int status, const json_t *json)
{
  if (result == HTTP_FAILED_CONNECT || result == HTTP_TIMED_OUT_CONNECT)
    return CALL_NOT_EXECUTED;
  if (result != HTTP_COMPLETE)
    return CALL_NO_ANSWER;
  if (status == HTTP_SERVICE_UNAVAILABLE && json_is_false (json_object_get (json, "executed")))
    return CALL_NOT_EXECUTED;
  return status < HTTP_OK || status >= FIRST_SERVER_ERROR ? CALL_NO_ANSWER : CALL_ANSWERED;
}

static int64_t
retry_after_ms (HttpExchange *exchange)
{
  const char *text = http_exchange_header (exchange, "Retry-After");
  long seconds = text ? strtol (text, NULL, 10) : 0;

  return seconds > 0 && seconds < 1000000 ? seconds * 1000 : 0;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  Call *call = data;
  json_t *json = NULL;
  CallAnswer answer
      = { .status = http_exchange_status (exchange), .retry_after_ms = retry_after_ms (exchange) };

  if (result == HTTP_COMPLETE && call->body && !call->too_long)
    json = json_loadb (call->body, call->body_len, 0, NULL);
  answer.json = json;
  answer.outcome = outcome_of (result, answer.status, json);
  TALLOC_FREE (call->exchange);
  end_attempt (call, &answer);
  json_decref (json);
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  Call *call = data;

  (void)exchange;
  if (call->too_long || call->body_len + len > call->route->max_answer_bytes)
    {
      call->too_long = true;
      return true;
    }
  call->body = talloc_realloc (call, call->body, char, call->body_len + len + 1);
  memcpy (call->body + call->body_len, bytes, len);
  call->body_len += len;
  return true;
}

static const HttpEvents EVENTS = { NULL, on_body, on_done };

static void
attempt (Call *call)
{
  static const char *const HEADERS[] = { "Content-Type: application/json" };
  const CallRequest *r = &call->request;
  HttpRequest http = { .method = r->method,
                       .headers = HEADERS,
                       .n_headers = r->body ? 1 : 0,
                       .body = r->body,
                       .body_len = r->body ? strlen (r->body) : 0,
                       .connect_timeout_ms = call->route->connect_timeout_ms,
                       .timeout_ms = r->timeout_ms,
                       .own_connection = !r->repeatable };
  char *url = talloc_asprintf (call, "http://%s%s", call->route->addresses[call->address], r->path);

  call->tried++;
  call->body_len = 0;
  call->too_long = false;
  http.url = url;
  call->exchange = http_client_start (call->route->client, call, &http, &EVENTS, call);
  talloc_free (url);
  if (!call->exchange)
    timers_start (call->route->timers, call, 0, not_started, call);
}

void
platform_call_start (const void *ctx, PlatformRoute *route, const CallRequest *request, CallFn fn,
                     void *data)
{
  Call *call = talloc_zero (ctx, Call);

  call->route = route;
  call->request = *request;
  call->request.path = talloc_strdup (call, request->path);
  call->request.body = request->body ? talloc_strdup (call, request->body) : NULL;
  call->fn = fn;
  call->data = data;
  call->address = route->preferred;
  attempt (call);
}

#include "cli/host_states.h"

#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "fleet/registry.h"

#define HOSTS_AT_ONCE      32
#define CONNECT_TIMEOUT_MS 1000
#define ANSWER_TIMEOUT_MS  3000
#define ANSWER_MAX_BYTES   (4 << 20)

typedef struct
{
  HostStates *owner;
  HostState *state;
  char *body;
  size_t len;
} Question;

struct HostStates
{
  HttpClient *client;
  HostState *hosts;
  size_t n;
  size_t next;
  size_t open;
  HostStatesFn done;
  void *data;
};

static char *
text_of (const void *ctx, const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return talloc_strdup (ctx, text ? text : "");
}

bool
host_state_parse (const void *ctx, const char *text, size_t len, HostState *state)
{
  json_t *json = json_loadb (text, len, 0, NULL);
  const char *host;
  json_int_t version;
  int ready;
  bool ok
      = json
        && !json_unpack (json, "{s:s,s:I,s:b}", "host", &host, "version", &version, "ready", &ready)
        && (!state->name || !strcmp (host, state->name));

  if (ok)
    {
      if (!state->name)
        state->name = talloc_strdup (ctx, host);
      state->heard = true;
      state->version = version;
      state->ready = ready != 0;
      state->incarnation = text_of (ctx, json, "incarnation");
      state->phase = text_of (ctx, json, "phase");
      state->open_requests = json_integer_value (json_object_get (json, "open_requests"));
    }
  json_decref (json);
  return ok;
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  Question *q = data;

  (void)exchange;
  if (q->len + len > ANSWER_MAX_BYTES)
    return true;
  q->body = talloc_realloc (q, q->body, char, q->len + len);
  memcpy (q->body + q->len, bytes, len);
  q->len += len;
  return true;
}

static void ask_next (HostStates *s);

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  Question *q = data;
  HostStates *s = q->owner;

  if (result == HTTP_COMPLETE && http_exchange_status (exchange) == 200 && q->body)
    host_state_parse (s, q->body, q->len, q->state);
  talloc_free (q);
  s->open--;
  ask_next (s);
}

static bool
ask (HostStates *s, HostState *state)
{
  static const HttpEvents EVENTS = { .body = on_body, .done = on_done };
  Question *q = talloc_zero (s, Question);
  HttpRequest request = { .method = "GET",
                          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                          .timeout_ms = ANSWER_TIMEOUT_MS };

  q->owner = s;
  q->state = state;
  request.url = talloc_asprintf (q, "http://%s/v1/state", state->operators);
  if (http_client_start (s->client, q, &request, &EVENTS, q))
    return true;
  talloc_free (q);
  return false;
}

static void
ask_next (HostStates *s)
{
  while (s->open < HOSTS_AT_ONCE && s->next < s->n)
    if (ask (s, &s->hosts[s->next++]))
      s->open++;
  if (s->open == 0)
    s->done (s->data, s->hosts, s->n);
}

static void
start (void *data)
{
  ask_next (data);
}

static void
add_host (HostStates *s, const StoreRow *row)
{
  json_t *json = registry_row_parse (row);

  if (json)
    s->hosts[s->n++] = (HostState){ .name = talloc_strdup (s, row->key.name),
                                    .data_centre = text_of (s, json, "data_centre"),
                                    .operators = text_of (s, json, "operators") };
  json_decref (json);
}

HostStates *
host_states_ask (const void *ctx, HttpClient *client, Timers *timers, const StoreRow *rows,
                 size_t n, HostStatesFn done, void *data)
{
  HostStates *s = talloc_zero (ctx, HostStates);

  s->client = client;
  s->done = done;
  s->data = data;
  s->hosts = talloc_zero_array (s, HostState, n + 1);
  for (size_t i = 0; i < n; i++)
    add_host (s, &rows[i]);
  timers_start (timers, s, 0, start, s);
  return s;
}

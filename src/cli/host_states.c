#include "cli/host_states.h"

#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "fleet/registry.h"

#define MAX_IN_FLIGHT       32
#define CONNECT_TIMEOUT_MS  1000
#define RESPONSE_TIMEOUT_MS 3000
#define MAX_RESPONSE_BYTES  (4 << 20)

typedef struct
{
  HostStatesQuery *query;
  HostState *state;
  bool is_summary; /* a host of an earlier version has no summary: its whole state is read */
  char *body;
  size_t len;
} StateRequest;

struct HostStatesQuery
{
  HttpClient *client;
  HostState *hosts;
  size_t n;
  size_t next_host;
  size_t in_flight;
  HostStatesFn done;
  void *data;
};

static char *
string_member (const void *ctx, const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return talloc_strdup (ctx, text ? text : "");
}

static char *
list_member (const void *ctx, const json_t *json, const char *name)
{
  char *names = talloc_strdup (ctx, "");
  const json_t *list = json_object_get (json, name);

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const char *text = json_string_value (json_array_get (list, i));

      if (text)
        names = talloc_asprintf_append (names, "%s%s", names[0] ? "," : "", text);
    }
  return names;
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
      state->responded = true;
      state->version = version;
      state->ready = ready != 0;
      state->incarnation = string_member (ctx, json, "incarnation");
      state->phase = string_member (ctx, json, "phase");
      state->evacuated = list_member (ctx, json, "evacuated");
      state->open_requests = json_integer_value (json_object_get (json, "open_requests"));
    }
  json_decref (json);
  return ok;
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  StateRequest *r = data;

  (void)exchange;
  if (r->len + len > MAX_RESPONSE_BYTES)
    return true;
  r->body = talloc_realloc (r, r->body, char, r->len + len);
  memcpy (r->body + r->len, bytes, len);
  r->len += len;
  return true;
}

static bool start_request (HostStatesQuery *s, HostState *state, bool is_summary);
static void start_requests (HostStatesQuery *s);

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  StateRequest *r = data;
  HostStatesQuery *s = r->query;
  HostState *state = r->state;
  int status = result == HTTP_COMPLETE ? http_exchange_status (exchange) : 0;
  bool retry = status == 404 && r->is_summary;

  if (status == 200 && r->body)
    host_state_parse (s, r->body, r->len, state);
  talloc_free (r);
  if (retry && start_request (s, state, false))
    return;
  s->in_flight--;
  start_requests (s);
}

static bool
start_request (HostStatesQuery *s, HostState *state, bool is_summary)
{
  static const HttpEvents EVENTS = { .body = on_body, .done = on_done };
  StateRequest *r = talloc_zero (s, StateRequest);
  HttpRequest request = { .method = "GET",
                          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                          .timeout_ms = RESPONSE_TIMEOUT_MS };

  r->query = s;
  r->state = state;
  r->is_summary = is_summary;
  request.url = talloc_asprintf (r, "http://%s/v1/%s", state->operator_address,
                                 is_summary ? "summary" : "state");
  if (http_client_start (s->client, r, &request, &EVENTS, r))
    return true;
  talloc_free (r);
  return false;
}

static void
start_requests (HostStatesQuery *s)
{
  while (s->in_flight < MAX_IN_FLIGHT && s->next_host < s->n)
    if (start_request (s, &s->hosts[s->next_host++], true))
      s->in_flight++;
  if (s->in_flight == 0)
    s->done (s->data, s->hosts, s->n);
}

static void
on_start (void *data)
{
  start_requests (data);
}

static void
add_host (HostStatesQuery *s, const StoreRow *row)
{
  json_t *json = registry_row_parse (row);

  if (json)
    s->hosts[s->n++] = (HostState){ .name = talloc_strdup (s, row->key.name),
                                    .data_centre = string_member (s, json, "data_centre"),
                                    .operator_address = string_member (s, json, "operators") };
  json_decref (json);
}

HostStatesQuery *
host_states_query (const void *ctx, HttpClient *client, Timers *timers, const StoreRow *rows,
                   size_t n, HostStatesFn done, void *data)
{
  HostStatesQuery *s = talloc_zero (ctx, HostStatesQuery);

  s->client = client;
  s->done = done;
  s->data = data;
  s->hosts = talloc_zero_array (s, HostState, n + 1);
  for (size_t i = 0; i < n; i++)
    add_host (s, &rows[i]);
  timers_start (timers, s, 0, on_start, s);
  return s;
}

#include "standin.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <unistd.h>

#include <talloc.h>

#define MAX_BODY_BYTES ((size_t)16 << 20)

static char *exit_on; /* NULL: never */

static const char *const FAULT_NAMES[N_FAULTS]
    = { "refuse",   "close_before", "close_mid",      "silent",
        "wrong_id", "slow",         "run_then_close", "run_then_refuse" };

static void
report_load (void *data)
{
  Standin *s = data;
  Timers *timers = loop_timers (s->loop);

  s->reported = s->load;
  s->reported_ms = timers_now_ms (timers);
  timers_start (timers, s, s->load_interval_ms, report_load, s);
}

Standin *
standin_new (int argc, char **argv, const GOptionEntry *entries, const HttpServerEvents *events,
             void *data)
{
  char *listen = NULL;
  int load_interval = 100;
  const GOptionEntry shared_entries[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address", "IP:PORT" },
          { "exit-on", 0, 0, G_OPTION_ARG_STRING, &exit_on,
            "End the process when a request's body contains this", "TEXT" },
          { "load-lag-ms", 0, 0, G_OPTION_ARG_INT, &load_interval, "Interval between load reports",
            "MS" },
          { 0 } };
  GOptionContext *options = g_option_context_new (NULL);
  GError *error = NULL;
  Standin *s = talloc_zero (NULL, Standin);
  HttpServerOptions server = { .max_body_bytes = MAX_BODY_BYTES,
                               .max_header_bytes = 16384,
                               .read_timeout_ms = 60000,
                               .max_connections = 8000,
                               .events = events,
                               .data = data };

  g_option_context_add_main_entries (options, shared_entries, NULL);
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return NULL;
    }
  g_option_context_free (options);
  s->load_interval_ms = load_interval;
  s->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->loop = loop_new (s);
  server.listen = listen ? listen : "127.0.0.1:0";
  s->server = http_server_new (s, s->loop, &server);
  if (!s->server)
    {
      fprintf (stderr, "cannot listen on %s\n", server.listen);
      return NULL;
    }
  g_free (listen);
  report_load (s);
  return s;
}

static Loop *running_loop;

static void
on_sigterm (struct tevent_context *ev, struct tevent_signal *se, int signum, int count, void *info,
            void *data)
{
  (void)ev;
  (void)se;
  (void)signum;
  (void)count;
  (void)info;
  (void)data;
  loop_stop (running_loop);
}

int
standin_run (Standin *s)
{
  running_loop = s->loop;
  signal (SIGPIPE, SIG_IGN);
  tevent_add_signal (loop_tevent (s->loop), s, SIGTERM, 0, on_sigterm, NULL);
  printf ("ready port=%u\n", http_server_port (s->server));
  fflush (stdout);
  loop_run (s->loop);
  return 0;
}

bool
standin_take_fault (Standin *s, FaultKind kind)
{
  if (s->faults[kind] == 0)
    return false;
  if (s->faults[kind] > 0)
    s->faults[kind]--;
  return true;
}

StandinRequestCounts *
standin_request_counts (Standin *s, const char *id)
{
  StandinRequestCounts *c = g_hash_table_lookup (s->by_id, id);

  if (!c)
    {
      c = g_new0 (StandinRequestCounts, 1);
      g_hash_table_insert (s->by_id, g_strdup (id), c);
    }
  return c;
}

char *
standin_response_id (Standin *s, const void *ctx, HttpCall *call)
{
  const char *id = http_call_header (call, "X-Request-Id");

  if (standin_take_fault (s, FAULT_WRONG_ID))
    return talloc_strdup (ctx, "id-of-another-request");
  return talloc_strdup (ctx, id ? id : "");
}

void
standin_format_load (Standin *s, char *text, size_t size)
{
  snprintf (text, size, "running=%d waiting=%d cache=%.2f leaving=%d limit=%.3f age_ms=%" PRId64,
            s->reported.running, s->reported.waiting, s->reported.cache_usage, s->draining,
            s->limit_requests_per_s, timers_now_ms (loop_timers (s->loop)) - s->reported_ms);
}

void
standin_respond (Standin *s, HttpCall *call, int status, const char *id, const char *json)
{
  char load[128];
  HttpHeader headers[]
      = { { "Content-Type", "application/json" }, { "X-Pond-Load", load }, { "X-Request-Id", id } };

  standin_format_load (s, load, sizeof load);
  http_call_respond (call, status, headers, id[0] ? 3 : 2, json, strlen (json));
}

/* Body, for example: {"refuse": 2, "slow": -1, "leaving": true, "limit": 1.5}. A number is the count of further
 * requests that the fault applies to, -1 for all; "leaving" sets whether the server is draining, "limit" the limit that
 * it states. */
static void
set_faults (Standin *s, HttpCall *call)
{
  size_t len;
  const char *body = http_call_body (call, &len);
  json_t *json = json_loadb (body, len, 0, NULL);
  json_t *draining = json_object_get (json, "leaving");
  json_t *limit = json_object_get (json, "limit");

  for (int k = 0; json && k < N_FAULTS; k++)
    {
      json_t *n = json_object_get (json, FAULT_NAMES[k]);

      if (json_is_integer (n))
        s->faults[k] = (int)json_integer_value (n);
    }
  if (json_is_number (limit))
    s->limit_requests_per_s = json_number_value (limit);
  if (json_is_boolean (draining))
    s->draining = json_is_true (draining);
  standin_respond (s, call, json ? 200 : 400, "", "{}");
  json_decref (json);
}

static void
respond_stats (Standin *s, HttpCall *call)
{
  json_t *ids = json_object ();
  json_t *json;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  char *text;

  g_hash_table_iter_init (&iter, s->by_id);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const StandinRequestCounts *c = value;

      json_object_set_new (ids, key,
                           json_pack ("{s:i,s:i,s:i,s:I}", "started", c->started, "finished",
                                      c->finished, "cancelled", c->cancelled, "tokens",
                                      (json_int_t)c->tokens));
    }
  json = json_pack ("{s:I,s:I,s:I,s:I,s:I,s:o}", "started", (json_int_t)s->started, "tokens",
                    (json_int_t)s->tokens, "finished", (json_int_t)s->finished, "cancelled",
                    (json_int_t)s->cancelled, "refused", (json_int_t)s->refused, "by_id", ids);
  text = json_dumps (json, JSON_COMPACT);
  standin_respond (s, call, 200, "", text);
  free (text);
  json_decref (json);
}

static void
respond_load (Standin *s, HttpCall *call)
{
  char text[192];

  snprintf (text, sizeof text,
            "{\"running\":%d,\"waiting\":%d,\"cache\":%.2f,\"leaving\":%s,\"age_ms\":%" PRId64 "}",
            s->reported.running, s->reported.waiting, s->reported.cache_usage,
            s->draining ? "true" : "false", timers_now_ms (loop_timers (s->loop)) - s->reported_ms);
  standin_respond (s, call, 200, "", text);
}

static void
exit_if_asked (HttpCall *call)
{
  size_t len;
  const char *body = http_call_body (call, &len);

  if (exit_on && body && memmem (body, len, exit_on, strlen (exit_on)))
    _exit (3);
}

bool
standin_handle_common (Standin *s, HttpCall *call)
{
  const char *target = http_call_target (call);
  bool post = !strcmp (http_call_method (call), "POST");
  char *id;

  exit_if_asked (call);
  if (post && !strcmp (target, "/admin/faults"))
    set_faults (s, call);
  else if (!strcmp (target, "/admin/stats"))
    respond_stats (s, call);
  else if (!strcmp (target, "/load"))
    respond_load (s, call);
  else if (s->draining || standin_take_fault (s, FAULT_REFUSE))
    {
      s->refused++;
      id = standin_response_id (s, call, call);
      standin_respond (s, call, 503, id,
                       s->draining ? "{\"executed\":false,\"leaving\":true}"
                                   : "{\"executed\":false}");
    }
  else if (standin_take_fault (s, FAULT_CLOSE_BEFORE_RUN))
    http_call_abort (call);
  else if (!standin_take_fault (s, FAULT_NO_RESPONSE))
    return false;
  return true;
}

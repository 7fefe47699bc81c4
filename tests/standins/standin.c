#include "standin.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#define MAX_BODY ((size_t)16 << 20)

static const char *const FAULT_NAMES[FAULT_KINDS]
    = { "refuse", "close_before", "close_mid", "silent", "wrong_id", "slow", "run_then_close" };

static void
report_load (void *data)
{
  Standin *s = data;
  Timers *timers = loop_timers (s->loop);

  s->reported = s->load;
  s->reported_ms = timers_now_ms (timers);
  timers_start (timers, s, s->load_lag_ms, report_load, s);
}

Standin *
standin_new (int argc, char **argv, const GOptionEntry *entries, const HttpServerEvents *events,
             void *data)
{
  char *listen = NULL;
  int lag = 100;
  const GOptionEntry shared[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address", "IP:PORT" },
          { "load-lag-ms", 0, 0, G_OPTION_ARG_INT, &lag, "Age of the reported load", "MS" },
          { 0 } };
  GOptionContext *options = g_option_context_new (NULL);
  GError *error = NULL;
  Standin *s = talloc_zero (NULL, Standin);
  HttpServerOptions server = { .max_body_bytes = MAX_BODY,
                               .max_header_bytes = 16384,
                               .read_timeout_ms = 60000,
                               .max_connections = 8000,
                               .events = events,
                               .data = data };

  g_option_context_add_main_entries (options, shared, NULL);
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return NULL;
    }
  g_option_context_free (options);
  s->load_lag_ms = lag;
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

static Loop *running;

static void
on_term (struct tevent_context *ev, struct tevent_signal *se, int signum, int count, void *info,
         void *data)
{
  (void)ev;
  (void)se;
  (void)signum;
  (void)count;
  (void)info;
  (void)data;
  loop_stop (running);
}

int
standin_run (Standin *s)
{
  running = s->loop;
  signal (SIGPIPE, SIG_IGN);
  tevent_add_signal (loop_tevent (s->loop), s, SIGTERM, 0, on_term, NULL);
  printf ("ready port=%u\n", http_server_port (s->server));
  fflush (stdout);
  loop_run (s->loop);
  return 0;
}

bool
standin_fault (Standin *s, FaultKind kind)
{
  if (s->faults[kind] == 0)
    return false;
  if (s->faults[kind] > 0)
    s->faults[kind]--;
  return true;
}

StandinCount *
standin_count (Standin *s, const char *id)
{
  StandinCount *c = g_hash_table_lookup (s->by_id, id);

  if (!c)
    {
      c = g_new0 (StandinCount, 1);
      g_hash_table_insert (s->by_id, g_strdup (id), c);
    }
  return c;
}

char *
standin_id (Standin *s, const void *ctx, HttpCall *call)
{
  const char *id = http_call_header (call, "X-Request-Id");

  if (standin_fault (s, FAULT_WRONG_ID))
    return talloc_strdup (ctx, "id-of-another-request");
  return talloc_strdup (ctx, id ? id : "");
}

void
standin_load_text (Standin *s, char *text, size_t size)
{
  snprintf (text, size, "running=%d waiting=%d cache=%.2f leaving=%d age_ms=%" PRId64,
            s->reported.running, s->reported.waiting, s->reported.cache_used, s->leaving,
            timers_now_ms (loop_timers (s->loop)) - s->reported_ms);
}

void
standin_answer (Standin *s, HttpCall *call, int status, const char *id, const char *json)
{
  char load[128];
  HttpHeader headers[]
      = { { "Content-Type", "application/json" }, { "X-Pond-Load", load }, { "X-Request-Id", id } };

  standin_load_text (s, load, sizeof load);
  http_call_respond (call, status, headers, id[0] ? 3 : 2, json, strlen (json));
}

/* {"refuse": 2, "slow": -1, "leaving": true}: requests to apply each to. */
static void
set_faults (Standin *s, HttpCall *call)
{
  size_t len;
  const char *body = http_call_body (call, &len);
  json_t *json = json_loadb (body, len, 0, NULL);
  json_t *leaving = json_object_get (json, "leaving");

  for (int k = 0; json && k < FAULT_KINDS; k++)
    {
      json_t *n = json_object_get (json, FAULT_NAMES[k]);

      if (json_is_integer (n))
        s->faults[k] = (int)json_integer_value (n);
    }
  if (json_is_boolean (leaving))
    s->leaving = json_is_true (leaving);
  standin_answer (s, call, json ? 200 : 400, "", "{}");
  json_decref (json);
}

static void
answer_stats (Standin *s, HttpCall *call)
{
  json_t *ids = json_object ();
  json_t *json;
  GHashTableIter it;
  gpointer key;
  gpointer value;
  char *text;

  g_hash_table_iter_init (&it, s->by_id);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const StandinCount *c = value;

      json_object_set_new (ids, key,
                           json_pack ("{s:i,s:i,s:i}", "started", c->started, "finished",
                                      c->finished, "cancelled", c->cancelled));
    }
  json = json_pack ("{s:I,s:I,s:I,s:I,s:I,s:o}", "started", (json_int_t)s->started, "tokens",
                    (json_int_t)s->tokens, "finished", (json_int_t)s->finished, "cancelled",
                    (json_int_t)s->cancelled, "refused", (json_int_t)s->refused, "by_id", ids);
  text = json_dumps (json, JSON_COMPACT);
  standin_answer (s, call, 200, "", text);
  free (text);
  json_decref (json);
}

static void
answer_load (Standin *s, HttpCall *call)
{
  char text[192];

  snprintf (text, sizeof text,
            "{\"running\":%d,\"waiting\":%d,\"cache\":%.2f,\"leaving\":%s,\"age_ms\":%" PRId64 "}",
            s->reported.running, s->reported.waiting, s->reported.cache_used,
            s->leaving ? "true" : "false", timers_now_ms (loop_timers (s->loop)) - s->reported_ms);
  standin_answer (s, call, 200, "", text);
}

bool
standin_common (Standin *s, HttpCall *call)
{
  const char *target = http_call_target (call);
  bool post = !strcmp (http_call_method (call), "POST");
  char *id;

  if (post && !strcmp (target, "/admin/faults"))
    set_faults (s, call);
  else if (!strcmp (target, "/admin/stats"))
    answer_stats (s, call);
  else if (!strcmp (target, "/load"))
    answer_load (s, call);
  else if (s->leaving || standin_fault (s, FAULT_REFUSE))
    {
      s->refused++;
      id = standin_id (s, call, call);
      standin_answer (s, call, 503, id,
                      s->leaving ? "{\"executed\":false,\"leaving\":true}"
                                 : "{\"executed\":false}");
    }
  else if (standin_fault (s, FAULT_CLOSE_BEFORE))
    http_call_abort (call);
  else if (!standin_fault (s, FAULT_SILENT))
    return false;
  return true;
}

/* A booking service for tests. It runs every booking that it receives, also a repeated one, and
 * counts the runs of each key: a second run is the fault that the router has to prevent. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "standin.h"

#define SLOW_FACTOR 10

typedef struct
{
  int runs;
  char *body; /* of the last run's answer */
} Record;

typedef struct
{
  HttpCall *call;
  char *id;
  char *answer;
  Timer *timer;
} Work;

static Standin *standin;
static GHashTable *records; /* key to Record */
static int work_ms = 1;

static void
record_free (gpointer data)
{
  Record *r = data;

  g_free (r->body);
  g_free (r);
}

static void
answer_work (void *data)
{
  Work *w = data;

  w->timer = NULL;
  standin->load.running--;
  standin->finished++;
  standin_count (standin, w->id)->finished++;
  if (standin_fault (standin, FAULT_CLOSE_MID))
    {
      HttpHeader header = { "X-Request-Id", w->id };

      http_call_begin_response (w->call, 200, &header, 1);
      http_call_write (w->call, "{", 1);
      http_call_abort (w->call);
      return;
    }
  standin_answer (standin, w->call, 200, w->id, w->answer);
}

/* Answers after the work time. Takes over @p answer. */
static void
work (HttpCall *call, char *answer)
{
  Work *w = talloc_zero (call, Work);
  int64_t ms = standin_fault (standin, FAULT_SLOW) ? work_ms * SLOW_FACTOR : work_ms;

  w->call = call;
  w->id = standin_id (standin, w, call);
  w->answer = talloc_steal (w, answer);
  http_call_set_data (call, w);
  standin->started++;
  standin->load.running++;
  standin_count (standin, w->id)->started++;
  if (ms == 0)
    answer_work (w);
  else
    w->timer = timers_start (loop_timers (standin->loop), w, ms, answer_work, w);
}

static void
book (HttpCall *call)
{
  const char *key = http_call_header (call, "Idempotency-Key");
  Record *r;

  if (!key)
    {
      standin_answer (standin, call, 400, "", "{\"executed\":false}");
      return;
    }
  r = g_hash_table_lookup (records, key);
  if (!r)
    {
      r = g_new0 (Record, 1);
      g_hash_table_insert (records, g_strdup (key), r);
    }
  r->runs++;
  g_free (r->body);
  r->body = g_strdup_printf ("{\"booking\":\"%s\",\"run\":%d}", key, r->runs);
  if (standin_fault (standin, FAULT_RUN_THEN_CLOSE))
    {
      http_call_abort (call);
      return;
    }
  work (call, talloc_strdup (call, r->body));
}

static void
look_up (HttpCall *call, const char *key)
{
  const Record *r = g_hash_table_lookup (records, key);
  char *id = standin_id (standin, call, call);

  if (r)
    standin_answer (standin, call, 200, id, r->body);
  else
    standin_answer (standin, call, 404, id, "{}");
}

static void
runs_per_key (HttpCall *call)
{
  json_t *runs = json_object ();
  json_t *json;
  GHashTableIter it;
  gpointer key;
  gpointer value;
  char *dump;

  g_hash_table_iter_init (&it, records);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set_new (runs, key, json_integer (((Record *)value)->runs));
  json = json_pack ("{s:I,s:I,s:I,s:I,s:o}", "started", (json_int_t)standin->started, "finished",
                    (json_int_t)standin->finished, "cancelled", (json_int_t)standin->cancelled,
                    "refused", (json_int_t)standin->refused, "runs", runs);
  dump = json_dumps (json, JSON_COMPACT);
  standin_answer (standin, call, 200, "", dump);
  free (dump);
  json_decref (json);
}

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  const char *target = http_call_target (call);
  bool post = !strcmp (http_call_method (call), "POST");

  (void)data;
  if (fault)
    standin_answer (standin, call, 413, "", "{\"executed\":false}");
  else if (!strcmp (target, "/admin/stats"))
    runs_per_key (call);
  else if (standin_common (standin, call))
    return;
  else if (post && !strncmp (target, "/bookings", 9))
    book (call);
  else if (!strncmp (target, "/bookings/", 10))
    look_up (call, target + 10);
  else if (!strncmp (target, "/schedules", 10))
    work (call,
          talloc_strdup (call, "{\"courts\":[{\"court\":1,\"free\":[\"09:00\",\"11:00\"]}]}"));
  else
    standin_answer (standin, call, 404, "", "{}");
}

static void
on_drained (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static void
on_gone (void *data, HttpCall *call)
{
  Work *w = data;

  (void)call;
  if (!w || !w->timer)
    return;
  TALLOC_FREE (w->timer);
  standin->load.running--;
  standin->cancelled++;
  standin_count (standin, w->id)->cancelled++;
}

static void
on_closed (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static const HttpServerEvents EVENTS = { on_request, on_drained, on_gone, on_closed };

int
main (int argc, char **argv)
{
  const GOptionEntry entries[]
      = { { "work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms, "Time per call", "MS" }, { 0 } };

  standin = standin_new (argc, argv, entries, &EVENTS, NULL);
  if (!standin)
    return 1;
  records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, record_free);
  return standin_run (standin);
}

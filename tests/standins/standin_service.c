/* Test stand-in of a booking service. It runs every booking request that it receives, including duplicates, and
 * counts the runs for each idempotency key: a second run is the failure that the router must prevent. */

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
  char *body; /* response of the last run */
} Booking;

typedef struct
{
  HttpCall *call;
  char *id;
  char *response;
  Timer *timer;
} PendingCall;

static Standin *standin;
static GHashTable *bookings; /* idempotency key to Booking */
static int work_ms = 1;      /* processing time of a request */

static void
booking_free (gpointer data)
{
  Booking *b = data;

  g_free (b->body);
  g_free (b);
}

static void
finish_work (void *data)
{
  PendingCall *p = data;

  p->timer = NULL;
  standin->load.running--;
  standin->finished++;
  standin_request_counts (standin, p->id)->finished++;
  if (standin_take_fault (standin, FAULT_CLOSE_MID_RESPONSE))
    {
      HttpHeader header = { "X-Request-Id", p->id };

      http_call_begin_response (p->call, 200, &header, 1);
      http_call_write (p->call, "{", 1);
      http_call_abort (p->call);
      return;
    }
  if (standin_take_fault (standin, FAULT_RUN_THEN_REFUSE))
    standin_respond (standin, p->call, 503, p->id, "{}");
  else
    standin_respond (standin, p->call, 200, p->id, p->response);
}

/* Sends @p response after the processing time. Takes ownership of @p response. */
static void
start_work (HttpCall *call, char *response)
{
  PendingCall *p = talloc_zero (call, PendingCall);
  int64_t ms = standin_take_fault (standin, FAULT_SLOW) ? work_ms * SLOW_FACTOR : work_ms;

  p->call = call;
  p->id = standin_response_id (standin, p, call);
  p->response = talloc_steal (p, response);
  http_call_set_data (call, p);
  standin->started++;
  standin->load.running++;
  standin_request_counts (standin, p->id)->started++;
  if (ms == 0)
    finish_work (p);
  else
    p->timer = timers_start (loop_timers (standin->loop), p, ms, finish_work, p);
}

static void
handle_booking (HttpCall *call)
{
  const char *key = http_call_header (call, "Idempotency-Key");
  Booking *b;

  if (!key)
    {
      standin_respond (standin, call, 400, "", "{\"executed\":false}");
      return;
    }
  b = g_hash_table_lookup (bookings, key);
  if (!b)
    {
      b = g_new0 (Booking, 1);
      g_hash_table_insert (bookings, g_strdup (key), b);
    }
  b->runs++;
  g_free (b->body);
  b->body = g_strdup_printf ("{\"booking\":\"%s\",\"run\":%d}", key, b->runs);
  if (standin_take_fault (standin, FAULT_RUN_THEN_CLOSE))
    {
      http_call_abort (call);
      return;
    }
  start_work (call, talloc_strdup (call, b->body));
}

static void
handle_lookup (HttpCall *call, const char *key)
{
  const Booking *b = g_hash_table_lookup (bookings, key);
  char *id = standin_response_id (standin, call, call);

  if (b)
    standin_respond (standin, call, 200, id, b->body);
  else
    standin_respond (standin, call, 404, id, "{}");
}

static void
respond_stats (HttpCall *call)
{
  json_t *runs = json_object ();
  json_t *json;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  char *dump;

  g_hash_table_iter_init (&iter, bookings);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (runs, key, json_integer (((Booking *)value)->runs));
  json = json_pack ("{s:I,s:I,s:I,s:I,s:o}", "started", (json_int_t)standin->started, "finished",
                    (json_int_t)standin->finished, "cancelled", (json_int_t)standin->cancelled,
                    "refused", (json_int_t)standin->refused, "runs", runs);
  dump = json_dumps (json, JSON_COMPACT);
  standin_respond (standin, call, 200, "", dump);
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
    standin_respond (standin, call, 413, "", "{\"executed\":false}");
  else if (!strcmp (target, "/admin/stats"))
    respond_stats (call);
  else if (standin_handle_common (standin, call))
    return;
  else if (post && !strncmp (target, "/bookings", 9))
    handle_booking (call);
  else if (!strncmp (target, "/bookings/", 10))
    handle_lookup (call, target + 10);
  else if (!strncmp (target, "/schedules", 10))
    start_work (
        call, talloc_strdup (call, "{\"courts\":[{\"court\":1,\"free\":[\"09:00\",\"11:00\"]}]}"));
  else
    standin_respond (standin, call, 404, "", "{}");
}

static void
on_writable (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static void
on_client_gone (void *data, HttpCall *call)
{
  PendingCall *p = data;

  (void)call;
  if (!p || !p->timer)
    return;
  TALLOC_FREE (p->timer);
  standin->load.running--;
  standin->cancelled++;
  standin_request_counts (standin, p->id)->cancelled++;
}

static void
on_closed (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static const HttpServerEvents EVENTS = { on_request, on_writable, on_client_gone, on_closed };

int
main (int argc, char **argv)
{
  const GOptionEntry entries[]
      = { { "work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms, "Processing time of a request", "MS" },
          { 0 } };

  standin = standin_new (argc, argv, entries, &EVENTS, NULL);
  if (!standin)
    return 1;
  bookings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, booking_free);
  return standin_run (standin);
}

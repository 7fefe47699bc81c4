#include "request_fakes.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "harness.h"

char world_reservation_object;
char world_booking_object;

/* --- Ledger and bookings ----------------------------------------------------------------- */

static World *
world_of (RequestDeps *deps)
{
  return (World *)deps;
}

static Reservation *
reserve (RequestDeps *deps, const ReserveOptions *options, ReserveFn done, void *data, Err *err)
{
  World *w = world_of (deps);

  w->reserved = options->tokens;
  if (w->reserve_later)
    {
      w->reserve_done = done;
      w->reserve_data = data;
      err_set (err, ERR_PENDING, "later");
      return NULL;
    }
  *err = w->reserve_error;
  if (err->kind != ERR_NONE)
    return NULL;
  w->granted++;
  return RESERVATION;
}

static void
settle_now (void *data)
{
  World *w = data;

  if (!w->settle_later)
    world_settle (w, true);
}

static void
hold_settle (World *w, SettleFn done, void *data)
{
  if (!done)
    return;
  w->settle_done = done;
  w->settle_data = data;
  timers_start (w->deps.timers, w, 0, settle_now, w);
}

static void
settle (RequestDeps *deps, Reservation *reservation, Tokens spent, SettleFn done, void *data)
{
  World *w = world_of (deps);

  CU_ASSERT_PTR_EQUAL (reservation, RESERVATION);
  CU_ASSERT (spent >= 0 && spent <= w->reserved);
  w->settled++;
  w->spent = spent;
  hold_settle (w, done, data);
}

static void
release (RequestDeps *deps, Reservation *reservation)
{
  CU_ASSERT_PTR_EQUAL (reservation, RESERVATION);
  world_of (deps)->released++;
}

static void
reply_now (void *data)
{
  World *w = data;

  if (!w->reply_later)
    world_reply (w);
}

static void
begin (RequestDeps *deps, const BookingOptions *options, BookingFn done, void *data)
{
  World *w = world_of (deps);

  CU_ASSERT_STRING_EQUAL (options->account, "krattgarden");
  w->begun++;
  w->reply_done = done;
  w->reply_data = data;
  timers_start (w->deps.timers, w, 0, reply_now, w);
}

static void
finish (RequestDeps *deps, Booking *booking, const BookingResult *result, SettleFn done, void *data)
{
  World *w = world_of (deps);

  CU_ASSERT_PTR_EQUAL (booking, BOOKING);
  w->finished++;
  w->result = *result;
  w->result.body = result->body ? talloc_strdup (w, result->body) : NULL;
  if (result->reservation)
    w->settled++;
  hold_settle (w, done, data);
}

/* --- Routes ------------------------------------------------------------------------------ */

static bool
pick (RequestDeps *deps, const RouteQuery *query, RouteChoice *choice, Err *err)
{
  World *w = world_of (deps);

  if (w->pick_error.kind != ERR_NONE)
    {
      *err = w->pick_error;
      return false;
    }
  memset (choice, 0, sizeof *choice);
  snprintf (choice->server, sizeof choice->server, "server-%zu", query->n_tried);
  snprintf (choice->address, sizeof choice->address, "127.0.0.1:9");
  w->picks++;
  return true;
}

static void
end (RequestDeps *deps, const RouteChoice *choice, const RouteResult *result)
{
  World *w = world_of (deps);

  (void)choice;
  w->ends++;
  w->failures += result->failed;
}

static void
progress (RequestDeps *deps, const RouteChoice *choice, Tokens tokens)
{
  (void)deps;
  (void)choice;
  CU_ASSERT_EQUAL (tokens, 1);
}

static void
report_load (RequestDeps *deps, const char *server, const LoadReport *report)
{
  (void)deps;
  (void)server;
  (void)report;
}

static void
mark_leaving (RequestDeps *deps, const char *server)
{
  (void)server;
  world_of (deps)->marked_leaving = true;
}

static RetryDecision
retry (RequestDeps *deps, const char *pool, const RetryQuery *query)
{
  World *w = world_of (deps);
  bool not_run = query->point == FAIL_BEFORE_CONNECT || query->point == FAIL_IN_CONNECT
                 || query->point == FAIL_REFUSED;
  RetryDecision d = { .delay_ms = w->retry_delay_ms, .reason = "test" };

  (void)pool;
  d.retry = query->attempts < w->max_attempts && (query->idempotent || not_run)
            && !query->caller_got_bytes;
  return d;
}

static void
next_id (RequestDeps *deps, char *id, size_t size)
{
  (void)deps;
  snprintf (id, size, "host.1.0-1");
}

/* --- Backend ----------------------------------------------------------------------------- */

static void
note_header (WorldCall *c, const char *header)
{
  size_t used = strlen (c->headers);

  if (!strncmp (header, "X-Request-Id: ", 14))
    snprintf (c->id, sizeof c->id, "%s", header + 14);
  snprintf (c->headers + used, sizeof c->headers - used, "%s\n", header);
}

static BackendCall *
start (Backend *backend, const BackendRequest *request, const BackendEvents *events, void *data)
{
  World *w = talloc_get_type_abort (talloc_parent (backend), World);
  WorldCall *c = &w->calls[w->n_calls];

  if (w->refuse_start || w->n_calls == WORLD_MAX_CALLS)
    return NULL;
  w->n_calls++;
  c->call.backend = backend;
  c->events = events;
  c->data = data;
  c->open = true;
  c->run_once = request->own_connection;
  c->reached = FAIL_SENT_SILENT;
  snprintf (c->target, sizeof c->target, "%s", request->target);
  snprintf (c->body, sizeof c->body, "%s", request->body ? request->body : "");
  for (size_t i = 0; i < request->n_headers; i++)
    note_header (c, request->headers[i]);
  return &c->call;
}

static FailurePoint
cancel (BackendCall *call)
{
  WorldCall *c = (WorldCall *)call;

  CU_ASSERT_TRUE (c->open);
  c->open = false;
  c->cancelled = true;
  return c->reached;
}

static void
resume (BackendCall *call)
{
  CU_ASSERT_TRUE (((WorldCall *)call)->open);
}

static const char *
header (BackendCall *call, const char *name)
{
  WorldCall *c = (WorldCall *)call;

  if (!strcmp (name, "X-Request-Id"))
    return c->answer_id ? c->answer_id : c->id;
  if (!strcmp (name, "X-Pond-Load"))
    return c->load[0] ? c->load : NULL;
  return !strcmp (name, "Content-Type") ? "application/json" : NULL;
}

const BackendOps world_backend_ops = { start, cancel, resume, header, NULL };

/* --- Caller ------------------------------------------------------------------------------ */

static void
note_head (World *w, const AnswerHead *head)
{
  w->answers++;
  w->status = head->status;
  w->retry_after_ms = head->retry_after_ms;
  w->stored = head->stored;
}

static bool
append (void *data, const char *bytes, size_t len)
{
  World *w = data;
  size_t used = strlen (w->body);

  CU_ASSERT_FALSE (w->stream_ended);
  CU_ASSERT (used + len < sizeof w->body);
  memcpy (w->body + used, bytes, len);
  w->body[used + len] = '\0';
  return !w->caller_full;
}

static void
on_answer (void *data, const AnswerHead *head, const char *body, size_t len)
{
  note_head (data, head);
  append (data, body, len);
}

static void
on_begin (void *data, const AnswerHead *head)
{
  note_head (data, head);
  ((World *)data)->stream_begun = true;
}

static void
on_caller_end (void *data)
{
  ((World *)data)->stream_ended = true;
}

static void
on_released (void *data)
{
  World *w = data;

  CU_ASSERT_FALSE (w->caller_released);
  w->caller_released = true;
  w->request = NULL;
}

const CallerOps world_caller_ops = { on_answer, on_begin, append, on_caller_end, on_released };

const RequestDepsOps world_deps_ops
    = { reserve, settle,   release,     begin,        finish, pick,
        end,     progress, report_load, mark_leaving, retry,  next_id };

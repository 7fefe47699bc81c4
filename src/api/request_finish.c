#include "api/request_impl.h"

#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "relay/error_answer.h"
#include "api/model_answer.h"
#include "api/request_counters.h"
#include "core/log.h"
#include "core/loop.h"

/* Written instead of what the engine sent beyond the cap. */
#define CAP_EVENT                                                                                  \
  "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"           \
  "\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"

static void
stop_timers (Request *r)
{
  TALLOC_FREE (r->deadline);
  TALLOC_FREE (r->backoff);
}

static void
measure (const Request *r)
{
  int64_t total_us = loop_monotonic_us () - r->received_us;

  histogram_add (request_counters ()->duration, total_us);
  histogram_add (request_counters ()->added, total_us - r->backend_us);
}

void
request_log_failure (const Request *r, const Err *err, Outcome outcome)
{
  counter_refusal (err->kind);
  log_line (LOG_LEVEL_NOTICE, "request",
            "Request failed. id=%s reason=%s outcome=%s pool=%s "
            "account=%s detail=\"%s\"",
            r->id, err_info (err->kind)->name, outcome_name (outcome), r->pool ? r->pool : "-",
            r->account ? r->account : "-", err->detail);
}

/* --- Errors ------------------------------------------------------------------------------ */

/* Tells the caller; the request itself may go on (a booking whose outcome is still to come). */
void
request_answer_error (Request *r, const Err *err, Outcome outcome)
{
  AnswerHead head = { .status = err_info (err->kind)->http_status,
                      .request_id = r->id,
                      .content_type = "application/json",
                      .retry_after_ms = err->retry_after_ms };
  const CallerOps *caller = r->caller;
  char *body;
  char *event;

  if (!caller)
    return;
  request_log_failure (r, err, outcome);
  body = error_answer (r, err, outcome, r->id);
  if (r->begun)
    {
      event = talloc_asprintf (body, "event: error\ndata: %s\n\n", body);
      caller->write (r->caller_data, event, strlen (event));
      caller->end (r->caller_data);
    }
  else
    caller->answer (r->caller_data, &head, body, strlen (body));
  talloc_free (body);
  r->caller = NULL;
  caller->released (r->caller_data);
}

/* The caller gets its answer at once: what is still to be stored does not change it. */
void
request_refuse (Request *r, const Err *err, Outcome outcome)
{
  BookingResult result = { .outcome = outcome, .reservation = r->reservation };

  stop_timers (r);
  r->state = REQUEST_OVER;
  request_answer_error (r, err, outcome);
  if (r->booking)
    r->deps->ops->booking_finish (r->deps, r->booking, &result, NULL, NULL);
  else if (r->reservation)
    r->deps->ops->release (r->deps, r->reservation);
  r->booking = NULL;
  r->reservation = NULL;
  request_unref (r);
}

/* --- Amounts ----------------------------------------------------------------------------- */

/* Without the engine's own count, the prompt is charged at its bound, and only if output shows that
 * it was worked on. An answer that is not streamed has at most one token per byte. */
static Tokens
counted (const Request *r, const Attempt *a)
{
  Tokens output = a->tokens;

  if (!a->streaming && a->status < 400)
    output = tokens_min ((Tokens)r->body_len, r->model->max_tokens);
  return output > 0 ? tokens_add_saturated (r->model->prompt_tokens, output) : 0;
}

Tokens
request_spent (const Request *r, const Attempt *a)
{
  if (!r->model)
    return a->status < 400 ? r->reserved : 0;
  if (a->used >= 0 && a->used <= r->reserved)
    return a->used;
  if (a->used > r->reserved)
    counter_add (request_counters ()->usage_rejected, 1);
  return tokens_min (counted (r, a), r->reserved);
}

/* --- Settling ---------------------------------------------------------------------------- */

static void
give_answer (Request *r)
{
  AnswerHead head = { .status = r->status, .request_id = r->id, .content_type = r->content_type };

  measure (r);
  if (!r->begun)
    {
      r->caller->answer (r->caller_data, &head, r->body ? r->body : "", r->body_len);
      return;
    }
  r->caller->write (r->caller_data, "data: [DONE]\n\n", 14);
  r->caller->end (r->caller_data);
}

static void
settled (void *data, bool durable)
{
  Request *r = data;

  r->callbacks--;
  if (!durable)
    counter_add (request_counters ()->not_durable, 1);
  r->state = REQUEST_OVER;
  if (r->caller && r->error.kind != ERR_NONE)
    request_answer_error (r, &r->error, r->outcome);
  else if (r->caller)
    give_answer (r);
  request_unref (r);
}

/* Ends the reservation, then answers. */
static void
settle (Request *r, Tokens spent)
{
  Reservation *reservation = r->reservation;

  stop_timers (r);
  r->state = REQUEST_SETTLING;
  r->reservation = NULL;
  r->callbacks++;
  if (reservation && spent > 0)
    {
      r->deps->ops->settle (r->deps, reservation, spent, settled, r);
      return;
    }
  if (reservation)
    r->deps->ops->release (r->deps, reservation);
  settled (r, true);
}

static void
finish_booking (Request *r, const Attempt *a)
{
  BookingResult result = { .outcome = OUTCOME_DONE,
                           .http_status = a->status,
                           .body = r->body,
                           .reservation = r->reservation,
                           .spent = request_spent (r, a) };
  Booking *booking = r->booking;

  stop_timers (r);
  r->state = REQUEST_SETTLING;
  r->booking = NULL;
  r->reservation = NULL;
  r->callbacks++;
  r->deps->ops->booking_finish (r->deps, booking, &result, settled, r);
}

static void
end_at_cap (Request *r, const Attempt *a)
{
  char *event = talloc_asprintf (r, CAP_EVENT, a->id);

  if (r->caller && r->begun)
    r->caller->write (r->caller_data, event, strlen (event));
  talloc_free (event);
}

/* A stream that ends well without any event still has to begin. */
static void
begin_empty (Request *r)
{
  AnswerHead head = { .status = 200, .request_id = r->id, .content_type = "text/event-stream" };

  if (!r->caller || r->begun)
    return;
  r->caller->begin (r->caller_data, &head);
  r->begun = true;
}

void
request_succeed (Request *r, Attempt *a)
{
  r->status = a->status;
  r->error.kind = ERR_NONE;
  if (a->streaming)
    {
      begin_empty (r);
      if (a->verdict == VERDICT_CAPPED)
        end_at_cap (r, a);
    }
  else
    {
      talloc_free (r->body);
      r->body = talloc_steal (r, a->body);
      r->body_len = a->body_len;
      if (r->model && r->body)
        a->used = model_answer_read (r->body, r->body_len, a->id).used;
    }
  if (r->booking)
    finish_booking (r, a);
  else
    settle (r, request_spent (r, a));
}

/* Ends an attempt whose answer the caller has in part, or does not wait for any more. */
void
request_cut_short (Request *r, Attempt *a, ErrKind kind, const char *detail)
{
  err_set (&r->error, kind, "%s", detail);
  r->outcome = OUTCOME_UNKNOWN;
  request_drop_attempt (r, kind == ERR_DEADLINE_EXCEEDED, FAIL_PARTLY_ANSWERED);
  settle (r, r->model && a->streaming ? request_spent (r, a) : 0);
}

#include "relay/relay_impl.h"

/* Requests without an objective, and those of our own interface, whose routes state none, are not subject to overload control. */
static bool
is_subject (const Relay *r)
{
  return r->deps->overload && r->request->target_latency_ms > 0;
}

bool
relay_found_no_room (const RelayResponseHead *head)
{
  return head->status == 503 && head->not_run && !head->misdirected && !head->draining
         && head->limit.kind != LIMIT_NAMED && head->retry_after_ms == 0;
}

/* The longest time that the client can wait. */
static int64_t
patience_ms (const RelayRequest *q)
{
  bool by_route = q->route_timeout_ms > 0 && q->route_timeout_ms < q->client_timeout_ms;

  return by_route ? q->route_timeout_ms : q->client_timeout_ms;
}

bool
relay_admit (Relay *r, Err *err)
{
  const RelayRequest *q = r->request;
  int64_t now = timers_now_ms (r->deps->timers);
  OverloadRequest request
      = { .id = q->id,
          .service = q->service->name,
          .route = q->route ? q->route->name : NULL,
          .account = q->account,
          .priority = { q->priority, q->route ? q->route->priority : q->priority },
          .prompt_tokens = q->prompt_tokens,
          .max_tokens = q->max_tokens,
          .client_timeout_ms = patience_ms (q),
          .left_ms = r->deadline_ms - now,
          .is_resumed = q->last_event_id != NULL,
          .now_ms = now };

  if (!is_subject (r))
    return true;
  request.room = dispatch_room (r->deps->dispatch, q->service, now);
  return overload_admit (r->deps->overload, &request, &r->admission, err);
}

void
relay_report_room (const Relay *r, const Attempt *a, int64_t now)
{
  const RelayResponseHead *head = &a->head;
  OverloadAnswer answer = { .service = r->request->service->name,
                            .rejected = relay_found_no_room (head),
                            .has_load = head->has_load,
                            .running = head->load.running,
                            .waiting = head->load.waiting,
                            .slots = head->load.slots,
                            .prompt_tokens = r->request->prompt_tokens,
                            .max_tokens = r->request->max_tokens,
                            .target_ms = r->request->target_latency_ms,
                            .took_ms = now - a->started_ms,
                            .has_ended = head->status == 0,
                            .now_ms = now };
  ServiceRoom room;

  if (!is_subject (r) || (head->status != 0 && !head->matches_request))
    return;
  room = dispatch_room (r->deps->dispatch, r->request->service, now);
  answer.hold_ms = room.hold_ms;
  if (room.prompt_tokens_per_ms > 0)
    answer.prompt_ms = (double)r->request->prompt_tokens / room.prompt_tokens_per_ms;
  overload_add_answer (r->deps->overload, &answer);
}

int64_t
relay_return_ms (const Relay *r, ErrKind kind, int64_t default_ms)
{
  bool no_room
      = kind == ERR_OVERLOADED || kind == ERR_RETRIES_EXHAUSTED || kind == ERR_SERVER_REFUSED;
  int64_t now = timers_now_ms (r->deps->timers);
  ServiceRoom room;

  if (!is_subject (r) || !no_room)
    return default_ms;
  room = dispatch_room (r->deps->dispatch, r->request->service, now);
  return overload_return_ms (r->deps->overload, r->request->service->name, &room,
                             r->deadline_ms - now, now);
}

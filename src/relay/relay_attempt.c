#include "relay/relay_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "backend/keep_alive.h"
#include "core/counter.h"
#include "core/invariant.h"
#include "core/log.h"
#include "relay/relay_counters.h"

#define MAX_EVENT_BYTES 65536

/* The timeout of the backend call is later than the deadline, so that the relay's timer fires first. */
#define TIMEOUT_SLACK_MS 2000

static void fail_attempt (Relay *r, Attempt *a, FailurePoint point, ErrKind kind);

/* --- Start ------------------------------------------------------------------------------- */

static void
fill_query (Relay *r, DispatchQuery *q, ServerVersions *versions)
{
  const RelayRequest *request = r->request;
  const ServerVersions *allowed = relay_allowed_versions (r, versions);
  /* The client has the first event of its stream: the rest may wait for a place rather than be broken off. */
  bool is_begun = r->response_started || request->last_event_id != NULL;

  *q = (DispatchQuery){ .service = request->service,
                        .now_ms = timers_now_ms (r->deps->timers),
                        .is_retry = r->arrivals > 0,
                        .is_counted = r->sends > 0,
                        .version = relay_required_version (r),
                        .allowed = allowed,
                        .regions = request->regions,
                        .prompt_tokens = request->prompt_tokens,
                        .max_tokens = request->max_tokens,
                        .parts = request->parts,
                        .n_parts = request->n_parts,
                        .priority = request->priority,
                        .target_ms = is_begun ? 0 : request->target_latency_ms,
                        .left_ms = r->deadline_ms - timers_now_ms (r->deps->timers),
                        .target_gap_ms = request->route ? request->route->target_gap_ms : 0,
                        .was_rejected = !is_begun && r->was_rejected };
  for (size_t i = 0; i < r->n_tried; i++)
    q->tried[i] = r->tried[i];
  q->n_tried = r->n_tried;
}

static BackendCall *
send_request (Relay *r, Attempt *a)
{
  const RelayRequest *q = r->request;
  void *tmp = talloc_new (a);
  HeaderLines lines = { 0 };
  RelaySendParams send
      = { .server = assignment_server (a->assignment),
          .time_left_ms = r->deadline_ms - a->started_ms,
          .last_event_id = r->events > 0 ? event_id_text (&r->last_event_id) : q->last_event_id };
  BackendRequest request = { .address = assignment_address (a->assignment),
                             .method = q->method,
                             .target = q->target,
                             .body = q->body,
                             .body_owner = q->body_owner,
                             .body_len = q->body_len,
                             .timeout_ms = send.time_left_ms + TIMEOUT_SLACK_MS,
                             .regions = q->regions,
                             .small_receive_buffer = q->kind == CALL_STREAM,
                             .max_idle_ms = assignment_max_idle_ms (a->assignment) };
  BackendCall *call;

  r->deps->dialect->ops->encode_request (r->deps->dialect, tmp, q, &send, &lines);
  request.headers = (const char *const *)lines.lines;
  request.n_headers = lines.n;
  call = backend_start (r->deps->backend, &request, &relay_backend_events, a);
  talloc_free (tmp);
  return call;
}

/* No server can be asked. Ends the request. */
static void
fail_placement (Relay *r, const Err *err)
{
  if (!r->response_started)
    {
      relay_finish_error (r, err);
      return;
    }
  log_event (LOG_LEVEL_NOTICE, "relay", "not_resumed", "id=%s reason=%s detail=\"%s\"",
             r->request->id, err_info (err->kind)->name, err->detail);
  relay_abort (r, err->kind);
}

static bool
may_ask_server (Relay *r, Err *err)
{
  return relay_check_version (r, err) && relay_check_quarantine (r, true, err);
}

void
relay_start_attempt (Relay *r)
{
  DispatchQuery query;
  ServerVersions versions;
  Attempt *a;
  Err err = ERR_INIT;
  Assignment *assignment;

  assignment = NULL;
  if (may_ask_server (r, &err))
    {
      fill_query (r, &query, &versions);
      assignment = dispatch_pick (r->deps->dispatch, r, &query, &err);
    }
  if (!assignment)
    {
      relay_return_trial (r);
      fail_placement (r, &err);
      return;
    }
  a = talloc_zero (r, Attempt);
  a->relay = r;
  a->assignment = assignment;
  a->number = ++r->sends;
  a->started_ms = query.now_ms;
  a->sse.max_event_bytes = MAX_EVENT_BYTES;
  a->body_usage = -1;
  r->attempt = a;
  r->state = RELAY_SENT;
  snprintf (r->server, sizeof r->server, "%s", assignment_server (assignment));
  r->limits = assignment_limits (assignment);
  log_word (r->version, sizeof r->version, assignment_server_state (assignment).version);
  relay_record_version (r, assignment);
  a->call = send_request (r, a);
  a->no_connection = !a->call;
  a->indirect = a->call && !backend_is_direct (a->call);
  if (!a->call)
    fail_attempt (r, a, FAIL_BEFORE_CONNECT, ERR_CONNECT_FAILED);
}

/* --- End --------------------------------------------------------------------------------- */

void
relay_count_run (Relay *r, Attempt *a)
{
  r->runs += !a->run_counted;
  a->run_counted = true;
}

/* The attempt itself is freed with the relay, since a late backend event may still refer to it. */
void
relay_end_attempt (Relay *r, AssignmentResult result)
{
  Attempt *a = r->attempt;

  if (!a)
    return;
  r->attempt = NULL;
  TALLOC_FREE (a->claim);
  TALLOC_FREE (a->body);
  a->body_len = 0;
  TALLOC_FREE (a->end_check);
  if (a->call && a->head.status == 0)
    relay_report_room (r, a, timers_now_ms (r->deps->timers));
  if (a->call)
    {
      FailurePoint point = backend_cancel (a->call);

      a->call = NULL;
      if (!failure_proves_not_run (point))
        relay_count_run (r, a);
      else if (result == ASSIGNMENT_FAILED)
        result = ASSIGNMENT_UNREACHABLE;
    }
  relay_note_source (r, a);
  assignment_end (a->assignment, result, timers_now_ms (r->deps->timers));
  a->assignment = NULL;
}

static AssignmentResult
assignment_result (const Attempt *a, FailurePoint point)
{
  if (a->check == RESPONSE_MISDIRECTED)
    return ASSIGNMENT_MISDIRECTED;
  if (point == FAIL_REJECTED)
    return ASSIGNMENT_REJECTED;
  if (point == FAIL_BEFORE_CONNECT || point == FAIL_CONNECT)
    return ASSIGNMENT_UNREACHABLE;
  return ASSIGNMENT_FAILED;
}

static void
log_retry (const Relay *r, const Attempt *a, ErrKind kind, ErrKind retry_error)
{
  log_event (LOG_LEVEL_INFO, "relay", retry_error == ERR_NONE ? "retry" : "no_retry",
             "id=%s server=%s version=%s attempt=%d reason=%s rule=%s runs=%d events=%" PRId64
             " event_id=%d left_ms=%" PRId64,
             r->request->id, r->server, r->version, a->number, err_info (kind)->name,
             err_info (retry_error)->name, r->runs, r->events,
             event_id_text (&r->last_event_id) != NULL,
             r->deadline_ms - timers_now_ms (r->deps->timers));
}

static void
fail_attempt (Relay *r, Attempt *a, FailurePoint point, ErrKind kind)
{
  const RelayRequest *q = r->request;
  RetryInput input
      = { .point = point,
          .repeatable = q->repeatable,
          .resumable = q->resumable && (r->events == 0 || event_id_text (&r->last_event_id)),
          .response_started = r->response_started,
          .max_runs = q->max_attempts,
          .sends = r->sends,
          .time_left_ms = r->deadline_ms - timers_now_ms (r->deps->timers) };
  ErrKind retry_error;
  Err err = ERR_INIT;

  a->call = NULL;
  if (point == FAIL_BEFORE_CONNECT || point == FAIL_CONNECT)
    relay_return_trial (r);
  r->arrivals += !a->no_connection;
  r->was_rejected = point == FAIL_REJECTED && relay_found_no_room (&a->head);
  relay_end_attempt (r, assignment_result (a, point));
  if (!failure_proves_not_run (point))
    relay_count_run (r, a);
  input.runs = r->runs;
  retry_error = retry_policy_check (&input);
  log_retry (r, a, kind, retry_error);
  if (retry_error == ERR_NONE)
    {
      INVARIANT ("runs_once", q->repeatable || r->runs == 0, "request %s", q->id);
      relay_count_retry (kind);
      if (r->n_tried < DISPATCH_MAX_TRIED)
        r->tried[r->n_tried++] = talloc_strdup (r, r->server);
      relay_start_attempt (r);
      return;
    }
  err_set (&err, kind, "server %s, attempt %d: %s", r->server, a->number, err_info (kind)->name);
  if (r->response_started)
    relay_abort (r, kind);
  else
    relay_finish_error (r, &err);
}

/* --- Backend events ---------------------------------------------------------------------- */

static bool
is_stale (const Attempt *a)
{
  if (a->relay->attempt == a)
    return false;
  counter_add (relay_counters ()->late_events, 1);
  return true;
}

/* Interim answers (1xx) are not reported; a status that HTTP does not have counts as a failure of the server (RFC 9110,
 * section 15), whatever its answer promises. */
static bool
is_final_status (int status)
{
  return status >= 200 && status <= 599;
}

static ResponseCheck
check_head (const Attempt *a)
{
  if (!is_final_status (a->head.status))
    return RESPONSE_INVALID;
  if (a->head.misdirected)
    return RESPONSE_MISDIRECTED;
  if (a->head.not_run)
    return RESPONSE_NOT_RUN;
  if (!a->head.matches_request)
    return RESPONSE_MISMATCHED;
  if (a->head.status < 300 && !a->head.from_server)
    return RESPONSE_INVALID;
  return RESPONSE_VALID;
}

/* That a limit is missing counts only in a response to a request that the server has run: responses that are made before
 * may lack it. */
static bool
states_limit (const Attempt *a)
{
  const RelayResponseHead *head = &a->head;

  if (!head->matches_request || head->misdirected)
    return false;
  return head->limit.kind == LIMIT_NAMED || (head->from_server && !head->not_run);
}

/* Reports what the head says about the server, even if the response itself is rejected. */
static void
report_server_state (Attempt *a, BackendCall *call, int64_t now)
{
  KeepAlive keep = keep_alive_read (call);

  assignment_report_keep_alive (a->assignment, keep.timeout_ms, keep.closes_connection);
  if (a->head.has_load && a->head.matches_request && !a->head.misdirected)
    assignment_report_load (a->assignment, &a->head.load, now);
  if (a->head.cold_ms >= 0 && a->head.matches_request && !a->head.misdirected)
    assignment_report_cold (a->assignment, a->head.cold_ms, now);
  relay_report_room (a->relay, a, now);
  if (a->head.draining)
    assignment_report_draining (a->assignment, a->head.misdirected, now);
  if (a->head.matches_request && !a->head.misdirected
      && (a->head.brittle >= 0 || a->head.from_server))
    assignment_report_brittle (a->assignment, a->head.brittle, a->head.not_run, now);
  if (states_limit (a))
    assignment_report_limit (a->assignment, a->head.limit, now);
  if (a->head.retry_after_ms > 0)
    assignment_report_pause (a->assignment, a->head.retry_after_ms, now);
}

static bool
on_headers (void *data, BackendCall *call, int status)
{
  Attempt *a = data;
  Relay *r = a->relay;
  int64_t now = timers_now_ms (r->deps->timers);

  if (is_stale (a))
    return false;
  a->head.status = status;
  a->has_framed_end = backend_has_framed_end (call);
  r->deps->dialect->ops->decode_response_head (r->deps->dialect, r->request, call, &a->head);
  relay_check_refusal (r, a, call);
  report_server_state (a, call, now);
  a->check = check_head (a);
  if (a->check == RESPONSE_MISMATCHED || a->check == RESPONSE_INVALID)
    return false;
  a->streaming = r->request->kind == CALL_STREAM && status == 200 && a->check == RESPONSE_VALID;
  if (!a->streaming)
    assignment_report_first_event (a->assignment, now);
  return true;
}

static BackendFlow
on_body (void *data, const char *bytes, size_t len)
{
  Attempt *a = data;

  if (is_stale (a) || a->check == RESPONSE_MISMATCHED || a->check == RESPONSE_INVALID)
    return BACKEND_ABORT;
  if (a->streaming)
    return relay_stream_bytes (a->relay, a, bytes, len);
  return relay_buffer_body (a->relay, a, bytes, len);
}

static void
fail_cut_attempt (Relay *r, Attempt *a, FailurePoint point)
{
  relay_report_cut (r, a);
  fail_attempt (r, a, point,
                point == FAIL_RESPONSE_TRUNCATED ? ERR_RESPONSE_TRUNCATED : ERR_SERVER_FAILED);
}

static void
on_failed (void *data, FailurePoint point, bool timed_out)
{
  Attempt *a = data;
  Relay *r = a->relay;

  if (is_stale (a))
    return;
  a->no_connection = point == FAIL_CONNECT && timed_out;
  if (a->check == RESPONSE_MISDIRECTED || (point == FAIL_CONNECT && !timed_out))
    relay_report_refused (r, a);
  if (a->answered_twice)
    {
      a->end_proved = true;
      relay_finish_complete (r, a);
      return;
    }
  /* These responses prove that the server did not run the request, however the exchange ended. */
  if (a->check == RESPONSE_NOT_RUN || a->check == RESPONSE_MISDIRECTED)
    fail_attempt (r, a, FAIL_REJECTED,
                  a->check == RESPONSE_NOT_RUN ? ERR_SERVER_REFUSED : ERR_SERVER_DRAINING);
  else if (a->check == RESPONSE_MISMATCHED)
    fail_attempt (r, a, FAIL_RESPONSE_MISMATCHED, ERR_RESPONSE_MISMATCH);
  else if (a->check == RESPONSE_INVALID)
    fail_attempt (r, a, FAIL_RESPONSE_TRUNCATED, ERR_SERVER_FAILED);
  else if (!timed_out && !failure_proves_not_run (point))
    fail_cut_attempt (r, a, point);
  else if (point == FAIL_RESPONSE_TRUNCATED)
    fail_attempt (r, a, point, ERR_RESPONSE_TRUNCATED);
  else if (failure_proves_not_run (point))
    fail_attempt (r, a, point, ERR_CONNECT_FAILED);
  else
    fail_attempt (r, a, point, timed_out ? ERR_DEADLINE_EXCEEDED : ERR_SERVER_FAILED);
}

/* @return true if the server's error response is to be discarded and a retry attempted, which may still be refused
 * (retry limits, no server). */
static bool
may_retry_response (const Relay *r, const Attempt *a)
{
  RetryInput input = { .point = FAIL_NO_RESPONSE,
                       .repeatable = r->request->repeatable,
                       .max_runs = r->request->max_attempts,
                       .runs = r->runs + 1,
                       .sends = r->sends,
                       .time_left_ms = r->deadline_ms - timers_now_ms (r->deps->timers) };

  return a->head.status >= 500 && retry_policy_check (&input) == ERR_NONE;
}

static void
decode_body (Relay *r, Attempt *a)
{
  Dialect *dialect = r->deps->dialect;
  RelayResponseBody body = { .usage = -1 };

  if (a->streaming || !dialect->ops->decode_response_body)
    return;
  dialect->ops->decode_response_body (dialect, r->request, a->head.status, a->body ? a->body : "",
                                      a->body_len, &body);
  a->body_usage = body.usage;
  if (body.not_run)
    a->check = RESPONSE_NOT_RUN;
}

/* Without a length and without chunks a stream that ends before its first event tells nothing: its server may have
 * ended. */
static bool
stream_is_complete (const Relay *r, const Attempt *a)
{
  if (r->events == 0 && !relay_has_provable_end (a))
    return false;
  return a->sse.partial_len == 0 && (a->end_seen || !r->deps->dialect->ops->has_end_event);
}

void
relay_finish_complete (Relay *r, Attempt *a)
{
  if (a->streaming)
    relay_finish_stream (r);
  else
    relay_finish_buffered (r, a);
}

void
relay_fail_unproved (Relay *r, Attempt *a)
{
  fail_cut_attempt (r, a, FAIL_RESPONSE_TRUNCATED);
}

static void
on_end (void *data)
{
  Attempt *a = data;
  Relay *r = a->relay;

  if (is_stale (a))
    return;
  decode_body (r, a);
  if (a->check != RESPONSE_VALID)
    on_failed (a, FAIL_RESPONSE_TRUNCATED, false);
  else if (relay_refuses_without_proof (r, a))
    fail_attempt (r, a, FAIL_NO_RESPONSE, ERR_REFUSAL_UNPROVED);
  else if (a->streaming && !stream_is_complete (r, a))
    fail_cut_attempt (r, a, FAIL_RESPONSE_TRUNCATED);
  /* The client has a part of a stream: only more of its events may follow, or a break. */
  else if (!a->streaming && (r->response_started || may_retry_response (r, a)))
    fail_attempt (r, a, FAIL_NO_RESPONSE, ERR_SERVER_FAILED);
  else if (relay_has_provable_end (a))
    relay_finish_complete (r, a);
  else if (!a->streaming && !relay_cut_extra_answer (r, a))
    relay_fail_unproved (r, a);
  else if (a->end_proved)
    relay_finish_complete (r, a);
  else
    relay_check_end (r, a);
}

const BackendEvents relay_backend_events = { on_headers, on_body, on_end, on_failed };

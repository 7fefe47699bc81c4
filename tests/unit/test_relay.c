/* Every way in which a request can end: who gets which answer, whether it is sent again, what it costs. */
#include <string.h>

#include <talloc.h>

#include "harness.h"
#include "relay_world.h"

static const char *const NOT_RUN[] = { "X-Request-Id", "r-1", "X-Not-Executed", "full", NULL };
static const char *const OTHER[] = { "X-Not-Executed", "1", NULL };
static const char *const FOREIGN[] = { "X-Request-Id", "r-2", "X-Response-Seal", "s", NULL };
static const char *const UNSEALED[] = { "X-Request-Id", "r-1", NULL };

static RelayWorld *
started (CallKind kind)
{
  RelayWorld *w = relay_world_new (kind);

  relay_world_start (w);
  return w;
}

static int
sends (const RelayWorld *w)
{
  return w->backend->n_calls;
}

static bool
went_elsewhere (const RelayWorld *w)
{
  FakeBackendCall *const *c = w->backend->calls;

  return sends (w) == 2 && strcmp (c[0]->address, c[1]->address) != 0;
}

/* --- Plain answers ----------------------------------------------------------------------- */

/* Guards against an answer whose body or mark of the server is lost on the way. */
static void
an_answer_is_passed_on_whole (void)
{
  RelayWorld *w = started (CALL_NON_IDEMPOTENT);

  relay_world_head (w, 201);
  fake_backend_bytes (relay_world_call (w), "booked ");
  CU_ASSERT_EQUAL (w->answers, 0);
  fake_backend_bytes (relay_world_call (w), "it");
  fake_backend_end (relay_world_call (w));
  CU_ASSERT_EQUAL (w->answers, 1);
  CU_ASSERT_EQUAL (w->status, 201);
  CU_ASSERT_STRING_EQUAL (w->body, "booked it");
  CU_ASSERT_PTR_NOT_NULL (strstr (w->headers, "X-Response-Seal: s\n"));
  CU_ASSERT_PTR_NULL (w->relay);
  relay_world_free (w);
}

typedef enum
{
  UNREACHABLE,
  REFUSED,
  REPLACED,
  SILENT,
  SERVER_ERROR,
  BROKEN_OFF,
  MISMATCHED,
  NO_SEAL,
  N_ENDS
} ServerEnd;

static void
play (RelayWorld *w, ServerEnd how)
{
  FakeBackendCall *c = relay_world_call (w);

  switch (how)
    {
    case UNREACHABLE:
      fake_backend_fail (c, FAIL_IN_CONNECT);
      break;
    case REFUSED:
      fake_backend_head (c, 503, NOT_RUN);
      fake_backend_end (c);
      break;
    case REPLACED:
      fake_backend_head (c, 421, OTHER);
      fake_backend_end (c);
      break;
    case SILENT:
      fake_backend_fail (c, FAIL_SENT_SILENT);
      break;
    case SERVER_ERROR:
      relay_world_head (w, 500);
      fake_backend_end (c);
      break;
    case BROKEN_OFF:
      relay_world_head (w, 200);
      fake_backend_bytes (c, "half of");
      fake_backend_fail (c, FAIL_PARTLY_ANSWERED);
      break;
    case MISMATCHED:
      fake_backend_head (c, 200, FOREIGN);
      break;
    case NO_SEAL:
      fake_backend_head (c, 200, UNSEALED);
      break;
    case N_ENDS:
      break;
    }
}

/* Guards against a booking that runs twice, and against "not run" said of one that may have run. */
static void
a_request_that_may_run_once_is_sent_again_only_if_it_did_not_run (void)
{
  static const int STATUS[N_ENDS] = {
    [SILENT] = 502, [SERVER_ERROR] = 500, [BROKEN_OFF] = 502, [MISMATCHED] = 502, [NO_SEAL] = 502
  };

  for (ServerEnd how = 0; how < N_ENDS; how++)
    {
      RelayWorld *w = started (CALL_NON_IDEMPOTENT);

      play (w, how);
      if (STATUS[how] == 0)
        {
          CU_ASSERT (went_elsewhere (w));
          CU_ASSERT_EQUAL (w->answers, 0);
        }
      else
        {
          CU_ASSERT_EQUAL (sends (w), 1);
          CU_ASSERT_EQUAL (w->status, STATUS[how]);
        }
      relay_world_free (w);
    }
}

/* Guards against a failure that the caller gets although another server could have answered. */
static void
a_repeatable_request_is_sent_again_after_every_failure (void)
{
  for (ServerEnd how = 0; how < N_ENDS; how++)
    {
      RelayWorld *w = started (CALL_IDEMPOTENT);

      play (w, how);
      CU_ASSERT (went_elsewhere (w));
      relay_world_head (w, 200);
      fake_backend_bytes (relay_world_call (w), "found");
      fake_backend_end (relay_world_call (w));
      CU_ASSERT_EQUAL (w->answers, 1);
      CU_ASSERT_EQUAL (w->status, 200);
      CU_ASSERT_STRING_EQUAL (w->body, "found");
      relay_world_free (w);
    }
}

/* Guards against more runs than the route allows. */
static void
runs_end_at_the_limit_of_the_route (void)
{
  RelayWorld *w = relay_world_new (CALL_IDEMPOTENT);

  w->request.max_attempts = 2;
  relay_world_start (w);
  play (w, SILENT);
  play (w, SILENT);
  CU_ASSERT_EQUAL (sends (w), 2);
  CU_ASSERT_EQUAL (w->status, 502);
  relay_world_free (w);
}

/* Guards against an answer without a time to come back for a request that no server took. */
static void
what_no_server_took_is_answered_as_not_run (void)
{
  RelayWorld *w = started (CALL_NON_IDEMPOTENT);

  play (w, REFUSED);
  play (w, UNREACHABLE);
  play (w, REFUSED);
  CU_ASSERT_EQUAL (w->status, 503);
  CU_ASSERT_PTR_NOT_NULL (strstr (w->headers, "Retry-After: "));
  CU_ASSERT_PTR_NOT_NULL (strstr (w->body, "not_run"));
  CU_ASSERT (relay_world_can_claim (w, RELAY_WORLD_BUDGET));
  relay_world_free (w);
}

/* Guards against memory without bound for a server that does not stop. */
static void
an_answer_that_is_too_long_is_not_passed_on (void)
{
  RelayWorld *w = relay_world_new (CALL_NON_IDEMPOTENT);

  w->deps.max_answer = 4;
  relay_world_start (w);
  relay_world_head (w, 200);
  fake_backend_bytes (relay_world_call (w), "longer");
  CU_ASSERT_EQUAL (w->status, 502);
  CU_ASSERT_FALSE (relay_world_call (w)->open);
  relay_world_free (w);
}

/* --- Deadline, caller -------------------------------------------------------------------- */

/* Guards against holding a caller beyond its route's time, and against "not run" for what was sent. */
static void
the_deadline_ends_a_request_that_was_sent_with_504 (void)
{
  RelayWorld *w = started (CALL_NON_IDEMPOTENT);

  relay_world_run (w, 4200);
  CU_ASSERT_EQUAL (w->status, 504);
  CU_ASSERT (relay_world_call (w)->cancelled);
  relay_world_free (w);
}

/* Guards against charging and running a request whose caller has gone. */
static void
a_caller_that_leaves_ends_the_work (void)
{
  RelayWorld *w = started (CALL_STREAM);

  relay_world_call (w)->reached = FAIL_IN_CONNECT;
  relay_world_leave (w);
  CU_ASSERT (relay_world_call (w)->cancelled);
  CU_ASSERT_EQUAL (w->answers, 0);
  CU_ASSERT (relay_world_can_claim (w, RELAY_WORLD_BUDGET));
  relay_world_free (w);
}

/* Guards against a caller that waits for tokens which nobody can give. */
static void
a_request_beyond_the_budget_is_rejected_and_not_sent (void)
{
  RelayWorld *w = relay_world_new (CALL_NON_IDEMPOTENT);

  w->request.max_tokens = RELAY_WORLD_BUDGET;
  relay_world_start (w);
  relay_world_run (w, 1500);
  CU_ASSERT_EQUAL (w->status, 402);
  CU_ASSERT_EQUAL (sends (w), 0);
  relay_world_free (w);
}

/* --- Streams ----------------------------------------------------------------------------- */

/* Guards against half an event before a break, which a caller would join with the next run's. */
static void
streams_are_passed_on_by_whole_events (void)
{
  RelayWorld *w = started (CALL_STREAM);

  relay_world_head (w, 200);
  fake_backend_bytes (relay_world_call (w), "id: 1\ndata: a\n\nid: 2\nda");
  CU_ASSERT_STRING_EQUAL (w->body, "id: 1\ndata: a\n\n");
  fake_backend_fail (relay_world_call (w), FAIL_PARTLY_ANSWERED);
  CU_ASSERT_STRING_EQUAL (w->body, "id: 1\ndata: a\n\n");
  CU_ASSERT (w->aborted);
  CU_ASSERT_FALSE (w->ended);
  CU_ASSERT_EQUAL (sends (w), 1);
  relay_world_free (w);
}

/* Guards against an end that looks complete although an event is missing. */
static void
a_stream_that_ends_inside_an_event_is_not_complete (void)
{
  RelayWorld *w = started (CALL_STREAM);

  relay_world_head (w, 200);
  fake_backend_bytes (relay_world_call (w), "id: 1\ndata: a\n\nid: 2\nda");
  fake_backend_end (relay_world_call (w));
  CU_ASSERT (w->aborted);
  CU_ASSERT_FALSE (w->ended);
  relay_world_free (w);
}

/* Guards against a stream that starts from its beginning at the second server. */
static void
a_resumable_stream_goes_on_after_its_last_event (void)
{
  RelayWorld *w = relay_world_new (CALL_STREAM);

  w->request.resumable = true;
  w->request.repeatable = true;
  relay_world_start (w);
  relay_world_head (w, 200);
  fake_backend_bytes (relay_world_call (w), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3");
  fake_backend_fail (relay_world_call (w), FAIL_PARTLY_ANSWERED);
  CU_ASSERT (went_elsewhere (w));
  CU_ASSERT_PTR_NOT_NULL (strstr (relay_world_call (w)->headers, "Last-Event-Id: 2\n"));
  relay_world_head (w, 200);
  fake_backend_bytes (relay_world_call (w), "id: 3\ndata: c\n\n");
  fake_backend_end (relay_world_call (w));
  CU_ASSERT_EQUAL (w->answers, 1);
  CU_ASSERT (w->ended);
  CU_ASSERT_STRING_EQUAL (w->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  relay_world_free (w);
}

/* Guards against paying for output that was not delivered, and for nothing where some was. */
static void
a_stream_costs_its_prompt_and_what_was_delivered (void)
{
  RelayWorld *w = started (CALL_STREAM);

  relay_world_head (w, 200);
  fake_backend_bytes (relay_world_call (w), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  fake_backend_fail (relay_world_call (w), FAIL_PARTLY_ANSWERED);
  CU_ASSERT (relay_world_can_claim (w, RELAY_WORLD_BUDGET - 110));
  CU_ASSERT_FALSE (relay_world_can_claim (w, RELAY_WORLD_BUDGET - 109));
  relay_world_free (w);
}

/* Guards against memory that fills up behind a caller who reads slowly. */
static void
a_slow_reader_holds_the_server_back (void)
{
  RelayWorld *w = started (CALL_STREAM);

  relay_world_head (w, 200);
  w->blocked = true;
  fake_backend_bytes (relay_world_call (w), "id: 1\ndata: a\n\n");
  CU_ASSERT_FALSE (relay_world_call (w)->paused);
  fake_backend_bytes (relay_world_call (w), "id: 2\ndata: b\n\n");
  CU_ASSERT (relay_world_call (w)->paused);
  w->blocked = false;
  relay_caller_ready (w->relay);
  CU_ASSERT_FALSE (relay_world_call (w)->paused);
  relay_world_free (w);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "an_answer_is_passed_on_whole", an_answer_is_passed_on_whole },
    { "a_request_that_may_run_once_is_sent_again_only_if_it_did_not_run",
      a_request_that_may_run_once_is_sent_again_only_if_it_did_not_run },
    { "a_repeatable_request_is_sent_again_after_every_failure",
      a_repeatable_request_is_sent_again_after_every_failure },
    { "runs_end_at_the_limit_of_the_route", runs_end_at_the_limit_of_the_route },
    { "what_no_server_took_is_answered_as_not_run", what_no_server_took_is_answered_as_not_run },
    { "an_answer_that_is_too_long_is_not_passed_on", an_answer_that_is_too_long_is_not_passed_on },
    { "the_deadline_ends_a_request_that_was_sent_with_504",
      the_deadline_ends_a_request_that_was_sent_with_504 },
    { "a_caller_that_leaves_ends_the_work", a_caller_that_leaves_ends_the_work },
    { "a_request_beyond_the_budget_is_rejected_and_not_sent",
      a_request_beyond_the_budget_is_rejected_and_not_sent },
    { "streams_are_passed_on_by_whole_events", streams_are_passed_on_by_whole_events },
    { "a_stream_that_ends_inside_an_event_is_not_complete",
      a_stream_that_ends_inside_an_event_is_not_complete },
    { "a_resumable_stream_goes_on_after_its_last_event",
      a_resumable_stream_goes_on_after_its_last_event },
    { "a_stream_costs_its_prompt_and_what_was_delivered",
      a_stream_costs_its_prompt_and_what_was_delivered },
    { "a_slow_reader_holds_the_server_back", a_slow_reader_holds_the_server_back },
  };

  return harness_run ("relay", CASES, sizeof CASES / sizeof CASES[0]);
}

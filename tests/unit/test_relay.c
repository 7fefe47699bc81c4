/* Each way in which a request can end: the response the client gets, whether the request is retried, and what
 * the account is charged. */
#include <string.h>

#include <talloc.h>

#include "harness.h"
#include "relay_fixture.h"
#include "room_fixture.h"

static const char *const NOT_RUN_HEADERS[]
    = { "X-Request-Id", "r-1", "X-Not-Executed", "full", NULL };
static const char *const MISDIRECTED_HEADERS[] = { "X-Not-Executed", "1", NULL };
static const char *const MISMATCHED_HEADERS[]
    = { "X-Request-Id", "r-2", "X-Response-Seal", "s", NULL };
static const char *const UNMARKED_HEADERS[] = { "X-Request-Id", "r-1", NULL };

static RelayFixture *
start_fixture (CallKind kind)
{
  RelayFixture *f = relay_fixture_new (kind);

  relay_fixture_start (f);
  return f;
}

static int
n_sent (const RelayFixture *f)
{
  return f->backend->n_calls;
}

static bool
was_retried_on_another_server (const RelayFixture *f)
{
  FakeBackendCall *const *c = f->backend->calls;

  return n_sent (f) == 2 && strcmp (c[0]->address, c[1]->address) != 0;
}

/* --- Buffered responses ------------------------------------------------------------------ */

/* Guards against losing part of the body, or the header that marks a response as the server's, when the
 * response is forwarded. */
static void
response_is_forwarded_completely (void)
{
  RelayFixture *f = start_fixture (CALL_NON_IDEMPOTENT);

  relay_fixture_send_head (f, 201);
  fake_backend_send_body (relay_fixture_last_call (f), "booked ");
  CU_ASSERT_EQUAL (f->n_responses, 0);
  fake_backend_send_body (relay_fixture_last_call (f), "it");
  fake_backend_end_response (relay_fixture_last_call (f));
  CU_ASSERT_EQUAL (f->n_responses, 1);
  CU_ASSERT_EQUAL (f->status, 201);
  CU_ASSERT_STRING_EQUAL (f->body, "booked it");
  CU_ASSERT_PTR_NOT_NULL (strstr (f->headers, "X-Response-Seal: s\n"));
  CU_ASSERT_PTR_NULL (f->relay);
  relay_fixture_free (f);
}

typedef enum
{
  UNREACHABLE,
  REJECTED,    /* 503 with X-Not-Executed */
  MISDIRECTED, /* 421: not the expected instance */
  NO_RESPONSE,
  SERVER_ERROR,
  TRUNCATED,
  MISMATCHED, /* the id of another request */
  UNMARKED,   /* no X-Response-Seal, by which a response is known to be the server's */
  N_FAILURES
} ServerFailure;

static void
fail_server (RelayFixture *f, ServerFailure failure)
{
  FakeBackendCall *c = relay_fixture_last_call (f);

  switch (failure)
    {
    case UNREACHABLE:
      fake_backend_fail (c, FAIL_CONNECT);
      break;
    case REJECTED:
      fake_backend_send_head (c, 503, NOT_RUN_HEADERS);
      fake_backend_end_response (c);
      break;
    case MISDIRECTED:
      fake_backend_send_head (c, 421, MISDIRECTED_HEADERS);
      fake_backend_end_response (c);
      break;
    case NO_RESPONSE:
      fake_backend_fail (c, FAIL_NO_RESPONSE);
      break;
    case SERVER_ERROR:
      relay_fixture_send_head (f, 500);
      fake_backend_end_response (c);
      break;
    case TRUNCATED:
      relay_fixture_send_head (f, 200);
      fake_backend_send_body (c, "half of");
      fake_backend_fail (c, FAIL_RESPONSE_TRUNCATED);
      break;
    case MISMATCHED:
      fake_backend_send_head (c, 200, MISMATCHED_HEADERS);
      break;
    case UNMARKED:
      fake_backend_send_head (c, 200, UNMARKED_HEADERS);
      break;
    case N_FAILURES:
      break;
    }
}

/* Guards against a non-repeatable request (such as a booking) that runs twice, and against reporting "not run"
 * for one that may have run. */
static void
non_repeatable_request_is_retried_only_if_it_did_not_run (void)
{
  static const int STATUS[N_FAILURES] = { [NO_RESPONSE] = 502,
                                          [SERVER_ERROR] = 500,
                                          [TRUNCATED] = 502,
                                          [MISMATCHED] = 502,
                                          [UNMARKED] = 502 };

  for (ServerFailure failure = 0; failure < N_FAILURES; failure++)
    {
      RelayFixture *f = start_fixture (CALL_NON_IDEMPOTENT);

      fail_server (f, failure);
      if (STATUS[failure] == 0)
        {
          CU_ASSERT (was_retried_on_another_server (f));
          CU_ASSERT_EQUAL (f->n_responses, 0);
        }
      else
        {
          CU_ASSERT_EQUAL (n_sent (f), 1);
          CU_ASSERT_EQUAL (f->status, STATUS[failure]);
        }
      relay_fixture_free (f);
    }
}

/* Guards against returning a failure to the client although another server could have responded. */
static void
repeatable_request_is_retried_after_every_failure (void)
{
  for (ServerFailure failure = 0; failure < N_FAILURES; failure++)
    {
      RelayFixture *f = start_fixture (CALL_IDEMPOTENT);

      fail_server (f, failure);
      CU_ASSERT (was_retried_on_another_server (f));
      relay_fixture_send_head (f, 200);
      fake_backend_send_body (relay_fixture_last_call (f), "found");
      fake_backend_end_response (relay_fixture_last_call (f));
      CU_ASSERT_EQUAL (f->n_responses, 1);
      CU_ASSERT_EQUAL (f->status, 200);
      CU_ASSERT_STRING_EQUAL (f->body, "found");
      relay_fixture_free (f);
    }
}

/* Guards against running a request more often than its route allows. */
static void
runs_are_limited_by_the_route (void)
{
  RelayFixture *f = relay_fixture_new (CALL_IDEMPOTENT);

  f->request.max_attempts = 2;
  relay_fixture_start (f);
  fail_server (f, NO_RESPONSE);
  fail_server (f, NO_RESPONSE);
  CU_ASSERT_EQUAL (n_sent (f), 2);
  CU_ASSERT_EQUAL (f->status, 502);
  relay_fixture_free (f);
}

/* Guards against an error without Retry-After, or a charge, for a request that no server accepted. */
static void
request_that_no_server_accepted_is_reported_as_not_run (void)
{
  RelayFixture *f = start_fixture (CALL_NON_IDEMPOTENT);

  fail_server (f, REJECTED);
  fail_server (f, UNREACHABLE);
  fail_server (f, REJECTED);
  CU_ASSERT_EQUAL (f->status, 503);
  CU_ASSERT_PTR_NOT_NULL (strstr (f->headers, "Retry-After: "));
  CU_ASSERT_PTR_NOT_NULL (strstr (f->body, "not_run"));
  CU_ASSERT (relay_fixture_can_reserve (f, RELAY_FIXTURE_BUDGET));
  relay_fixture_free (f);
}

/* Guards against unbounded memory use by a server whose response does not end. */
static void
oversized_response_is_not_forwarded (void)
{
  RelayFixture *f = relay_fixture_new (CALL_NON_IDEMPOTENT);

  f->deps.max_response_bytes = 4;
  relay_fixture_start (f);
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "longer");
  CU_ASSERT_EQUAL (f->status, 502);
  CU_ASSERT_FALSE (relay_fixture_last_call (f)->open);
  relay_fixture_free (f);
}

/* A response of the server to the request of @p f, larger than what is read without room, finds that others hold all of it. */
static RoomClaim *
wait_for_room (RelayFixture *f, char *body, size_t len)
{
  RoomClaim *other = room_claim_new (f, f->deps.response_room, "other", NULL, NULL);

  memset (body, 'b', len);
  body[len] = '\0';
  f->deps.max_response_bytes = ROOM_FIXTURE_BYTES;
  CU_ASSERT (room_claim_reserve (other, ROOM_FIXTURE_BYTES, ROOM_FIXTURE_BYTES));
  relay_fixture_start (f);
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), body);
  CU_ASSERT (relay_fixture_last_call (f)->paused);
  CU_ASSERT_EQUAL (f->n_responses, 0);
  return other;
}

/* Guards against responses behind slow clients that end the process for its memory, and against one that is thrown away because others
 * hold the room. */
static void
response_waits_for_room_and_keeps_it_until_it_is_taken (void)
{
  RelayFixture *f = relay_fixture_new (CALL_NON_IDEMPOTENT);
  static char body[2 * RESPONSE_ROOM_SMALL_BYTES];
  RoomClaim *other = wait_for_room (f, body, sizeof body - 1);

  talloc_free (other);
  relay_fixture_run (f, 10);
  CU_ASSERT_FALSE (relay_fixture_last_call (f)->paused);
  fake_backend_send_body (relay_fixture_last_call (f), body);
  fake_backend_end_response (relay_fixture_last_call (f));
  CU_ASSERT_EQUAL (f->status, 200);
  CU_ASSERT_STRING_EQUAL (f->body, body);
  CU_ASSERT_PTR_NULL (f->relay);
  CU_ASSERT_EQUAL (response_room_used_bytes (f->deps.response_room), strlen (body));
  TALLOC_FREE (f->kept);
  CU_ASSERT_EQUAL (response_room_used_bytes (f->deps.response_room), 0);
  relay_fixture_free (f);
}

/* Guards against a request that waits for room beyond its deadline, or that takes room after it. */
static void
response_that_waits_for_room_ends_at_the_deadline (void)
{
  RelayFixture *f = relay_fixture_new (CALL_NON_IDEMPOTENT);
  static char body[2 * RESPONSE_ROOM_SMALL_BYTES];
  RoomClaim *other = wait_for_room (f, body, sizeof body - 1);

  relay_fixture_run (f, 4200);
  CU_ASSERT_EQUAL (f->status, 504);
  CU_ASSERT (relay_fixture_last_call (f)->cancelled);
  talloc_free (other);
  relay_fixture_run (f, 10);
  CU_ASSERT_EQUAL (response_room_used_bytes (f->deps.response_room), 0);
  relay_fixture_free (f);
}

/* --- Deadline, budget, disconnects ------------------------------------------------------- */

/* Guards against keeping a client waiting beyond the route's timeout, and against reporting "not run" for a
 * request that was sent. */
static void
request_that_was_sent_ends_with_504_at_the_deadline (void)
{
  RelayFixture *f = start_fixture (CALL_NON_IDEMPOTENT);

  relay_fixture_run (f, 4200);
  CU_ASSERT_EQUAL (f->status, 504);
  CU_ASSERT (relay_fixture_last_call (f)->cancelled);
  relay_fixture_free (f);
}

/* Guards against running and charging a request whose client has disconnected. */
static void
client_disconnect_cancels_the_request (void)
{
  RelayFixture *f = start_fixture (CALL_STREAM);

  relay_fixture_last_call (f)->failure_point = FAIL_CONNECT;
  relay_fixture_disconnect_client (f);
  CU_ASSERT (relay_fixture_last_call (f)->cancelled);
  CU_ASSERT_EQUAL (f->n_responses, 0);
  CU_ASSERT (relay_fixture_can_reserve (f, RELAY_FIXTURE_BUDGET));
  relay_fixture_free (f);
}

/* Guards against a request that waits for more tokens than the budget has in total. */
static void
request_beyond_the_budget_is_rejected_and_not_sent (void)
{
  RelayFixture *f = relay_fixture_new (CALL_NON_IDEMPOTENT);

  f->request.max_tokens = RELAY_FIXTURE_BUDGET;
  relay_fixture_start (f);
  relay_fixture_run (f, 1500);
  CU_ASSERT_EQUAL (f->status, 402);
  CU_ASSERT_EQUAL (n_sent (f), 0);
  relay_fixture_free (f);
}

/* --- Streams ----------------------------------------------------------------------------- */

/* Guards against forwarding a partial event before a failure: the client would join it to the first event of
 * the next attempt. */
static void
streams_are_forwarded_by_complete_events (void)
{
  RelayFixture *f = start_fixture (CALL_STREAM);

  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\nid: 2\nda");
  CU_ASSERT_STRING_EQUAL (f->body, "id: 1\ndata: a\n\n");
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
  CU_ASSERT_STRING_EQUAL (f->body, "id: 1\ndata: a\n\n");
  CU_ASSERT (f->aborted);
  CU_ASSERT_FALSE (f->ended);
  CU_ASSERT_EQUAL (n_sent (f), 1);
  relay_fixture_free (f);
}

/* Guards against ending a stream normally although its last event is incomplete. */
static void
stream_that_ends_inside_an_event_is_not_complete (void)
{
  RelayFixture *f = start_fixture (CALL_STREAM);

  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\nid: 2\nda");
  fake_backend_end_response (relay_fixture_last_call (f));
  CU_ASSERT (f->aborted);
  CU_ASSERT_FALSE (f->ended);
  relay_fixture_free (f);
}

/* Guards against a retried stream that starts again from its beginning on the second server. */
static void
resumable_stream_continues_after_its_last_event (void)
{
  RelayFixture *f = relay_fixture_new (CALL_STREAM);

  f->request.resumable = true;
  f->request.repeatable = true;
  relay_fixture_start (f);
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3");
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
  CU_ASSERT (was_retried_on_another_server (f));
  CU_ASSERT_PTR_NOT_NULL (strstr (relay_fixture_last_call (f)->headers, "Last-Event-Id: 2\n"));
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 3\ndata: c\n\n");
  fake_backend_end_response (relay_fixture_last_call (f));
  CU_ASSERT_EQUAL (f->n_responses, 1);
  CU_ASSERT (f->ended);
  CU_ASSERT_STRING_EQUAL (f->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  relay_fixture_free (f);
}

/* Guards against a response that has begun and is neither continued nor ended. */
static void
broken_stream_that_no_server_can_take_is_aborted (void)
{
  RelayFixture *f = relay_fixture_new (CALL_STREAM);

  f->request.resumable = true;
  f->request.repeatable = true;
  relay_fixture_start (f);
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\n");
  for (int i = 0; i < 3; i++)
    relay_fixture_publish (f, i, "v1", 0, true);
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
  CU_ASSERT_EQUAL (n_sent (f), 1);
  CU_ASSERT_EQUAL (f->n_responses, 1);
  CU_ASSERT (f->aborted);
  CU_ASSERT_STRING_EQUAL (f->body, "id: 1\ndata: a\n\n");
  CU_ASSERT_PTR_NULL (f->relay);
  relay_fixture_free (f);
}

/* Guards against charging output that was not delivered, and against charging nothing when some was. */
static void
stream_is_charged_for_its_prompt_and_delivered_output (void)
{
  RelayFixture *f = start_fixture (CALL_STREAM);

  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
  CU_ASSERT (relay_fixture_can_reserve (f, RELAY_FIXTURE_BUDGET - 110));
  CU_ASSERT_FALSE (relay_fixture_can_reserve (f, RELAY_FIXTURE_BUDGET - 109));
  relay_fixture_free (f);
}

/* Guards against unbounded buffering of a stream whose client reads slowly. */
static void
slow_client_pauses_the_server (void)
{
  RelayFixture *f = start_fixture (CALL_STREAM);

  relay_fixture_send_head (f, 200);
  f->blocked = true;
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\n");
  CU_ASSERT_FALSE (relay_fixture_last_call (f)->paused);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 2\ndata: b\n\n");
  CU_ASSERT (relay_fixture_last_call (f)->paused);
  f->blocked = false;
  relay_client_writable (f->relay);
  CU_ASSERT_FALSE (relay_fixture_last_call (f)->paused);
  relay_fixture_free (f);
}

/* Guards against an answer that is none: a server in trouble sends a status that HTTP does not have (RFC 9110, section 15), with all
 * else as in an answer that counts. */
static void
status_that_http_does_not_have_is_no_answer (void)
{
  static const int STATUSES[] = { 0, 1, 99, 101, 199, 600, 700, 999 };
  static const CallKind KINDS[] = { CALL_STREAM, CALL_IDEMPOTENT, CALL_NON_IDEMPOTENT };

  for (size_t s = 0; s < sizeof STATUSES / sizeof STATUSES[0]; s++)
    for (size_t k = 0; k < sizeof KINDS / sizeof KINDS[0]; k++)
      {
        RelayFixture *f = relay_fixture_new (KINDS[k]);

        f->request.max_attempts = 1;
        relay_fixture_start (f);
        relay_fixture_send_head (f, STATUSES[s]);
        fake_backend_send_body (relay_fixture_last_call (f), "part");
        fake_backend_end_response (relay_fixture_last_call (f));
        CU_ASSERT_EQUAL (f->status, 502);
        CU_ASSERT_EQUAL (f->backend->n_calls, 1);
        relay_fixture_free (f);
      }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "status_that_http_does_not_have_is_no_answer", status_that_http_does_not_have_is_no_answer },
    { "response_is_forwarded_completely", response_is_forwarded_completely },
    { "non_repeatable_request_is_retried_only_if_it_did_not_run",
      non_repeatable_request_is_retried_only_if_it_did_not_run },
    { "repeatable_request_is_retried_after_every_failure",
      repeatable_request_is_retried_after_every_failure },
    { "runs_are_limited_by_the_route", runs_are_limited_by_the_route },
    { "request_that_no_server_accepted_is_reported_as_not_run",
      request_that_no_server_accepted_is_reported_as_not_run },
    { "oversized_response_is_not_forwarded", oversized_response_is_not_forwarded },
    { "response_waits_for_room_and_keeps_it_until_it_is_taken",
      response_waits_for_room_and_keeps_it_until_it_is_taken },
    { "response_that_waits_for_room_ends_at_the_deadline",
      response_that_waits_for_room_ends_at_the_deadline },
    { "request_that_was_sent_ends_with_504_at_the_deadline",
      request_that_was_sent_ends_with_504_at_the_deadline },
    { "client_disconnect_cancels_the_request", client_disconnect_cancels_the_request },
    { "request_beyond_the_budget_is_rejected_and_not_sent",
      request_beyond_the_budget_is_rejected_and_not_sent },
    { "streams_are_forwarded_by_complete_events", streams_are_forwarded_by_complete_events },
    { "stream_that_ends_inside_an_event_is_not_complete",
      stream_that_ends_inside_an_event_is_not_complete },
    { "resumable_stream_continues_after_its_last_event",
      resumable_stream_continues_after_its_last_event },
    { "broken_stream_that_no_server_can_take_is_aborted",
      broken_stream_that_no_server_can_take_is_aborted },
    { "stream_is_charged_for_its_prompt_and_delivered_output",
      stream_is_charged_for_its_prompt_and_delivered_output },
    { "slow_client_pauses_the_server", slow_client_pauses_the_server },
  };

  return harness_run ("relay", CASES, sizeof CASES / sizeof CASES[0]);
}

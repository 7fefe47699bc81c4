/* What a client gets, and its account pays, when a stream breaks off after it has begun and is sent to another server. */
#include <string.h>

#include <talloc.h>

#include "harness.h"
#include "relay_fixture.h"

#define FIRST_EVENT  "id: 1\ndata: a\n\n"
#define SECOND_EVENT "id: 2\ndata: b\n\n"

static const char *const STREAM_HEADERS[]
    = { "X-Request-Id", "r-1", "X-Response-Seal", "s", "Transfer-Encoding", "chunked", NULL };

/* A stream that may be resumed, of which the client has the first event, and which has been sent to a second server. */
static RelayFixture *
fixture_with_broken_stream (void)
{
  RelayFixture *f = relay_fixture_new (CALL_STREAM);

  f->request.resumable = true;
  f->request.repeatable = true;
  relay_fixture_start (f);
  fake_backend_send_head (relay_fixture_last_call (f), 200, STREAM_HEADERS);
  fake_backend_send_body (relay_fixture_last_call (f), FIRST_EVENT);
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
  CU_ASSERT_EQUAL_FATAL (f->backend->n_calls, 2);
  return f;
}

static void
answer_with_error (RelayFixture *f, int status)
{
  relay_fixture_send_head (f, status);
  fake_backend_send_body (relay_fixture_last_call (f), "error text");
  fake_backend_end_response (relay_fixture_last_call (f));
}

/* @param events that were forwarded */
static void
check_charged (RelayFixture *f, Tokens events)
{
  Tokens left = RELAY_FIXTURE_BUDGET - f->request.prompt_tokens - events * f->request.event_tokens;

  CU_ASSERT_FALSE (relay_fixture_can_reserve (f, left + 1));
  CU_ASSERT (relay_fixture_can_reserve (f, left));
}

/* Guards against tokens that were delivered and cost nothing, and against a stream that never ends. */
static void
errors_after_a_stream_has_begun_break_it_off_and_are_charged (void)
{
  static const int STATUS[] = { 204, 400, 404, 500, 504 };

  for (size_t i = 0; i < sizeof STATUS / sizeof STATUS[0]; i++)
    {
      RelayFixture *f = fixture_with_broken_stream ();

      answer_with_error (f, STATUS[i]);
      CU_ASSERT_EQUAL (f->backend->n_calls, 3);
      answer_with_error (f, STATUS[i]);
      CU_ASSERT_PTR_NULL (f->relay);
      CU_ASSERT_EQUAL (f->n_responses, 1);
      CU_ASSERT_EQUAL (f->status, 200);
      CU_ASSERT_STRING_EQUAL (f->body, FIRST_EVENT);
      CU_ASSERT (f->aborted);
      CU_ASSERT_FALSE (f->ended);
      check_charged (f, 1);
      relay_fixture_free (f);
    }
}

/* Guards against a stream that is given up although another server could go on with it. */
static void
stream_goes_on_after_an_error_in_between (void)
{
  RelayFixture *f = fixture_with_broken_stream ();

  answer_with_error (f, 500);
  CU_ASSERT_EQUAL_FATAL (f->backend->n_calls, 3);
  CU_ASSERT_PTR_NOT_NULL (strstr (relay_fixture_last_call (f)->headers, "Last-Event-Id: 1\n"));
  fake_backend_send_head (relay_fixture_last_call (f), 200, STREAM_HEADERS);
  fake_backend_send_body (relay_fixture_last_call (f), SECOND_EVENT);
  fake_backend_end_response (relay_fixture_last_call (f));
  CU_ASSERT_STRING_EQUAL (f->body, FIRST_EVENT SECOND_EVENT);
  CU_ASSERT (f->ended);
  CU_ASSERT_FALSE (f->aborted);
  check_charged (f, 2);
  relay_fixture_free (f);
}

/* Guards against an error that is kept from a client that has nothing yet. */
static void
error_before_a_stream_has_begun_is_the_response (void)
{
  RelayFixture *f = relay_fixture_new (CALL_STREAM);

  relay_fixture_start (f);
  answer_with_error (f, 404);
  CU_ASSERT_EQUAL (f->status, 404);
  CU_ASSERT_STRING_EQUAL (f->body, "error text");
  CU_ASSERT (relay_fixture_can_reserve (f, RELAY_FIXTURE_BUDGET));
  relay_fixture_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "errors_after_a_stream_has_begun_break_it_off_and_are_charged",
      errors_after_a_stream_has_begun_break_it_off_and_are_charged },
    { "stream_goes_on_after_an_error_in_between", stream_goes_on_after_an_error_in_between },
    { "error_before_a_stream_has_begun_is_the_response",
      error_before_a_stream_has_begun_is_the_response },
  };

  return harness_run ("begun streams", CASES, sizeof CASES / sizeof CASES[0]);
}

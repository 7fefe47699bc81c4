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

/* What a stream brought before it broke off, and the id after which its rest is asked for; NULL: it must not be. */
typedef struct
{
  const char *events;
  const char *asked_after;
} BrokenStream;

static RelayFixture *
break_off (const BrokenStream *b)
{
  RelayFixture *f = relay_fixture_new (CALL_STREAM);

  f->request.resumable = true;
  f->request.repeatable = true;
  f->request.last_event_id = "0";
  relay_fixture_start (f);
  fake_backend_send_head (relay_fixture_last_call (f), 200, STREAM_HEADERS);
  fake_backend_send_body (relay_fixture_last_call (f), b->events);
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
  return f;
}

static void
check_rest (const BrokenStream *b)
{
  RelayFixture *f = break_off (b);
  const FakeBackendCall *c = relay_fixture_last_call (f);
  char *line = talloc_asprintf (f, "Last-Event-Id: %s\n", b->asked_after ? b->asked_after : "");

  CU_ASSERT_EQUAL (f->backend->n_calls, b->asked_after ? 2 : 1);
  CU_ASSERT_EQUAL (f->aborted, !b->asked_after);
  CU_ASSERT (!b->asked_after || strstr (c->headers, line));
  relay_fixture_free (f);
}

/* Guards against pieces that a client gets twice, because the rest of a stream is asked for after an older event than the last
 * one, or from its beginning. */
static void
rest_of_a_stream_is_asked_for_after_its_last_event_or_not_at_all (void)
{
  static const BrokenStream STREAMS[] = {
    { "id: 01KBQ4Z9X3M700000000000027\ndata: a\n\n", "01KBQ4Z9X3M700000000000027" },
    { "id:x\r\ndata: a\r\n\r\n", "x" },
    { "id: 1\nid: 2\ndata: a\n\n", "2" },
    { "id: 1\ndata: a\n\n: waiting\n\n", "1" },
    { "id: 1\ndata: a\n\nid: 2\n\n", "2" },
    { "data: id: 1\n\n", NULL },
    { "id: 1\ndata: a\n\ndata: b\n\n", NULL },
    { "id: 1\ndata: a\n\nid\ndata: b\n\n", NULL },
    { "id: 1\ndata: a\n\nid:  2\ndata: b\n\n", NULL },
    { "id: 1\ndata: a\n\nid: 2\rX-Tenant: x\ndata: b\n\n", NULL },
  };

  for (size_t i = 0; i < sizeof STREAMS / sizeof STREAMS[0]; i++)
    check_rest (&STREAMS[i]);
}

/* Guards against ids that are cut to a fixed size. */
static void
ids_of_events_have_any_length_that_a_header_has (void)
{
  static const int BYTES[] = { 23, 24, 200, 1000, 4096, 4097, 20000 };

  for (size_t i = 0; i < sizeof BYTES / sizeof BYTES[0]; i++)
    {
      char *id = talloc_array (NULL, char, BYTES[i] + 1);
      BrokenStream b = { .asked_after = BYTES[i] > 4096 ? NULL : id };

      memset (id, 'x', BYTES[i]);
      id[BYTES[i]] = '\0';
      b.events = talloc_asprintf (id, "id: 1\ndata: a\n\nid: %s\ndata: b\n\n", id);
      check_rest (&b);
      talloc_free (id);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "rest_of_a_stream_is_asked_for_after_its_last_event_or_not_at_all",
      rest_of_a_stream_is_asked_for_after_its_last_event_or_not_at_all },
    { "ids_of_events_have_any_length_that_a_header_has",
      ids_of_events_have_any_length_that_a_header_has },
    { "errors_after_a_stream_has_begun_break_it_off_and_are_charged",
      errors_after_a_stream_has_begun_break_it_off_and_are_charged },
    { "stream_goes_on_after_an_error_in_between", stream_goes_on_after_an_error_in_between },
    { "error_before_a_stream_has_begun_is_the_response",
      error_before_a_stream_has_begun_is_the_response },
  };

  return harness_run ("begun streams", CASES, sizeof CASES / sizeof CASES[0]);
}

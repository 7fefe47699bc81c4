/* A client takes up a stream that was broken off: what it is told, and what is sent to servers. */
#include <string.h>

#include <talloc.h>

#include "harness.h"
#include "relay_fixture.h"

typedef struct
{
  RelayFixture *relay;
  Streams *streams;
} Fixture;

static int64_t
now_ms (const Fixture *f)
{
  return timers_now_ms (f->relay->deps.timers);
}

/* The state of the rows that hosts share. @param row NULL: the store can't be read. */
static void
read_rows (Fixture *f, const char *row)
{
  if (!streams_read_begin (f->streams, now_ms (f)))
    return;
  streams_read_at (f->streams, (StreamsStoreTime){ .time_ms = now_ms (f), .era = 1 }, now_ms (f));
  if (row)
    streams_read_versions_row (f->streams, f->relay->service->name, row, strlen (row), 5);
  streams_read_end (f->streams, row != NULL, now_ms (f));
}

#define ONE_VERSION                                                                                \
  "{\"versions\":[{\"name\":\"v1\",\"gone_ms\":0}],\"era\":1,\"unsure_until_ms\":0}"
#define TWO_VERSIONS                                                                               \
  "{\"versions\":[{\"name\":\"v1\",\"gone_ms\":0},{\"name\":\"v2\",\"gone_ms\":0}],"               \
  "\"era\":1,\"unsure_until_ms\":0}"

static Fixture *
fixture_new (const char *resumes, const char *last_event_id)
{
  Fixture *f = talloc_zero (NULL, Fixture);
  StreamsOptions options = { .seed = 1 };

  f->relay = relay_fixture_new (CALL_STREAM);
  f->streams = streams_new (f, &options);
  f->relay->deps.streams = f->streams;
  f->relay->request.resumable = true;
  f->relay->request.repeatable = true;
  f->relay->request.resumes = resumes;
  f->relay->request.last_event_id = last_event_id;
  relay_fixture_publish (f->relay, 0, "v1", 10, false);
  relay_fixture_publish (f->relay, 1, "v2", 10, false);
  relay_fixture_publish (f->relay, 2, "v2", 10, false);
  return f;
}

static void
fixture_free (Fixture *f)
{
  relay_fixture_free (f->relay);
  talloc_free (f);
}

static void
check_refused (Fixture *f, const char *kind, bool has_retry_after)
{
  RelayFixture *r = f->relay;

  CU_ASSERT_PTR_NULL (r->relay);
  CU_ASSERT_EQUAL (r->n_responses, 1);
  CU_ASSERT_EQUAL (r->status, 503);
  CU_ASSERT_PTR_NOT_NULL (strstr (r->body, kind));
  CU_ASSERT_EQUAL (strstr (r->headers, "Retry-After") != NULL, has_retry_after);
  CU_ASSERT (relay_fixture_can_reserve (r, RELAY_FIXTURE_BUDGET));
  CU_ASSERT_EQUAL (r->backend->n_calls, 0);
}

/* Guards against a guess, and against a client that asks for the rest again and again. */
static void
stream_of_unknown_version_is_refused_for_good (void)
{
  static const char *const RESUMES[] = { "r1", "r1", NULL };
  static const char *const LAST[] = { "7", NULL, "7" };

  for (size_t i = 0; i < 3; i++)
    {
      Fixture *f = fixture_new (RESUMES[i], LAST[i]);

      relay_fixture_start (f->relay);
      CU_ASSERT_EQUAL (f->relay->n_responses, 0);
      read_rows (f, TWO_VERSIONS);
      relay_fixture_run (f->relay, 10);
      check_refused (f, "version_unknown", false);
      fixture_free (f);
    }
}

/* Guards against a final refusal although the store may be read in a moment. */
static void
stream_is_refused_for_a_moment_while_the_store_is_away (void)
{
  Fixture *f = fixture_new ("r1", "7");

  relay_fixture_start (f->relay);
  read_rows (f, NULL);
  relay_fixture_run (f->relay, 10);
  check_refused (f, "platform_unavailable", true);
  fixture_free (f);
}

/* Guards against a request that waits for the store longer than its client does. */
static void
wait_for_the_store_ends_with_the_deadline (void)
{
  Fixture *f = fixture_new ("r1", "7");

  relay_fixture_start (f->relay);
  relay_fixture_run (f->relay, f->relay->request.client_timeout_ms + 1000);
  check_refused (f, "platform_unavailable", true);
  read_rows (f, ONE_VERSION);
  relay_fixture_run (f->relay, 10);
  CU_ASSERT_EQUAL (f->relay->n_responses, 1);
  fixture_free (f);
}

/* Guards against an answer that reaches a relay that is gone. */
static void
client_that_leaves_while_it_waits_is_forgotten (void)
{
  for (int answered = 0; answered < 2; answered++)
    {
      Fixture *f = fixture_new ("r1", "7");

      relay_fixture_start (f->relay);
      if (answered)
        read_rows (f, ONE_VERSION);
      relay_fixture_disconnect_client (f->relay);
      read_rows (f, ONE_VERSION);
      relay_fixture_run (f->relay, 10);
      CU_ASSERT_EQUAL (f->relay->backend->n_calls, 0);
      fixture_free (f);
    }
}

/* Guards against a stream that goes on at a server of any version. */
static void
known_stream_goes_to_its_version_only (void)
{
  static const char *const VERSIONS[] = { "v1", "v3" };

  for (size_t i = 0; i < 2; i++)
    {
      Fixture *f = fixture_new ("r1", "7");
      RelayRequest *q = &f->relay->request;
      StreamBegin b = { .key = stream_key (q->account, f->relay->service->name, "r1"),
                        .server = "x",
                        .version = VERSIONS[i],
                        .until_ms = now_ms (f) + 10000 };

      streams_begin (f->streams, &b, now_ms (f));
      relay_fixture_start (f->relay);
      if (i == 0)
        CU_ASSERT_STRING_EQUAL (relay_fixture_last_call (f->relay)->address, "server-0");
      if (i == 1)
        check_refused (f, "version_gone", true);
      fixture_free (f);
    }
}

/* Guards against a new stream at a version of which the row says nothing. */
static void
new_stream_begins_at_listed_versions_only (void)
{
  for (int i = 0; i < 10; i++)
    {
      Fixture *f = fixture_new (NULL, NULL);

      streams_server_changed (f->streams, "server-0", f->relay->service->name, "v1", now_ms (f));
      read_rows (f, ONE_VERSION);
      relay_fixture_start (f->relay);
      CU_ASSERT_STRING_EQUAL (relay_fixture_last_call (f->relay)->address, "server-0");
      fixture_free (f);
    }
}

/* Guards against streams that a host without the row begins. */
static void
new_stream_waits_for_the_row (void)
{
  Fixture *f = fixture_new (NULL, NULL);

  relay_fixture_start (f->relay);
  check_refused (f, "no_server", true);
  fixture_free (f);
}

/* Guards against a row in which a stream has a version that it was moved away from before its first event. */
static void
retry_stays_at_a_version_that_other_hosts_may_have_read (void)
{
  for (int written = 0; written < 2; written++)
    {
      Fixture *f = fixture_new (NULL, NULL);
      RelayFixture *r = f->relay;
      StreamKey key = stream_key (r->request.account, r->service->name, r->request.id);
      size_t len;

      streams_server_changed (f->streams, "server-0", r->service->name, "v1", now_ms (f));
      read_rows (f, TWO_VERSIONS);
      relay_fixture_publish (r, 1, "v2", 10, true);
      relay_fixture_publish (r, 2, "v2", 10, true);
      relay_fixture_start (r);
      CU_ASSERT_STRING_EQUAL (relay_fixture_last_call (r)->address, "server-0");
      relay_fixture_publish (r, 1, "v2", 10, false);
      relay_fixture_publish (r, 2, "v2", 10, false);
      if (written)
        talloc_free (streams_next_record_write (f->streams, f, now_ms (f), &len));
      fake_backend_fail (relay_fixture_last_call (r), FAIL_NO_RESPONSE);
      CU_ASSERT_EQUAL (r->backend->n_calls, written ? 1 : 2);
      CU_ASSERT_EQUAL (r->relay == NULL, written);
      if (!written)
        {
          StreamQuery query = { .service = r->service->name, .key = key };
          StreamAnswer answer;

          CU_ASSERT_PTR_NULL (streams_look_up (f->streams, f, &query, &answer));
          CU_ASSERT_STRING_EQUAL (answer.version, "v2");
        }
      fixture_free (f);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "stream_of_unknown_version_is_refused_for_good",
      stream_of_unknown_version_is_refused_for_good },
    { "stream_is_refused_for_a_moment_while_the_store_is_away",
      stream_is_refused_for_a_moment_while_the_store_is_away },
    { "wait_for_the_store_ends_with_the_deadline", wait_for_the_store_ends_with_the_deadline },
    { "client_that_leaves_while_it_waits_is_forgotten",
      client_that_leaves_while_it_waits_is_forgotten },
    { "known_stream_goes_to_its_version_only", known_stream_goes_to_its_version_only },
    { "new_stream_begins_at_listed_versions_only", new_stream_begins_at_listed_versions_only },
    { "new_stream_waits_for_the_row", new_stream_waits_for_the_row },
    { "retry_stays_at_a_version_that_other_hosts_may_have_read",
      retry_stays_at_a_version_that_other_hosts_may_have_read },
  };

  return harness_run ("resume", CASES, sizeof CASES / sizeof CASES[0]);
}

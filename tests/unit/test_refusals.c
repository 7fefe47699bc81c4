/* A server's "not run" is believed only if it cannot be a copy of an earlier one on the same connection. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "harness.h"
#include "relay_fixture.h"

static const char *const OWN_HEADERS[] = { "X-Request-Id", "r-1", "X-Not-Executed", "full", NULL };
static const char *const NO_ID_HEADERS[]
    = { "X-Not-Executed", "full", "Retry-After", "20", "Server-Leaving", "0", NULL };
static const char *const NO_HEADERS[] = { NULL };

static RelayFixture *
start_fixture (CallKind kind, const char *id)
{
  RelayFixture *f = relay_fixture_new (kind);

  f->request.id = id;
  relay_fixture_start (f);
  return f;
}

static void
refuse (RelayFixture *f, bool reused, int status, const char *const *headers)
{
  FakeBackendCall *c = relay_fixture_last_call (f);

  c->reused = reused;
  fake_backend_send_head (c, status, headers);
  fake_backend_end_response (c);
}

/* Guards against "not run, try again" for a request that its server runs: the refusal was one of an earlier request,
 * written once more. */
static void
a_refusal_without_an_id_is_not_believed_on_a_kept_connection (void)
{
  static const struct
  {
    int status;
    const char *const *headers;
  } REFUSALS[] = {
    { 503, NO_ID_HEADERS }, { 429, NO_ID_HEADERS }, { 421, NO_ID_HEADERS }, { 421, NO_HEADERS }
  };

  for (size_t i = 0; i < sizeof REFUSALS / sizeof REFUSALS[0]; i++)
    {
      RelayFixture *f = start_fixture (CALL_NON_IDEMPOTENT, "r-1");

      refuse (f, true, REFUSALS[i].status, REFUSALS[i].headers);
      CU_ASSERT_EQUAL (f->backend->n_calls, 1);
      CU_ASSERT_EQUAL (f->n_responses, 1);
      CU_ASSERT_EQUAL (f->status, 502);
      relay_fixture_free (f);
    }
}

/* The same for requests that have no id, whose refusals have none either. */
static void
a_refusal_of_a_request_without_an_id_is_not_believed_on_a_kept_connection (void)
{
  RelayFixture *f = start_fixture (CALL_NON_IDEMPOTENT, "");

  refuse (f, true, 400, NO_ID_HEADERS);
  CU_ASSERT_EQUAL (f->backend->n_calls, 1);
  CU_ASSERT_EQUAL (f->status, 502);
  relay_fixture_free (f);
}

/* Guards against a refusal that is doubted without need, so that requests fail which another server could have run. */
static void
refusals_that_can_be_no_copy_are_believed (void)
{
  static const struct
  {
    bool reused;
    int status;
    const char *const *headers;
  } REFUSALS[] = { { true, 503, OWN_HEADERS },
                   { true, 421, OWN_HEADERS },
                   { false, 503, OWN_HEADERS },
                   { false, 503, NO_ID_HEADERS },
                   { false, 421, NO_HEADERS } };

  for (size_t i = 0; i < sizeof REFUSALS / sizeof REFUSALS[0]; i++)
    {
      RelayFixture *f = start_fixture (CALL_NON_IDEMPOTENT, "r-1");

      refuse (f, REFUSALS[i].reused, REFUSALS[i].status, REFUSALS[i].headers);
      CU_ASSERT_EQUAL (f->backend->n_calls, 2);
      CU_ASSERT_EQUAL (f->n_responses, 0);
      relay_fixture_free (f);
    }
}

/* Puts all servers at one address, as after a restart under a new id whose earlier row is still there. */
static void
move_servers_to_one_address (RelayFixture *f)
{
  for (int i = 0; i < 3; i++)
    {
      char id[24];
      ServerRecord record = { .id = id,
                              .service = f->service->name,
                              .address = "10.0.0.1:80",
                              .data_centre = "d",
                              .version = "v1",
                              .slots = 8 };

      snprintf (id, sizeof id, "server-%d", i);
      dispatch_server_changed (f->dispatch, &record, timers_now_ms (f->deps.timers));
    }
}

/* Guards against a copy of this request's own first refusal that is taken for the answer to its second attempt, which
 * the server runs. */
static void
a_refusal_of_the_attempt_before_is_not_believed_again (void)
{
  for (int reused = 0; reused < 2; reused++)
    {
      RelayFixture *f = relay_fixture_new (CALL_NON_IDEMPOTENT);

      move_servers_to_one_address (f);
      relay_fixture_start (f);
      refuse (f, false, 421, OWN_HEADERS);
      CU_ASSERT_EQUAL (f->backend->n_calls, 2);
      refuse (f, reused, 421, OWN_HEADERS);
      CU_ASSERT_EQUAL (f->backend->n_calls, reused ? 2 : 3);
      CU_ASSERT_EQUAL (f->status, reused ? 502 : 0);
      relay_fixture_free (f);
    }
}

/* Guards against a server that gets no requests for the time that a copy of an earlier refusal names. */
static void
a_doubted_refusal_does_not_pause_its_server (void)
{
  RelayFixture *f = start_fixture (CALL_NON_IDEMPOTENT, "r-1");

  CU_ASSERT_EQUAL (dispatch_n_usable (f->dispatch, timers_now_ms (f->deps.timers)), 3);
  refuse (f, true, 503, NO_ID_HEADERS);
  CU_ASSERT_EQUAL (dispatch_n_usable (f->dispatch, timers_now_ms (f->deps.timers)), 3);
  relay_fixture_free (f);
}

/* Guards against a second attempt at the server that has refused the first, because its long id was cut when it was
 * noted. */
static void
a_server_with_a_long_id_is_not_tried_again (void)
{
  RelayFixture *f = relay_fixture_new (CALL_NON_IDEMPOTENT);
  char id[201];
  ServerRecord record = { .id = id,
                          .service = f->service->name,
                          .address = "10.0.0.1:80",
                          .data_centre = "d",
                          .version = "v1",
                          .slots = 8 };

  memset (id, 'x', sizeof id - 1);
  id[sizeof id - 1] = '\0';
  dispatch_server_changed (f->dispatch, &record, timers_now_ms (f->deps.timers));
  for (int i = 0; i < 3; i++)
    {
      char other[24];

      snprintf (other, sizeof other, "server-%d", i);
      dispatch_server_removed (f->dispatch, other, 0, timers_now_ms (f->deps.timers));
    }
  relay_fixture_start (f);
  CU_ASSERT_STRING_EQUAL (relay_fixture_last_call (f)->address, record.address);
  refuse (f, false, 503, OWN_HEADERS);
  CU_ASSERT_EQUAL (f->backend->n_calls, 1);
  CU_ASSERT_EQUAL (f->status, 503);
  relay_fixture_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "a_refusal_without_an_id_is_not_believed_on_a_kept_connection",
      a_refusal_without_an_id_is_not_believed_on_a_kept_connection },
    { "a_refusal_of_a_request_without_an_id_is_not_believed_on_a_kept_connection",
      a_refusal_of_a_request_without_an_id_is_not_believed_on_a_kept_connection },
    { "refusals_that_can_be_no_copy_are_believed", refusals_that_can_be_no_copy_are_believed },
    { "a_refusal_of_the_attempt_before_is_not_believed_again",
      a_refusal_of_the_attempt_before_is_not_believed_again },
    { "a_doubted_refusal_does_not_pause_its_server", a_doubted_refusal_does_not_pause_its_server },
    { "a_server_with_a_long_id_is_not_tried_again", a_server_with_a_long_id_is_not_tried_again },
  };

  return harness_run ("refusals", CASES, sizeof CASES / sizeof CASES[0]);
}

/* Signals that servers send with their responses: that they are draining, or that they want no
 * requests for some time. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "harness.h"
#include "relay_fixture.h"

static RelayFixture *
start_request (CallKind kind)
{
  RelayFixture *fx = relay_fixture_new (kind);

  relay_fixture_start (fx);
  return fx;
}

static int
n_sent (const RelayFixture *fx)
{
  return fx->backend->n_calls;
}

static const char *const DRAINING[]
    = { "X-Request-Id", "r-1", "X-Response-Seal", "s", "Server-Leaving", "1", NULL };
static const char *const DRAINING_NOT_RUN[]
    = { "X-Request-Id", "r-1", "X-Not-Executed", "full", "Server-Leaving", "1", NULL };
static const char *const DRAINING_MISMATCHED[]
    = { "X-Request-Id", "r-2", "X-Response-Seal", "s", "Server-Leaving", "1", NULL };
static const char *const PAUSE_REQUEST[]
    = { "X-Request-Id", "r-1", "X-Not-Executed", "full", "Retry-After", "1.5", NULL };
static const char *const SEALED[] = { "X-Request-Id", "r-1", "X-Response-Seal", "s", NULL };
static const char *const INTERIM_DRAINING[] = { "Server-Leaving", "1", NULL };

/* Removes all servers but the one at @p address. @return whether a new request is sent to it. */
static bool
gets_request (RelayFixture *fx, const char *address)
{
  int before = n_sent (fx);
  bool sent;

  for (int i = 0; i < 3; i++)
    {
      char id[24];

      snprintf (id, sizeof id, "server-%d", i);
      if (strcmp (id, address) != 0)
        dispatch_server_removed (fx->dispatch, id, 0, timers_now_ms (fx->deps.timers));
    }
  relay_fixture_start (fx);
  sent = n_sent (fx) > before;
  if (fx->relay)
    relay_fixture_disconnect_client (fx);
  return sent;
}

/* Guards against new requests for a server that has announced, in any kind of response, that it is
 * draining. */
static void
draining_server_gets_no_new_requests (void)
{
  static const struct
  {
    int status;
    const char *const *headers;
    const char *const *interim;
  } RESPONSES[] = { { 200, DRAINING, NULL },
                    { 500, DRAINING, NULL },
                    { 503, DRAINING_NOT_RUN, NULL },
                    { 200, DRAINING_MISMATCHED, NULL },
                    { 200, SEALED, INTERIM_DRAINING } };

  for (size_t i = 0; i < sizeof RESPONSES / sizeof RESPONSES[0]; i++)
    {
      RelayFixture *fx = start_request (CALL_NON_IDEMPOTENT);
      FakeBackendCall *c = relay_fixture_last_call (fx);
      char *address = talloc_strdup (fx, c->address);

      c->interim_headers = RESPONSES[i].interim;
      fake_backend_send_head (c, RESPONSES[i].status, RESPONSES[i].headers);
      fake_backend_end_response (c);
      if (fx->relay)
        {
          CU_ASSERT_STRING_NOT_EQUAL (relay_fixture_last_call (fx)->address, address);
          relay_fixture_disconnect_client (fx);
        }
      CU_ASSERT_FALSE (gets_request (fx, address));
      relay_fixture_free (fx);
    }
}

/* Guards against requests for a server that has asked for a pause, and against a pause that lasts
 * longer than the server asked for. */
static void
paused_server_gets_no_requests_until_pause_ends (void)
{
  RelayFixture *fx = start_request (CALL_NON_IDEMPOTENT);
  FakeBackendCall *c = relay_fixture_last_call (fx);
  char *address = talloc_strdup (fx, c->address);

  fake_backend_send_head (c, 503, PAUSE_REQUEST);
  fake_backend_end_response (c);
  relay_fixture_disconnect_client (fx);
  CU_ASSERT_FALSE (gets_request (fx, address));
  relay_fixture_run (fx, 1300);
  CU_ASSERT_FALSE (gets_request (fx, address));
  relay_fixture_run (fx, 200);
  CU_ASSERT (gets_request (fx, address));
  relay_fixture_free (fx);
}

/* Guards against a client that is kept waiting, or gets no Retry-After, while all servers of the
 * service have asked for a pause. */
static void
client_gets_retry_after_if_all_servers_are_paused (void)
{
  RelayFixture *fx = start_request (CALL_NON_IDEMPOTENT);

  for (int i = 0; i < 3; i++)
    {
      fake_backend_send_head (relay_fixture_last_call (fx), 503, PAUSE_REQUEST);
      fake_backend_end_response (relay_fixture_last_call (fx));
    }
  CU_ASSERT_EQUAL (fx->status, 503);
  CU_ASSERT_PTR_NULL (fx->relay);
  fx->headers = talloc_strdup (fx, "");
  relay_fixture_start (fx);
  CU_ASSERT_EQUAL (n_sent (fx), 3);
  CU_ASSERT_PTR_NULL (fx->relay);
  CU_ASSERT_PTR_NOT_NULL (strstr (fx->headers, "Retry-After: 1."));
  relay_fixture_free (fx);
}

static const char *const LIMITED[]
    = { "X-Request-Id", "r-1", "X-Response-Seal", "s", "Server-Limit", "0.5", NULL };
static const char *const LIMITED_NOT_RUN[]
    = { "X-Request-Id", "r-1", "X-Not-Executed", "full", "Server-Limit", "0.5", NULL };
static const char *const LIMITED_MISMATCHED[]
    = { "X-Request-Id", "r-2", "X-Response-Seal", "s", "Server-Limit", "0.5", NULL };
static const char *const NOT_RUN[] = { "X-Request-Id", "r-1", "X-Not-Executed", "full", NULL };

/* Sends a request, which gets this response. @return the address of its server. */
static char *
exchange (RelayFixture *fx, int status, const char *const *headers)
{
  FakeBackendCall *c;
  char *address;

  relay_fixture_start (fx);
  c = relay_fixture_last_call (fx);
  address = talloc_strdup (fx, c->address);
  fake_backend_send_head (c, status, headers);
  fake_backend_end_response (c);
  if (fx->relay)
    relay_fixture_disconnect_client (fx);
  return address;
}

/* Guards against a limit that is not read from some kind of response, or from one that is not the server's. */
static void
limit_is_read_from_responses_of_its_server (void)
{
  static const struct
  {
    int status;
    const char *const *headers;
    bool limited;
  } RESPONSES[] = { { 200, LIMITED, true },
                    { 500, LIMITED, true },
                    { 503, LIMITED_NOT_RUN, true },
                    { 421, LIMITED_NOT_RUN, false },
                    { 200, LIMITED_MISMATCHED, false } };

  for (size_t i = 0; i < sizeof RESPONSES / sizeof RESPONSES[0]; i++)
    {
      RelayFixture *fx = relay_fixture_new (CALL_NON_IDEMPOTENT);
      char *address = exchange (fx, RESPONSES[i].status, RESPONSES[i].headers);

      relay_fixture_run (fx, 1000);
      CU_ASSERT_EQUAL (gets_request (fx, address), !RESPONSES[i].limited);
      relay_fixture_free (fx);
    }
}

/* Guards against a limit that counts as ended because a response that its server makes without running the request
 * lacks it. */
static void
limit_ends_only_with_a_response_to_a_run (void)
{
  static const struct
  {
    int status;
    const char *const *headers;
    bool ends;
  } RESPONSES[] = { { 503, NOT_RUN, false }, { 200, SEALED, true } };

  for (size_t i = 0; i < sizeof RESPONSES / sizeof RESPONSES[0]; i++)
    {
      RelayFixture *fx = relay_fixture_new (CALL_NON_IDEMPOTENT);
      char *address = exchange (fx, 200, LIMITED);

      for (int k = 0; k < 3; k++)
        {
          char id[24];

          snprintf (id, sizeof id, "server-%d", k);
          if (strcmp (id, address) != 0)
            dispatch_server_removed (fx->dispatch, id, 0, timers_now_ms (fx->deps.timers));
        }
      relay_fixture_run (fx, 4000);
      exchange (fx, RESPONSES[i].status, RESPONSES[i].headers);
      relay_fixture_run (fx, 1000);
      CU_ASSERT_EQUAL (gets_request (fx, address), RESPONSES[i].ends);
      relay_fixture_free (fx);
    }
}

/* Guards against a client that waits, or is told to come back at once, or pays, while all servers have reached their
 * limits. */
static void
client_is_refused_at_once_if_all_servers_are_at_their_limits (void)
{
  RelayFixture *fx = relay_fixture_new (CALL_NON_IDEMPOTENT);

  for (int i = 0; i < 3; i++)
    exchange (fx, 200, LIMITED);
  fx->headers = talloc_strdup (fx, "");
  relay_fixture_start (fx);
  CU_ASSERT_EQUAL (n_sent (fx), 3);
  CU_ASSERT_PTR_NULL (fx->relay);
  CU_ASSERT_EQUAL (fx->status, 503);
  CU_ASSERT_PTR_NOT_NULL (strstr (fx->headers, "Retry-After: "));
  CU_ASSERT_PTR_NOT_NULL (strstr (fx->body, "\"not_run\""));
  CU_ASSERT_TRUE (relay_fixture_can_reserve (fx, RELAY_FIXTURE_BUDGET - 3 * 150));
  relay_fixture_free (fx);
}

/* @return the requests that the host has in flight at most, at three servers of eight places. */
static int
fill_servers (RelayFixture *fx)
{
  DispatchQuery q = { .service = fx->service, .now_ms = timers_now_ms (fx->deps.timers) };
  Err err = ERR_INIT;
  Assignment *a[400];
  int n = 0;

  while (n < 400 && (a[n] = dispatch_pick (fx->dispatch, fx, &q, &err)))
    n++;
  for (int i = 0; i < n; i++)
    assignment_end (a[i], ASSIGNMENT_CANCELLED, q.now_ms);
  return n;
}

/* Guards against servers that say they are brittle, and are filled beyond their places nevertheless; a value that can't be
 * read is no reason to go on. */
static void
brittle_servers_are_filled_to_their_places_only (void)
{
  static const char *const VALUES[] = { "3", "0", "x", "-1", "", "1234567", NULL };

  for (size_t i = 0; i < sizeof VALUES / sizeof VALUES[0]; i++)
    {
      const char *headers[]
          = { "X-Request-Id", "r-1", "X-Response-Seal", "s", "Server-Brittle", VALUES[i], NULL };
      RelayFixture *fx = start_request (CALL_IDEMPOTENT);

      if (!VALUES[i])
        headers[4] = NULL;
      fake_backend_send_head (relay_fixture_last_call (fx), 200, headers);
      fake_backend_end_response (relay_fixture_last_call (fx));
      CU_ASSERT_EQUAL (fx->status, 200);
      CU_ASSERT_PTR_NULL (strstr (fx->headers, "Server-Brittle"));
      CU_ASSERT_EQUAL (fill_servers (fx), VALUES[i] ? 3 * 8 : 3 * 85);
      relay_fixture_free (fx);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "brittle_servers_are_filled_to_their_places_only",
      brittle_servers_are_filled_to_their_places_only },
    { "draining_server_gets_no_new_requests", draining_server_gets_no_new_requests },
    { "paused_server_gets_no_requests_until_pause_ends",
      paused_server_gets_no_requests_until_pause_ends },
    { "client_gets_retry_after_if_all_servers_are_paused",
      client_gets_retry_after_if_all_servers_are_paused },
    { "limit_is_read_from_responses_of_its_server", limit_is_read_from_responses_of_its_server },
    { "limit_ends_only_with_a_response_to_a_run", limit_ends_only_with_a_response_to_a_run },
    { "client_is_refused_at_once_if_all_servers_are_at_their_limits",
      client_is_refused_at_once_if_all_servers_are_at_their_limits },
  };

  return harness_run ("server_signals", CASES, sizeof CASES / sizeof CASES[0]);
}

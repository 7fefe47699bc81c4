/* Servers of several software versions in one service: a stream goes on only at the version that began it. */
#include <stdio.h>
#include <string.h>

#include "dispatch/server_version.h"
#include "dispatch_fixture.h"
#include "harness.h"
#include "relay_fixture.h"

#define FIRST_EVENT  "id: 1\ndata: a\n\n"
#define SECOND_EVENT "id: 2\ndata: b\n\n"
#define STARTED_MS   10 /* of every server, unless a case says otherwise */

#define LONG_NAME "0123456789012345678901234567890123456789012345678901234567890123"

/* Guards against two versions that are taken for one because of how their names are stored. */
static void
versions_are_told_apart_by_their_whole_names (void)
{
  char prefix[] = "0123456789012345678901234567890123456789012345678901234567890123";
  char longer[] = "0123456789012345678901234567890123456789012345678901234567890123x";
  char other[] = "0123456789012345678901234567890123456789012345678901234567890123y";
  const char *const names[] = { "", "v1", "v1 ", "V1", "v1.1", prefix, longer, other };
  char a[SERVER_VERSION_BYTES];
  char b[SERVER_VERSION_BYTES];

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    for (size_t j = 0; j < sizeof names / sizeof names[0]; j++)
      {
        server_version_set (a, names[i]);
        server_version_set (b, names[j]);
        CU_ASSERT_EQUAL (!strcmp (a, b), i == j);
      }
  server_version_set (a, longer);
  server_version_set (b, a);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  server_version_set (a, NULL);
  CU_ASSERT_STRING_EQUAL (a, "");
}

/* Guards against an error that tells a stream to wait for servers that will not come, or not to wait for busy ones. */
static void
version_without_a_server_is_told_apart_from_busy_servers (void)
{
  DispatchFixture *fx = dispatch_fixture_new (1, 1, "cost");
  DispatchQuery query = { .service = fx->engine_service, .now_ms = fx->now_ms, .version = "v2" };
  Assignment *taken[1000];
  int n = 0;
  Err err = ERR_INIT;

  CU_ASSERT_PTR_NULL (dispatch_pick (fx->hosts[0], fx, &query, &err));
  CU_ASSERT_EQUAL (err.kind, ERR_VERSION_GONE);
  query.version = "v1";
  while (n < 1000 && (taken[n] = dispatch_pick (fx->hosts[0], fx, &query, &err)))
    n++;
  CU_ASSERT (n > 0 && n < 1000);
  CU_ASSERT_EQUAL (err.kind, ERR_OVERLOADED);
  CU_ASSERT_STRING_EQUAL (assignment_server_state (taken[0]).version, "v1");
  while (n > 0)
    assignment_end (taken[--n], ASSIGNMENT_CANCELLED, fx->now_ms);
  dispatch_fixture_publish (fx, 0, true);
  CU_ASSERT_PTR_NULL (dispatch_pick (fx->hosts[0], fx, &query, &err));
  CU_ASSERT_EQUAL (err.kind, ERR_VERSION_GONE);
  query.version = NULL;
  CU_ASSERT_PTR_NULL (dispatch_pick (fx->hosts[0], fx, &query, &err));
  CU_ASSERT_EQUAL (err.kind, ERR_NO_SERVER);
  dispatch_fixture_free (fx);
}

/* --- Within one response ----------------------------------------------------------------- */

#define NOWHERE    (-1)
#define MAX_OTHERS 4

typedef enum
{
  ABSENT,
  READY,
  DRAINING,
  LIMITED
} OtherState;

typedef struct
{
  const char *version;
  OtherState state;
} OtherServer;

/* @return the number of the server that has the last attempt, which must be open; NOWHERE if the response was broken
 * off. */
static int
server_of_rest (const RelayFixture *f)
{
  if (f->relay)
    return relay_fixture_last_call (f)->address[strlen ("server-")] - '0';
  CU_ASSERT (f->aborted && !f->ended);
  CU_ASSERT_EQUAL (f->n_responses, 1);
  return NOWHERE;
}

/* Starts a stream whose first attempt is at server-0, of @p version, while no other server can take it. */
static RelayFixture *
start_stream (const char *version)
{
  RelayFixture *f = relay_fixture_new (CALL_STREAM);

  f->request.resumable = true;
  f->request.repeatable = true;
  relay_fixture_publish (f, 0, version, STARTED_MS, false);
  relay_fixture_publish (f, 1, "v1", STARTED_MS - 1, true);
  relay_fixture_publish (f, 2, "v1", STARTED_MS - 1, true);
  relay_fixture_start (f);
  CU_ASSERT_STRING_EQUAL (relay_fixture_last_call (f)->address, "server-0");
  return f;
}

static void
forward_event (RelayFixture *f, const char *event)
{
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), event);
}

static void
break_off (RelayFixture *f)
{
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
}

static void
limit_server (RelayFixture *f, int server)
{
  char id[] = "server-0";
  ServerInstance instance = { id, id, STARTED_MS };

  id[strlen ("server-")] += (char)server;
  dispatch_server_limited (f->dispatch, &instance, (LimitStatement){ LIMIT_NAMED, 0.001 }, 0,
                           timers_now_ms (f->deps.timers));
}

static void
publish_others (RelayFixture *f, const OtherServer others[MAX_OTHERS])
{
  for (int i = 0; i < MAX_OTHERS; i++)
    if (others[i].state != ABSENT)
      {
        relay_fixture_publish (f, i + 1, others[i].version, STARTED_MS,
                               others[i].state == DRAINING);
        if (others[i].state == LIMITED)
          limit_server (f, i + 1);
      }
}

/* Guards against responses that hold events of two versions, which don't fit together. */
static void
broken_stream_goes_on_only_at_the_version_that_began_it (void)
{
  static const struct
  {
    const char *what;
    const char *version; /* of server-0, which begins the stream */
    OtherServer others[MAX_OTHERS];
    int expected;
  } CASES[] = {
    { "no other server", "v1", { { NULL, 0 } }, NOWHERE },
    { "other version", "v1", { { "v2", READY }, { "v2", READY } }, NOWHERE },
    { "among others", "v1", { { "v2", READY }, { "v1", READY } }, 2 },
    { "draining", "v1", { { "v2", READY }, { "v1", DRAINING } }, NOWHERE },
    { "limited", "v1", { { "v2", READY }, { "v1", LIMITED } }, NOWHERE },
    { "three versions", "v2", { { "v1", READY }, { "v3", READY }, { "v2", READY } }, 3 },
    { "no server of three", "v2", { { "v1", READY }, { "v3", READY }, { "v4", READY } }, NOWHERE },
    { "roll back", "v2", { { "v1", READY }, { "v1", READY } }, NOWHERE },
    { "beginning of the name", "v1", { { "v1.1", READY }, { "v", READY } }, NOWHERE },
    { "empty name", "", { { "v1", READY }, { NULL, READY } }, 2 },
    { "no empty name", "v1", { { "", READY }, { NULL, READY } }, NOWHERE },
    { "long names", LONG_NAME "a", { { LONG_NAME "b", READY }, { LONG_NAME "a", READY } }, 2 },
    { "no long name", LONG_NAME "a", { { LONG_NAME "b", READY }, { LONG_NAME, READY } }, NOWHERE },
  };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    {
      RelayFixture *f = start_stream (CASES[i].version);
      int server;

      publish_others (f, CASES[i].others);
      forward_event (f, FIRST_EVENT);
      break_off (f);
      server = server_of_rest (f);
      CU_ASSERT_EQUAL (server, CASES[i].expected);
      if (server != CASES[i].expected)
        printf ("%s: server %d\n", CASES[i].what, server);
      CU_ASSERT_STRING_EQUAL (f->body, FIRST_EVENT);
      relay_fixture_free (f);
    }
}

/* Guards against a stream that is bound to a version although nothing of it was forwarded. */
static void
stream_without_an_event_goes_on_at_any_version (void)
{
  static const OtherServer OTHERS[MAX_OTHERS] = { { "v2", READY } };
  RelayFixture *f = start_stream ("v1");

  publish_others (f, OTHERS);
  relay_fixture_send_head (f, 200);
  break_off (f);
  CU_ASSERT_EQUAL (server_of_rest (f), 1);
  relay_fixture_free (f);
}

/* Guards against a second break after which the version of the last server that was asked counts, or a server that has
 * been tried is asked again. */
static void
stream_stays_at_its_version_over_several_breaks (void)
{
  static const OtherServer FIRST[MAX_OTHERS] = { { "v1", READY } };
  static const OtherServer ALL[MAX_OTHERS] = { { "v1", READY }, { "v2", READY } };
  static const bool FORWARDS[] = { true, false };

  for (size_t i = 0; i < sizeof FORWARDS / sizeof FORWARDS[0]; i++)
    {
      RelayFixture *f = start_stream ("v1");

      publish_others (f, FIRST);
      forward_event (f, FIRST_EVENT);
      break_off (f);
      CU_ASSERT_EQUAL (server_of_rest (f), 1);
      publish_others (f, ALL);
      if (FORWARDS[i])
        forward_event (f, SECOND_EVENT);
      break_off (f);
      CU_ASSERT_EQUAL (server_of_rest (f), NOWHERE);
      relay_fixture_free (f);
    }
}

/* Guards against a stream that a client takes up and that is asked from a version that did not begin it, at first or after
 * a failure before its first event. */
static void
stream_that_is_taken_up_is_placed_at_the_required_version_only (void)
{
  static const OtherServer OTHERS[MAX_OTHERS]
      = { { "v1", READY }, { "v2", READY }, { "v3", READY } };
  RelayFixture *f = relay_fixture_new (CALL_STREAM);

  f->request.resumable = true;
  f->request.repeatable = true;
  f->required_version = "v2";
  publish_others (f, OTHERS);
  relay_fixture_start (f);
  CU_ASSERT_EQUAL (server_of_rest (f), 2);
  break_off (f);
  CU_ASSERT_EQUAL (f->backend->n_calls, 1);
  CU_ASSERT_PTR_NULL (f->relay);
  CU_ASSERT_PTR_NOT_NULL (strstr (f->body, "version_gone"));
  relay_fixture_free (f);
}

/* --- Records that change ----------------------------------------------------------------- */

typedef struct
{
  const char *version;
  int64_t started_ms; /* 0: there is no such record */
} Row;

/* Guards against trusting the version in a record that was older than the server at its address: what was forwarded may be
 * of the next start. */
static void
stream_of_a_replaced_server_is_not_resumed (void)
{
  static const struct
  {
    const char *what;
    bool before_event; /* the records change before the first event */
    bool removed;      /* the first record is removed before the others come */
    Row rows[3];
    int expected;
    bool order_unknown; /* the store was restored before the records changed */
  } CASES[] = {
    { "unchanged", false, false, { { "v1", STARTED_MS } }, 1, false },
    { "removed", false, true, { { NULL, 0 } }, 1, false },
    { "other start", false, false, { { "v2", STARTED_MS + 1 } }, NOWHERE, false },
    { "other start, before", true, false, { { "v2", STARTED_MS + 1 } }, NOWHERE, false },
    { "same version", false, false, { { "v1", STARTED_MS + 1 } }, NOWHERE, false },
    { "same start", false, false, { { "v2", STARTED_MS } }, NOWHERE, false },
    { "same start, before", true, false, { { "v2", STARTED_MS } }, NOWHERE, false },
    { "there and back",
      false,
      false,
      { { "v2", STARTED_MS }, { "v1", STARTED_MS } },
      NOWHERE,
      false },
    { "roll back", false, false, { { "v2", 11 }, { "v1", 12 } }, NOWHERE, false },
    { "removed between", false, true, { { "v2", STARTED_MS + 1 } }, NOWHERE, false },
    { "came back", false, true, { { "v1", STARTED_MS } }, 1, false },
    { "earlier start", false, false, { { "v2", STARTED_MS - 1 } }, NOWHERE, false },
    { "older record", false, false, { { "v2", STARTED_MS - 1 } }, 1, true },
  };
  static const OtherServer OTHERS[MAX_OTHERS] = { { "v1", READY } };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    {
      RelayFixture *f = start_stream ("v1");
      int server;

      publish_others (f, OTHERS);
      if (!CASES[i].before_event)
        forward_event (f, FIRST_EVENT);
      if (CASES[i].removed)
        dispatch_server_removed (f->dispatch, "server-0", 0, timers_now_ms (f->deps.timers));
      f->order_unknown = CASES[i].order_unknown;
      for (int k = 0; k < 3 && CASES[i].rows[k].started_ms > 0; k++)
        relay_fixture_publish (f, 0, CASES[i].rows[k].version, CASES[i].rows[k].started_ms, false);
      if (CASES[i].before_event)
        forward_event (f, FIRST_EVENT);
      break_off (f);
      server = server_of_rest (f);
      CU_ASSERT_EQUAL (server, CASES[i].expected);
      if (server != CASES[i].expected)
        printf ("%s: server %d\n", CASES[i].what, server);
      relay_fixture_free (f);
    }
}

/* Guards against a stream that is patched because the record of its first server showed its other version only after its
 * attempt had ended; a server that starts again at the same version is no reason to break a stream off. */
static void
record_that_changes_after_the_attempt_counts_at_the_next_break (void)
{
  static const OtherServer FIRST[MAX_OTHERS] = { { "v1", READY } };
  static const OtherServer ALL[MAX_OTHERS] = { { "v1", READY }, { "v1", READY } };
  static const struct
  {
    const char *version;
    int expected;
  } CASES[] = { { "v1", 2 }, { "v2", NOWHERE } };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    {
      RelayFixture *f = start_stream ("v1");

      publish_others (f, FIRST);
      forward_event (f, FIRST_EVENT);
      break_off (f);
      CU_ASSERT_EQUAL (server_of_rest (f), 1);
      forward_event (f, SECOND_EVENT);
      relay_fixture_publish (f, 0, CASES[i].version, STARTED_MS + 1, false);
      publish_others (f, ALL);
      break_off (f);
      CU_ASSERT_EQUAL (server_of_rest (f), CASES[i].expected);
      relay_fixture_free (f);
    }
}

/* Guards against events from a server that turns out to be another start than the one that was chosen for the rest. */
static void
rest_from_a_replaced_server_is_not_forwarded (void)
{
  static const OtherServer FIRST[MAX_OTHERS] = { { "v1", READY } };
  static const OtherServer SECOND[MAX_OTHERS] = { { NULL, ABSENT }, { "v1", READY } };
  RelayFixture *f = start_stream ("v1");

  publish_others (f, FIRST);
  forward_event (f, FIRST_EVENT);
  break_off (f);
  CU_ASSERT_EQUAL (server_of_rest (f), 1);
  relay_fixture_publish (f, 1, "v2", STARTED_MS + 1, false);
  publish_others (f, SECOND);
  forward_event (f, "id: 2\ndata: x\n\n");
  CU_ASSERT_STRING_EQUAL (f->body, FIRST_EVENT);
  CU_ASSERT_EQUAL (server_of_rest (f), 2);
  forward_event (f, SECOND_EVENT);
  CU_ASSERT_STRING_EQUAL (f->body, FIRST_EVENT SECOND_EVENT);
  relay_fixture_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "versions_are_told_apart_by_their_whole_names",
      versions_are_told_apart_by_their_whole_names },
    { "version_without_a_server_is_told_apart_from_busy_servers",
      version_without_a_server_is_told_apart_from_busy_servers },
    { "broken_stream_goes_on_only_at_the_version_that_began_it",
      broken_stream_goes_on_only_at_the_version_that_began_it },
    { "stream_without_an_event_goes_on_at_any_version",
      stream_without_an_event_goes_on_at_any_version },
    { "stream_stays_at_its_version_over_several_breaks",
      stream_stays_at_its_version_over_several_breaks },
    { "stream_that_is_taken_up_is_placed_at_the_required_version_only",
      stream_that_is_taken_up_is_placed_at_the_required_version_only },
    { "stream_of_a_replaced_server_is_not_resumed", stream_of_a_replaced_server_is_not_resumed },
    { "record_that_changes_after_the_attempt_counts_at_the_next_break",
      record_that_changes_after_the_attempt_counts_at_the_next_break },
    { "rest_from_a_replaced_server_is_not_forwarded",
      rest_from_a_replaced_server_is_not_forwarded },
  };

  return harness_run ("versions", CASES, sizeof CASES / sizeof CASES[0]);
}

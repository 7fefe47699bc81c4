/* What servers say of themselves in their answers: that they leave, that they want nothing for a while. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "harness.h"
#include "relay_world.h"

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

static const char *const LEAVING[]
    = { "X-Request-Id", "r-1", "X-Response-Seal", "s", "Server-Leaving", "1", NULL };
static const char *const LEAVES_NOT_RUN[]
    = { "X-Request-Id", "r-1", "X-Not-Executed", "full", "Server-Leaving", "1", NULL };
static const char *const LEAVES_FOREIGN[]
    = { "X-Request-Id", "r-2", "X-Response-Seal", "s", "Server-Leaving", "1", NULL };
static const char *const PAUSES[]
    = { "X-Request-Id", "r-1", "X-Not-Executed", "full", "Retry-After", "1.5", NULL };
static const char *const SEALED[] = { "X-Request-Id", "r-1", "X-Response-Seal", "s", NULL };
static const char *const EARLY[] = { "Server-Leaving", "1", NULL };

/* Takes all other servers away. @return whether a new request is sent to this one. */
static bool
is_sent_to (RelayWorld *w, const char *address)
{
  int before = sends (w);
  bool sent;

  for (int i = 0; i < 3; i++)
    {
      char id[24];

      snprintf (id, sizeof id, "server-%d", i);
      if (strcmp (id, address) != 0)
        dispatch_server_removed (w->dispatch, id, true, timers_now_ms (w->deps.timers));
    }
  relay_world_start (w);
  sent = sends (w) > before;
  if (w->relay)
    relay_world_leave (w);
  return sent;
}

/* Guards against new work for a server that has said in any answer that it leaves. */
static void
a_server_that_says_it_leaves_gets_nothing_new (void)
{
  static const struct
  {
    int status;
    const char *const *headers;
    const char *const *early;
  } ANSWERS[] = { { 200, LEAVING, NULL },
                  { 500, LEAVING, NULL },
                  { 503, LEAVES_NOT_RUN, NULL },
                  { 200, LEAVES_FOREIGN, NULL },
                  { 200, SEALED, EARLY } };

  for (size_t i = 0; i < sizeof ANSWERS / sizeof ANSWERS[0]; i++)
    {
      RelayWorld *w = started (CALL_NON_IDEMPOTENT);
      FakeBackendCall *c = relay_world_call (w);
      char *address = talloc_strdup (w, c->address);

      c->early_headers = ANSWERS[i].early;
      fake_backend_head (c, ANSWERS[i].status, ANSWERS[i].headers);
      fake_backend_end (c);
      if (w->relay)
        {
          CU_ASSERT_STRING_NOT_EQUAL (relay_world_call (w)->address, address);
          relay_world_leave (w);
        }
      CU_ASSERT_FALSE (is_sent_to (w, address));
      relay_world_free (w);
    }
}

/* Guards against requests for a server that has asked to be left alone, and for longer than it asked. */
static void
a_server_that_wants_nothing_is_left_alone_for_so_long (void)
{
  RelayWorld *w = started (CALL_NON_IDEMPOTENT);
  FakeBackendCall *c = relay_world_call (w);
  char *address = talloc_strdup (w, c->address);

  fake_backend_head (c, 503, PAUSES);
  fake_backend_end (c);
  relay_world_leave (w);
  CU_ASSERT_FALSE (is_sent_to (w, address));
  relay_world_run (w, 1300);
  CU_ASSERT_FALSE (is_sent_to (w, address));
  relay_world_run (w, 200);
  CU_ASSERT (is_sent_to (w, address));
  relay_world_free (w);
}

/* Guards against a caller that is held, or told nothing, while no server of the service wants anything. */
static void
a_caller_is_told_when_a_server_wants_work_again (void)
{
  RelayWorld *w = started (CALL_NON_IDEMPOTENT);

  for (int i = 0; i < 3; i++)
    {
      fake_backend_head (relay_world_call (w), 503, PAUSES);
      fake_backend_end (relay_world_call (w));
    }
  CU_ASSERT_EQUAL (w->status, 503);
  CU_ASSERT_PTR_NULL (w->relay);
  w->headers = talloc_strdup (w, "");
  relay_world_start (w);
  CU_ASSERT_EQUAL (sends (w), 3);
  CU_ASSERT_PTR_NULL (w->relay);
  CU_ASSERT_PTR_NOT_NULL (strstr (w->headers, "Retry-After: 1."));
  relay_world_free (w);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "a_server_that_says_it_leaves_gets_nothing_new",
      a_server_that_says_it_leaves_gets_nothing_new },
    { "a_server_that_wants_nothing_is_left_alone_for_so_long",
      a_server_that_wants_nothing_is_left_alone_for_so_long },
    { "a_caller_is_told_when_a_server_wants_work_again",
      a_caller_is_told_when_a_server_wants_work_again },
  };

  return harness_run ("server_word", CASES, sizeof CASES / sizeof CASES[0]);
}

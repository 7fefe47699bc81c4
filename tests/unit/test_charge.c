/* What a request is charged to its account, for each way in which it can end. */
#include "harness.h"
#include "relay/charge.h"
#include "relay_fixture.h"

#define PROMPT   100
#define RESERVED 150

/* --- Charge computation ------------------------------------------------------------------ */

typedef struct
{
  ChargeInput input;
  ChargeOutcome outcome;
  Tokens tokens;               /* if only delivered responses are charged */
  Tokens tokens_charge_failed; /* with the setting charge_failed */
} ChargeCase;

static const ChargeCase CHARGE_CASES[] = {
  { { .runs = 0, .usage = -1 }, CHARGE_NOT_RUN, 0, 0 },
  { { .runs = 0, .client_gone = true, .usage = -1 }, CHARGE_NOT_RUN, 0, 0 },
  { { .runs = 1, .status = 200, .complete = true, .usage = -1 },
    CHARGE_COMPLETE_RESPONSE,
    100,
    100 },
  { { .runs = 2, .status = 200, .complete = true, .events = 3, .delivered = 15, .usage = -1 },
    CHARGE_COMPLETE_RESPONSE,
    115,
    115 },
  { { .runs = 1, .status = 200, .complete = true, .events = 3, .delivered = 15, .usage = 61 },
    CHARGE_COMPLETE_RESPONSE,
    61,
    61 },
  { { .runs = 1, .status = 200, .complete = true, .events = 3, .delivered = 15, .usage = 151 },
    CHARGE_COMPLETE_RESPONSE,
    115,
    115 },
  { { .runs = 1, .status = 200, .complete = true, .events = 30, .delivered = 90, .usage = -1 },
    CHARGE_COMPLETE_RESPONSE,
    150,
    150 },
  { { .runs = 1, .status = 500, .complete = true, .usage = -1 }, CHARGE_SERVER_ERROR, 0, 100 },
  { { .runs = 1, .status = 200, .events = 2, .delivered = 10, .usage = -1 },
    CHARGE_PARTIAL_RESPONSE,
    110,
    110 },
  { { .runs = 1, .status = 200, .client_gone = true, .events = 1, .delivered = 5, .usage = -1 },
    CHARGE_PARTIAL_RESPONSE,
    105,
    105 },
  { { .runs = 1, .client_gone = true, .usage = -1 }, CHARGE_CLIENT_GONE, 0, 100 },
  { { .runs = 1, .status = 502, .usage = -1 }, CHARGE_REQUEST_FAILED, 0, 100 },
  { { .runs = 2, .status = 504, .usage = 40 }, CHARGE_REQUEST_FAILED, 0, 40 },
};

/* Guards against charging an account for output that its client never received, and against not charging
 * it for a response that the client received. */
static void
each_outcome_has_the_specified_charge (void)
{
  for (size_t i = 0; i < sizeof CHARGE_CASES / sizeof CHARGE_CASES[0]; i++)
    {
      ChargeInput input = CHARGE_CASES[i].input;
      Charge charge;

      input.prompt = PROMPT;
      input.reserved = RESERVED;
      charge = charge_compute (&input);
      CU_ASSERT_EQUAL (charge.outcome, CHARGE_CASES[i].outcome);
      CU_ASSERT_EQUAL (charge.tokens, CHARGE_CASES[i].tokens);
      CU_ASSERT_EQUAL (charge.usage_rejected, input.usage > RESERVED);
      input.charge_failed = true;
      CU_ASSERT_EQUAL (charge_compute (&input).tokens, CHARGE_CASES[i].tokens_charge_failed);
    }
}

/* --- Charges of relayed requests --------------------------------------------------------- */

static void
lose_response (RelayFixture *f)
{
  fake_backend_fail (relay_fixture_last_call (f), FAIL_NO_RESPONSE);
}

static void
truncate_stream (RelayFixture *f)
{
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
}

static void
truncate_first_event (RelayFixture *f)
{
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\nda");
  fake_backend_fail (relay_fixture_last_call (f), FAIL_RESPONSE_TRUNCATED);
}

static void
disconnect_before_response (RelayFixture *f)
{
  relay_fixture_disconnect_client (f);
}

static void
disconnect_during_stream (RelayFixture *f)
{
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\n");
  relay_fixture_disconnect_client (f);
}

static void
reach_deadline_before_response (RelayFixture *f)
{
  relay_fixture_run (f, 6000);
}

static void
reach_deadline_during_stream (RelayFixture *f)
{
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\n");
  relay_fixture_run (f, 6000);
}

static void
respond_with_error (RelayFixture *f)
{
  relay_fixture_send_head (f, 500);
  fake_backend_end_response (relay_fixture_last_call (f));
}

static void
fail_once_and_complete (RelayFixture *f)
{
  lose_response (f);
  relay_fixture_send_head (f, 200);
  fake_backend_send_body (relay_fixture_last_call (f), "id: 1\ndata: a\n\n");
  fake_backend_end_response (relay_fixture_last_call (f));
}

typedef struct
{
  void (*run) (RelayFixture *f);
  bool repeatable;
  Tokens tokens;
  Tokens tokens_charge_failed;
} RelayCase;

static const RelayCase RELAY_CASES[] = {
  { lose_response, false, 0, 100 },
  { truncate_stream, false, 110, 110 },
  { truncate_first_event, false, 0, 100 },
  { disconnect_before_response, false, 0, 100 },
  { disconnect_during_stream, false, 105, 105 },
  { reach_deadline_before_response, false, 0, 100 },
  { reach_deadline_during_stream, false, 105, 105 },
  { respond_with_error, false, 0, 100 },
  { fail_once_and_complete, true, 105, 105 },
};

static void
check_charge (const RelayCase *c, bool charge_failed)
{
  RelayFixture *f = relay_fixture_new (CALL_STREAM);
  Tokens tokens = charge_failed ? c->tokens_charge_failed : c->tokens;

  f->request.repeatable = c->repeatable;
  f->deps.charge_failed = charge_failed;
  relay_fixture_start (f);
  c->run (f);
  CU_ASSERT_PTR_NULL (f->relay);
  CU_ASSERT (relay_fixture_can_reserve (f, RELAY_FIXTURE_BUDGET - tokens));
  CU_ASSERT_FALSE (relay_fixture_can_reserve (f, RELAY_FIXTURE_BUDGET - tokens + 1));
  relay_fixture_free (f);
}

/* Guards against a relay that settles a reservation differently from charge_compute(). */
static void
charge_covers_what_the_client_received (void)
{
  for (size_t i = 0; i < sizeof RELAY_CASES / sizeof RELAY_CASES[0]; i++)
    check_charge (&RELAY_CASES[i], false);
}

/* Guards against a relay that ignores the charge_failed setting. */
static void
charge_failed_setting_charges_every_request_that_may_have_run (void)
{
  for (size_t i = 0; i < sizeof RELAY_CASES / sizeof RELAY_CASES[0]; i++)
    check_charge (&RELAY_CASES[i], true);
}

int
main (void)
{
  static const TestCase TESTS[] = {
    { "each_outcome_has_the_specified_charge", each_outcome_has_the_specified_charge },
    { "charge_covers_what_the_client_received", charge_covers_what_the_client_received },
    { "charge_failed_setting_charges_every_request_that_may_have_run",
      charge_failed_setting_charges_every_request_that_may_have_run },
  };

  return harness_run ("charge", TESTS, sizeof TESTS / sizeof TESTS[0]);
}

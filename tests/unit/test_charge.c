/* What a request costs its account, for every end that it may have. */
#include "harness.h"
#include "relay/charge.h"
#include "relay_world.h"

#define PROMPT   100
#define RESERVED 150

/* --- The decision ------------------------------------------------------------------------ */

typedef struct
{
  ChargeFacts facts;
  ChargeEnd end;
  Tokens tokens;             /* if only what the caller got is charged */
  Tokens tokens_with_failed; /* if whatever may have run is charged */
} Row;

static const Row ROWS[] = {
  { { .runs = 0, .used = -1 }, CHARGE_NOT_RUN, 0, 0 },
  { { .runs = 0, .caller_left = true, .used = -1 }, CHARGE_NOT_RUN, 0, 0 },
  { { .runs = 1, .status = 200, .complete = true, .used = -1 }, CHARGE_WHOLE, 100, 100 },
  { { .runs = 2, .status = 200, .complete = true, .events = 3, .delivered = 15, .used = -1 },
    CHARGE_WHOLE,
    115,
    115 },
  { { .runs = 1, .status = 200, .complete = true, .events = 3, .delivered = 15, .used = 61 },
    CHARGE_WHOLE,
    61,
    61 },
  { { .runs = 1, .status = 200, .complete = true, .events = 3, .delivered = 15, .used = 151 },
    CHARGE_WHOLE,
    115,
    115 },
  { { .runs = 1, .status = 200, .complete = true, .events = 30, .delivered = 90, .used = -1 },
    CHARGE_WHOLE,
    150,
    150 },
  { { .runs = 1, .status = 500, .complete = true, .used = -1 }, CHARGE_SERVER_ERROR, 0, 100 },
  { { .runs = 1, .status = 200, .events = 2, .delivered = 10, .used = -1 }, CHARGE_PART, 110, 110 },
  { { .runs = 1, .status = 200, .caller_left = true, .events = 1, .delivered = 5, .used = -1 },
    CHARGE_PART,
    105,
    105 },
  { { .runs = 1, .caller_left = true, .used = -1 }, CHARGE_CALLER_LEFT, 0, 100 },
  { { .runs = 1, .status = 502, .used = -1 }, CHARGE_FAILED, 0, 100 },
  { { .runs = 2, .status = 504, .used = 40 }, CHARGE_FAILED, 0, 40 },
};

/* Guards against an account that pays for what its callers never got, and against answers for nothing. */
static void
every_end_has_its_price (void)
{
  for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++)
    {
      ChargeFacts facts = ROWS[i].facts;
      Charge charge;

      facts.prompt = PROMPT;
      facts.reserved = RESERVED;
      charge = charge_of (&facts);
      CU_ASSERT_EQUAL (charge.end, ROWS[i].end);
      CU_ASSERT_EQUAL (charge.tokens, ROWS[i].tokens);
      CU_ASSERT_EQUAL (charge.usage_rejected, facts.used > RESERVED);
      facts.charges_failed = true;
      CU_ASSERT_EQUAL (charge_of (&facts).tokens, ROWS[i].tokens_with_failed);
    }
}

/* --- Requests that end so ---------------------------------------------------------------- */

static void
lose_the_answer (RelayWorld *w)
{
  fake_backend_fail (relay_world_call (w), FAIL_SENT_SILENT);
}

static void
break_off (RelayWorld *w)
{
  relay_world_head (w, 200);
  fake_backend_send_body (relay_world_call (w), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  fake_backend_fail (relay_world_call (w), FAIL_PARTLY_ANSWERED);
}

static void
break_off_within_the_first_event (RelayWorld *w)
{
  relay_world_head (w, 200);
  fake_backend_send_body (relay_world_call (w), "id: 1\nda");
  fake_backend_fail (relay_world_call (w), FAIL_PARTLY_ANSWERED);
}

static void
leave_early (RelayWorld *w)
{
  relay_world_leave (w);
}

static void
leave_midway (RelayWorld *w)
{
  relay_world_head (w, 200);
  fake_backend_send_body (relay_world_call (w), "id: 1\ndata: a\n\n");
  relay_world_leave (w);
}

static void
wait_for_the_deadline (RelayWorld *w)
{
  relay_world_run (w, 6000);
}

static void
reach_the_deadline_midway (RelayWorld *w)
{
  relay_world_head (w, 200);
  fake_backend_send_body (relay_world_call (w), "id: 1\ndata: a\n\n");
  relay_world_run (w, 6000);
}

static void
report_a_failure (RelayWorld *w)
{
  relay_world_head (w, 500);
  fake_backend_end_response (relay_world_call (w));
}

static void
run_again_and_end (RelayWorld *w)
{
  lose_the_answer (w);
  relay_world_head (w, 200);
  fake_backend_send_body (relay_world_call (w), "id: 1\ndata: a\n\n");
  fake_backend_end_response (relay_world_call (w));
}

typedef struct
{
  void (*play) (RelayWorld *w);
  bool repeatable;
  Tokens cost;
  Tokens cost_with_failed;
} EndCase;

static const EndCase CASES[] = {
  { lose_the_answer, false, 0, 100 },
  { break_off, false, 110, 110 },
  { break_off_within_the_first_event, false, 0, 100 },
  { leave_early, false, 0, 100 },
  { leave_midway, false, 105, 105 },
  { wait_for_the_deadline, false, 0, 100 },
  { reach_the_deadline_midway, false, 105, 105 },
  { report_a_failure, false, 0, 100 },
  { run_again_and_end, true, 105, 105 },
};

static void
check_cost (const EndCase *c, bool charges_failed)
{
  RelayWorld *w = relay_world_new (CALL_STREAM);
  Tokens cost = charges_failed ? c->cost_with_failed : c->cost;

  w->request.repeatable = c->repeatable;
  w->deps.charges_failed = charges_failed;
  relay_world_start (w);
  c->play (w);
  CU_ASSERT_PTR_NULL (w->relay);
  CU_ASSERT (relay_world_can_claim (w, RELAY_WORLD_BUDGET - cost));
  CU_ASSERT_FALSE (relay_world_can_claim (w, RELAY_WORLD_BUDGET - cost + 1));
  relay_world_free (w);
}

/* Guards against a part of the system that charges by a rule of its own. */
static void
a_request_costs_what_its_caller_got (void)
{
  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    check_cost (&CASES[i], false);
}

/* Guards against a setting that is not followed. */
static void
an_operator_may_charge_whatever_may_have_run (void)
{
  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    check_cost (&CASES[i], true);
}

int
main (void)
{
  static const TestCase TESTS[] = {
    { "every_end_has_its_price", every_end_has_its_price },
    { "a_request_costs_what_its_caller_got", a_request_costs_what_its_caller_got },
    { "an_operator_may_charge_whatever_may_have_run",
      an_operator_may_charge_whatever_may_have_run },
  };

  return harness_run ("charge", TESTS, sizeof TESTS / sizeof TESTS[0]);
}

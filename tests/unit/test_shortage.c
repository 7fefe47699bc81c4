/* Refusals of requests for which there are too few tokens: "exhausted" is final, and requires that the tokens which
 * may still be returned do not suffice either. */
#include <talloc.h>

#include "budget/shortage.h"
#include "budget_fixture.h"
#include "harness.h"

#define ACCOUNT "klubbarna"

/* As known to a coordinator that has received the holdings of all hosts. A request can get 300 tokens at most: 60 of
 * the balance, 40 that are granted to no host, and 200 that are reserved here or held by other hosts. */
static const ShortageInput EXHAUSTED_INPUT = { .requested = 1000,
                                               .balance = 60,
                                               .unallocated = 40,
                                               .limit = 100000,
                                               .spent = 90000,
                                               .outstanding = 200,
                                               .outstanding_known = true,
                                               .store_connected = true,
                                               .row_known = true,
                                               .row_fresh = true,
                                               .spent_fresh = true };

static ErrKind
classify_with (void (*change) (ShortageInput *input))
{
  ShortageInput input = EXHAUSTED_INPUT;

  change (&input);
  return shortage_classify (&input);
}

static void
leave_unchanged (ShortageInput *input)
{
  (void)input;
}

static void
other_hosts_hold_enough (ShortageInput *input)
{
  input->outstanding = 900;
}

static void
outstanding_is_unknown (ShortageInput *input)
{
  input->outstanding_known = false;
}

static void
row_is_stale (ShortageInput *input)
{
  input->row_fresh = false;
}

static void
all_reads_are_stale (ShortageInput *input)
{
  input->row_fresh = false;
  input->spent_fresh = false;
}

static void
unspent_rest_is_too_small (ShortageInput *input)
{
  input->outstanding_known = false;
  input->spent = 99500;
}

static void
store_does_not_answer (ShortageInput *input)
{
  input->store_connected = false;
}

static void
store_has_enough (ShortageInput *input)
{
  input->unallocated = 940;
}

static void
ceiling_is_too_low (ShortageInput *input)
{
  input->balance = 1000;
}

static void
ceiling_cannot_be_raised (ShortageInput *input)
{
  input->balance = 1000;
  input->publication_stalled = true;
}

/* Guards against a final refusal of a request that could be served once tokens are returned, and against telling
 * a client to retry although none will be. */
static void
refusal_follows_from_input (void)
{
  static const struct
  {
    void (*change) (ShortageInput *input);
    ErrKind reason;
  } CASES[] = {
    { leave_unchanged, ERR_BUDGET_EXHAUSTED },
    { other_hosts_hold_enough, ERR_BUDGET_HELD },
    { outstanding_is_unknown, ERR_BUDGET_HELD },
    { row_is_stale, ERR_BUDGET_HELD },
    { all_reads_are_stale, ERR_NONE },
    { unspent_rest_is_too_small, ERR_BUDGET_EXHAUSTED },
    { store_does_not_answer, ERR_BUDGET_UNREACHABLE },
    { store_has_enough, ERR_NONE },
    { ceiling_is_too_low, ERR_NONE },
    { ceiling_cannot_be_raised, ERR_BUDGET_UNREACHABLE },
  };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    CU_ASSERT_EQUAL (classify_with (CASES[i].change), CASES[i].reason);
}

/* Spends an account on all hosts in turn, except for the @p last tokens, which the request @p open reserves at
 * host 0. */
static void
spend_all_but_last (BudgetFixture *f, Tokens limit, Tokens last, BudgetReservation *open)
{
  BudgetReservation reservation;

  budget_fixture_configure (f, ACCOUNT, limit, 1);
  budget_fixture_run (f, 1000);
  for (Tokens spent = 0; spent < limit - last; spent += 10000)
    {
      budget_fixture_reserve (f, (int)(spent / 10000) % f->n_hosts, ACCOUNT, 10000, &reservation);
      budget_fixture_run (f, 300);
      CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
      budget_fixture_settle (f, &reservation, 10000);
    }
  budget_fixture_reserve (f, 0, ACCOUNT, last, open);
  budget_fixture_run (f, 1500);
  CU_ASSERT_EQUAL (open->err, ERR_NONE);
}

/* Repeats a request at each host until the refusal is final, for at most 4 s each. @return the number of hosts that
 * refused it finally. */
static int
count_hosts_refusing_as_exhausted (BudgetFixture *f)
{
  BudgetReservation reservation;
  int n_exhausted = 0;

  for (int i = 0; i < f->n_hosts; i++)
    {
      for (int tries = 0; tries < 10; tries++)
        {
          budget_fixture_reserve (f, i, ACCOUNT, 5000, &reservation);
          budget_fixture_run (f, 400);
          CU_ASSERT_TRUE (reservation.decided);
          if (reservation.err == ERR_BUDGET_EXHAUSTED)
            break;
          CU_ASSERT_EQUAL (reservation.err, ERR_BUDGET_HELD);
        }
      n_exhausted += reservation.err == ERR_BUDGET_EXHAUSTED;
    }
  return n_exhausted;
}

/* Guards against telling clients to retry after an account's last tokens were lost with a killed host: they retried
 * in vain for twenty seconds. */
static void
lost_tokens_are_refused_as_exhausted (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      BudgetFixture *f = budget_fixture_new (4, seed);
      BudgetReservation open;

      spend_all_but_last (f, 200000, 20000, &open);
      for (int i = 0; i < f->n_hosts; i++)
        budget_fixture_kill (f, i);
      budget_fixture_run (f, 1200);
      for (int i = 0; i < f->n_hosts; i++)
        budget_fixture_start (f, i);
      budget_fixture_configure (f, ACCOUNT, 200000, 1);
      budget_fixture_run (f, 1000);
      CU_ASSERT_EQUAL (count_hosts_refusing_as_exhausted (f), 4);
      talloc_free (f);
    }
}

/* Guards against a final refusal while a request at another host may still return its tokens. */
static void
request_is_refused_as_held_while_tokens_may_be_returned (void)
{
  BudgetFixture *f = budget_fixture_new (4, 1);
  BudgetReservation open;
  BudgetReservation reservation;

  spend_all_but_last (f, 200000, 20000, &open);
  for (int i = 0; i < 40; i++)
    {
      budget_fixture_reserve (f, i % 4, ACCOUNT, 5000, &reservation);
      budget_fixture_run (f, 250);
      CU_ASSERT_EQUAL (reservation.err, ERR_BUDGET_HELD);
    }
  budget_fixture_settle (f, &open, 0);
  budget_fixture_run (f, 500);
  budget_fixture_reserve (f, 1, ACCOUNT, 5000, &reservation);
  budget_fixture_run (f, 500);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  talloc_free (f);
}

/* Guards against counting the committed prompt tokens of open streams as returnable: a request that would need them
 * is refused finally, a smaller one is still told to retry. */
static void
committed_prompt_tokens_count_as_spent (void)
{
  BudgetFixture *f = budget_fixture_new (4, 1);
  BudgetReservation open;
  BudgetReservation reservation;

  spend_all_but_last (f, 200000, 20000, &open);
  reservation_commit (open.handle, 16000);
  CU_ASSERT_EQUAL (count_hosts_refusing_as_exhausted (f), 4);
  budget_fixture_reserve (f, 1, ACCOUNT, 3000, &reservation);
  budget_fixture_run (f, 500);
  CU_ASSERT_EQUAL (reservation.err, ERR_BUDGET_HELD);
  budget_fixture_settle (f, &open, 16500);
  budget_fixture_run (f, 1500);
  budget_fixture_reserve (f, 1, ACCOUNT, 3000, &reservation);
  budget_fixture_run (f, 500);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  talloc_free (f);
}

/* Guards against telling clients to retry only because the account's coordinator cannot reach the store: it still
 * knows what the other hosts hold, and they know the account's row. Cuts each host off from the store in turn. */
static void
coordinator_without_store_still_counts_holdings (void)
{
  for (int cut_off = 0; cut_off < 4; cut_off++)
    {
      BudgetFixture *f = budget_fixture_new (4, 1);
      BudgetReservation open;
      BudgetReservation reservation;
      int n_exhausted = 0;

      spend_all_but_last (f, 200000, 20000, &open);
      budget_fixture_settle (f, &open, 20000);
      CU_ASSERT_EQUAL (count_hosts_refusing_as_exhausted (f), 4);
      f->hosts[cut_off].store_client->drop_calls = true;
      budget_fixture_run (f, 5000);
      for (int i = 0; i < 8; i++)
        {
          budget_fixture_reserve (f, i % 4, ACCOUNT, 5000, &reservation);
          budget_fixture_run (f, 1000);
          n_exhausted += i >= 4 && reservation.err == ERR_BUDGET_EXHAUSTED;
        }
      CU_ASSERT (n_exhausted >= 3);
      talloc_free (f);
    }
}

/* Spends a large account on many hosts, so that each is left with a small remainder: not worth a message while
 * the account has ample tokens, but enough for a request when put together. Then @p n_requesters of the hosts request
 * nearly all of it. @return how many of these requests are served. */
static int
count_served_from_remainders (int n_requesters)
{
  BudgetFixture *f = budget_fixture_new (BUDGET_FIXTURE_MAX_HOSTS, 1);
  const Tokens limit = 24000000;
  const Tokens remainder = 1400;
  const Tokens share = 1900000;
  BudgetReservation reservations[BUDGET_FIXTURE_MAX_HOSTS] = { 0 };
  BudgetReservation reservation;
  int served = 0;

  budget_fixture_configure (f, ACCOUNT, limit, 1);
  budget_fixture_run (f, 1000);
  for (int i = 0; i < f->n_hosts; i++)
    {
      budget_fixture_reserve (f, i, ACCOUNT, share, &reservation);
      budget_fixture_run (f, 500);
      CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
      budget_fixture_settle (f, &reservation, share - remainder);
    }
  budget_fixture_run (f, 1500);
  budget_fixture_reserve (f, 0, ACCOUNT, limit - f->n_hosts * share, &reservation);
  budget_fixture_run (f, 1500);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  budget_fixture_settle (f, &reservation, limit - f->n_hosts * share);
  for (int tries = 0; tries < 10 && served == 0; tries++)
    {
      for (int i = 0; i < n_requesters; i++)
        budget_fixture_reserve (f, i, ACCOUNT, 9 * remainder, &reservations[i]);
      budget_fixture_run (f, 400);
      for (int i = 0; i < n_requesters; i++)
        served += reservations[i].err == ERR_NONE;
    }
  talloc_free (f);
  return served;
}

/* Guards against refusing a request although the remainders of all hosts together would cover it. */
static void
small_remainders_are_returned_when_little_is_left (void)
{
  CU_ASSERT_EQUAL (count_served_from_remainders (BUDGET_FIXTURE_MAX_HOSTS), 1);
  CU_ASSERT_EQUAL (count_served_from_remainders (1), 1);
}

/* Guards against refusing several waiting requests because the account cannot cover them all: they must be served
 * in the order of their arrival while tokens last. */
static void
requests_are_served_in_order_while_tokens_last (void)
{
  for (int hosts = 1; hosts <= 4; hosts += 3)
    {
      BudgetFixture *f = budget_fixture_new (hosts, 1);
      BudgetReservation reservations[4];
      int served = 0;

      budget_fixture_configure (f, ACCOUNT, 100000, 1);
      for (int i = 0; i < 4; i++)
        budget_fixture_reserve (f, i % hosts, ACCOUNT, 40000, &reservations[i]);
      budget_fixture_run (f, 1500);
      for (int i = 0; i < 4; i++)
        {
          CU_ASSERT_TRUE (reservations[i].decided);
          served += reservations[i].err == ERR_NONE;
        }
      CU_ASSERT_EQUAL (served, 2);
      if (hosts == 1)
        CU_ASSERT (reservations[0].err == ERR_NONE && reservations[1].err == ERR_NONE);
      talloc_free (f);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "refusal_follows_from_input", refusal_follows_from_input },
    { "lost_tokens_are_refused_as_exhausted", lost_tokens_are_refused_as_exhausted },
    { "request_is_refused_as_held_while_tokens_may_be_returned",
      request_is_refused_as_held_while_tokens_may_be_returned },
    { "committed_prompt_tokens_count_as_spent", committed_prompt_tokens_count_as_spent },
    { "coordinator_without_store_still_counts_holdings",
      coordinator_without_store_still_counts_holdings },
    { "small_remainders_are_returned_when_little_is_left",
      small_remainders_are_returned_when_little_is_left },
    { "requests_are_served_in_order_while_tokens_last",
      requests_are_served_in_order_while_tokens_last },
  };

  return harness_run ("shortage", CASES, sizeof CASES / sizeof CASES[0]);
}

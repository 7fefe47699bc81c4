/* What a request is told whose tokens are not to be had: only what is known to be final is final. */
#include <talloc.h>

#include "budget/shortage.h"
#include "budget_fixture.h"
#include "harness.h"

#define ACCOUNT "klubbarna"

/* A keeper that has counted everything: 300 tokens are left in all, 200 of them elsewhere. */
static const ShortageFacts COUNTED = { .wanted = 1000,
                                       .balance = 60,
                                       .free = 40,
                                       .limit = 100000,
                                       .spent = 90000,
                                       .elsewhere = 200,
                                       .counted = true,
                                       .connected = true,
                                       .known = true,
                                       .row_fresh = true,
                                       .spent_fresh = true };

static ErrKind
reason_with (void (*change) (ShortageFacts *facts))
{
  ShortageFacts facts = COUNTED;

  change (&facts);
  return shortage_reason (&facts);
}

static void
change_nothing (ShortageFacts *f)
{
  (void)f;
}

static void
others_hold_enough (ShortageFacts *f)
{
  f->elsewhere = 900;
}

static void
others_are_not_counted (ShortageFacts *f)
{
  f->counted = false;
}

static void
row_is_old (ShortageFacts *f)
{
  f->row_fresh = false;
}

static void
nothing_is_fresh (ShortageFacts *f)
{
  f->row_fresh = false;
  f->spent_fresh = false;
}

static void
all_is_spent (ShortageFacts *f)
{
  f->counted = false;
  f->spent = 99500;
}

static void
store_is_silent (ShortageFacts *f)
{
  f->connected = false;
}

static void
store_has_enough (ShortageFacts *f)
{
  f->free = 940;
}

static void
ceiling_binds (ShortageFacts *f)
{
  f->balance = 1000;
}

static void
ceiling_cannot_rise (ShortageFacts *f)
{
  f->balance = 1000;
  f->stalled = true;
}

/* Guards against a final refusal of a request that could be served once tokens come back, and against
 * sending a caller away for a moment although none will. */
static void
reason_follows_from_what_is_known (void)
{
  static const struct
  {
    void (*change) (ShortageFacts *facts);
    ErrKind reason;
  } CASES[] = {
    { change_nothing, ERR_BUDGET_EXHAUSTED },
    { others_hold_enough, ERR_BUDGET_HELD },
    { others_are_not_counted, ERR_BUDGET_HELD },
    { row_is_old, ERR_BUDGET_HELD },
    { nothing_is_fresh, ERR_NONE },
    { all_is_spent, ERR_BUDGET_EXHAUSTED },
    { store_is_silent, ERR_BUDGET_UNREACHABLE },
    { store_has_enough, ERR_NONE },
    { ceiling_binds, ERR_NONE },
    { ceiling_cannot_rise, ERR_BUDGET_UNREACHABLE },
  };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    CU_ASSERT_EQUAL (reason_with (CASES[i].change), CASES[i].reason);
}

/* Uses up an account over all hosts but for one request that stays open at host 0. */
static void
use_up (BudgetFixture *f, Tokens limit, Tokens last, BudgetReservation *open)
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

/* Has each host ask until the answer is final. @return how many hosts got it within 4 s. */
static int
hosts_told_for_good (BudgetFixture *f)
{
  BudgetReservation reservation;
  int final = 0;

  for (int i = 0; i < f->n_hosts; i++)
    {
      for (int tries = 0; tries < 10; tries++)
        {
          budget_fixture_reserve (f, i, ACCOUNT, 5000, &reservation);
          budget_fixture_run (f, 400);
          CU_ASSERT_TRUE (reservation.answered);
          if (reservation.err == ERR_BUDGET_EXHAUSTED)
            break;
          CU_ASSERT_EQUAL (reservation.err, ERR_BUDGET_HELD);
        }
      final += reservation.err == ERR_BUDGET_EXHAUSTED;
    }
  return final;
}

/* Plays an account whose last tokens were lost with a killed host: its callers were told for twenty seconds to
 * come back soon, and came back in vain. */
static void
lost_tokens_are_not_promised (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      BudgetFixture *f = budget_fixture_new (4, seed);
      BudgetReservation open;

      use_up (f, 200000, 20000, &open);
      for (int i = 0; i < f->n_hosts; i++)
        budget_fixture_kill (f, i);
      budget_fixture_run (f, 1200);
      for (int i = 0; i < f->n_hosts; i++)
        budget_fixture_start (f, i);
      budget_fixture_configure (f, ACCOUNT, 200000, 1);
      budget_fixture_run (f, 1000);
      CU_ASSERT_EQUAL (hosts_told_for_good (f), 4);
      talloc_free (f);
    }
}

/* Guards against a final answer while a request of another host may still give its tokens back. */
static void
tokens_in_use_elsewhere_may_come_back (void)
{
  BudgetFixture *f = budget_fixture_new (4, 1);
  BudgetReservation open;
  BudgetReservation reservation;

  use_up (f, 200000, 20000, &open);
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

/* Plays long streams that hold the last tokens of an account: their prompts have been read and do not come
 * back, so that others need not wait for their end to hear that nothing is left. */
static void
prompts_that_were_read_do_not_come_back (void)
{
  BudgetFixture *f = budget_fixture_new (4, 1);
  BudgetReservation open;
  BudgetReservation reservation;

  use_up (f, 200000, 20000, &open);
  reservation_commit (open.handle, 16000);
  CU_ASSERT_EQUAL (hosts_told_for_good (f), 4);
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

/* Guards against hosts that send callers away for a moment because the account's keeper alone cannot reach
 * the store: it still knows what others hold, and they know the row. */
static void
keeper_in_a_cut_still_counts (void)
{
  for (int cut = 0; cut < 4; cut++)
    {
      BudgetFixture *f = budget_fixture_new (4, 1);
      BudgetReservation open;
      BudgetReservation reservation;
      int final = 0;

      use_up (f, 200000, 20000, &open);
      budget_fixture_settle (f, &open, 20000);
      CU_ASSERT_EQUAL (hosts_told_for_good (f), 4);
      f->hosts[cut].port->silent = true;
      budget_fixture_run (f, 5000);
      for (int i = 0; i < 8; i++)
        {
          budget_fixture_reserve (f, i % 4, ACCOUNT, 5000, &reservation);
          budget_fixture_run (f, 1000);
          final += i >= 4 && reservation.err == ERR_BUDGET_EXHAUSTED;
        }
      CU_ASSERT (final >= 3);
      talloc_free (f);
    }
}

/* Plays a large account on many hosts, each of which is left with a little after its last request: too little to
 * be worth a message while the account lasts, enough for several requests together. @p askers of the hosts have
 * more requests. @return how many requests get nearly all of it. */
static int
served_from_leftovers (int askers)
{
  BudgetFixture *f = budget_fixture_new (BUDGET_FIXTURE_MAX_HOSTS, 1);
  const Tokens limit = 24000000;
  const Tokens leftover = 1400;
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
      budget_fixture_settle (f, &reservation, share - leftover);
    }
  budget_fixture_run (f, 1500);
  budget_fixture_reserve (f, 0, ACCOUNT, limit - f->n_hosts * share, &reservation);
  budget_fixture_run (f, 1500);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  budget_fixture_settle (f, &reservation, limit - f->n_hosts * share);
  for (int tries = 0; tries < 10 && served == 0; tries++)
    {
      for (int i = 0; i < askers; i++)
        budget_fixture_reserve (f, i, ACCOUNT, 9 * leftover, &reservations[i]);
      budget_fixture_run (f, 400);
      for (int i = 0; i < askers; i++)
        served += reservations[i].err == ERR_NONE;
    }
  talloc_free (f);
  return served;
}

static void
small_leftovers_come_back_in_the_end (void)
{
  CU_ASSERT_EQUAL (served_from_leftovers (BUDGET_FIXTURE_MAX_HOSTS), 1);
  CU_ASSERT_EQUAL (served_from_leftovers (1), 1);
}

/* Guards against refusing all of several callers because they cannot all be served: requests are served in the
 * order in which they came, as far as the account goes. */
static void
callers_are_served_in_order_as_far_as_it_goes (void)
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
          CU_ASSERT_TRUE (reservations[i].answered);
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
    { "reason_follows_from_what_is_known", reason_follows_from_what_is_known },
    { "lost_tokens_are_not_promised", lost_tokens_are_not_promised },
    { "tokens_in_use_elsewhere_may_come_back", tokens_in_use_elsewhere_may_come_back },
    { "prompts_that_were_read_do_not_come_back", prompts_that_were_read_do_not_come_back },
    { "keeper_in_a_cut_still_counts", keeper_in_a_cut_still_counts },
    { "small_leftovers_come_back_in_the_end", small_leftovers_come_back_in_the_end },
    { "callers_are_served_in_order_as_far_as_it_goes",
      callers_are_served_in_order_as_far_as_it_goes },
  };

  return harness_run ("shortage", CASES, sizeof CASES / sizeof CASES[0]);
}

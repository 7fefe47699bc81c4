/* What hosts of one budget do for each other, and what is left of it after kills and restarts. */
#include <talloc.h>

#include "budget/ceilings.h"
#include "budget_fixture.h"
#include "harness.h"

#define ACCOUNT "klubbarna"

/* Guards against tokens that are lost with every kill: a host that starts again soon after its last
 * ceilings takes back what they do not cover. */
static void
quick_restart_takes_back_what_was_not_used (void)
{
  BudgetFixture *f = budget_fixture_new (1, 1);
  BudgetReservation reservation;
  Tokens held;

  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 1000);
  budget_fixture_reserve (f, 0, ACCOUNT, 30000, &reservation);
  budget_fixture_run (f, 600);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  held = budget_fixture_granted (f, ACCOUNT);
  CU_ASSERT_TRUE (held >= 200000);
  budget_fixture_kill (f, 0);
  budget_fixture_run (f, 1200);
  budget_fixture_start (f, 0);
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 600);
  budget_fixture_return_all (f, 0);
  CU_ASSERT_TRUE (budget_fixture_granted (f, ACCOUNT) >= 30000);
  CU_ASSERT_TRUE (budget_fixture_granted (f, ACCOUNT) < 60000);
  talloc_free (f);
}

/* Guards against tokens that are granted again although a host that was cut off may have used them: it goes
 * beyond its ceilings once it has been cut off for longer than a restart takes. */
static void
late_restart_takes_nothing_back (void)
{
  BudgetFixture *f = budget_fixture_new (1, 1);
  BudgetReservation reservation;
  Tokens held;

  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 1000);
  budget_fixture_reserve (f, 0, ACCOUNT, 1000, &reservation);
  budget_fixture_run (f, 300);
  held = budget_fixture_granted (f, ACCOUNT);
  f->hosts[0].port->silent = true;
  budget_fixture_run (f, CEILING_LIFETIME_MS + 800);
  talloc_free (reservation.handle);
  budget_fixture_reserve (f, 0, ACCOUNT, held - 2000, &reservation);
  CU_ASSERT_TRUE (reservation.answered);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  budget_fixture_kill (f, 0);
  f->hosts[0].port->silent = false;
  budget_fixture_start (f, 0);
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 600);
  budget_fixture_return_all (f, 0);
  CU_ASSERT_TRUE (budget_fixture_granted (f, ACCOUNT) >= held);
  talloc_free (f);
}

/* Guards against tokens that are lost because a host was cut off from the store before it was killed, or was
 * dark for long: what it cannot have used by then is taken back. Half of them were lost on such a day. */
static void
late_restart_takes_back_what_cannot_have_been_used (void)
{
  for (int cut_ms = 0; cut_ms <= 6000; cut_ms += 6000)
    {
      BudgetFixture *f = budget_fixture_new (1, 1);
      BudgetHost *h = &f->hosts[0];
      BudgetReservation reservation;
      Tokens held;

      budget_fixture_configure (f, ACCOUNT, 1000000, 1);
      for (int i = 0; i < 20; i++)
        {
          budget_fixture_reserve (f, 0, ACCOUNT, 2000, &reservation);
          budget_fixture_run (f, 200);
          CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
          budget_fixture_settle (f, &reservation, 2000);
        }
      held = budget_fixture_granted (f, ACCOUNT);
      CU_ASSERT_TRUE (held >= 150000);
      h->port->silent = true;
      budget_fixture_run (f, cut_ms);
      budget_fixture_kill (f, 0);
      h->port->silent = false;
      budget_fixture_run (f, 20000 - cut_ms);
      budget_fixture_start (f, 0);
      budget_fixture_configure (f, ACCOUNT, 1000000, 1);
      budget_fixture_run (f, 600);
      budget_fixture_return_all (f, 0);
      CU_ASSERT_TRUE (budget_fixture_granted (f, ACCOUNT) >= 40000);
      CU_ASSERT_TRUE (budget_fixture_granted (f, ACCOUNT) < held - 20000);
      talloc_free (f);
    }
}

/* Guards against a host that uses in a cut what its next incarnation takes back. */
static void
host_in_a_cut_stays_below_its_growing_ceiling (void)
{
  BudgetFixture *f = budget_fixture_new (1, 1);
  BudgetHost *h = &f->hosts[0];
  BudgetReservation reservation;
  Tokens held;
  Tokens used = 0;

  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  for (int i = 0; i < 20; i++)
    {
      budget_fixture_reserve (f, 0, ACCOUNT, 2000, &reservation);
      budget_fixture_run (f, 200);
      budget_fixture_settle (f, &reservation, 2000);
      used += 2000;
    }
  held = budget_fixture_granted (f, ACCOUNT);
  h->port->silent = true;
  budget_fixture_run (f, CEILING_LIFETIME_MS + 300);
  budget_fixture_reserve (f, 0, ACCOUNT, 5000, &reservation);
  CU_ASSERT_TRUE (reservation.answered);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  used += 5000;
  budget_fixture_settle (f, &reservation, 5000);
  budget_fixture_reserve (f, 0, ACCOUNT, held - used, &reservation);
  budget_fixture_run (f, 800);
  CU_ASSERT_TRUE (reservation.answered);
  CU_ASSERT_EQUAL (reservation.err, ERR_BUDGET_UNREACHABLE);
  talloc_free (f);
}

/* Plays an account of a size that many hosts serve: what each request does not use of its reservation must not
 * stay at the host that served it. Guards against a small account that is refused with a tenth of it left. */
static void
leftovers_of_many_hosts_can_be_used (void)
{
  BudgetFixture *f = budget_fixture_new (BUDGET_FIXTURE_MAX_HOSTS, 1);
  const Tokens limit = 150000;
  BudgetReservation reservation = { 0 };
  Tokens spent = 0;

  budget_fixture_configure (f, ACCOUNT, limit, 1);
  budget_fixture_run (f, 1000);
  for (int i = 0; reservation.err == ERR_NONE && i < 500; i++)
    {
      budget_fixture_reserve (f, i % BUDGET_FIXTURE_MAX_HOSTS, ACCOUNT, 1000, &reservation);
      budget_fixture_run (f, 300);
      CU_ASSERT_TRUE (reservation.answered);
      if (reservation.err != ERR_NONE)
        break;
      budget_fixture_settle (f, &reservation, 900);
      spent += 900;
      budget_fixture_run (f, 100);
    }
  CU_ASSERT (spent >= limit / 100 * 97);
  talloc_free (f);
}

/* Guards against each host holding tokens of its own while the store cannot be reached: whoever is asked
 * gets them from the account's keeper. */
static void
hosts_share_what_the_keeper_holds (void)
{
  BudgetFixture *f = budget_fixture_new (4, 1);
  BudgetReservation reservations[8];
  int served = 0;

  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 1000);
  for (int i = 0; i < 4; i++)
    f->hosts[i].port->silent = true;
  budget_fixture_run (f, 3000);
  for (int i = 0; i < 8; i++)
    {
      budget_fixture_reserve (f, i % 4, ACCOUNT, 20000, &reservations[i]);
      budget_fixture_run (f, 100);
      served += reservations[i].answered && reservations[i].err == ERR_NONE;
    }
  CU_ASSERT_EQUAL (served, 8);
  talloc_free (f);
}

/* Guards against a dead keeper that nobody replaces. */
static void
dead_keeper_is_passed_over (void)
{
  for (int dead = 0; dead < 4; dead++)
    {
      BudgetFixture *f = budget_fixture_new (4, 1);
      BudgetReservation reservation;

      budget_fixture_configure (f, ACCOUNT, 1000000, 1);
      budget_fixture_run (f, 1000);
      budget_fixture_kill (f, dead);
      for (int i = 0; i < 4; i++)
        {
          if (i == dead)
            continue;
          budget_fixture_reserve (f, i, ACCOUNT, 20000, &reservation);
          budget_fixture_run (f, 500);
          CU_ASSERT_TRUE (reservation.answered);
          CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
        }
      talloc_free (f);
    }
}

/* Guards against tokens that stay with a restarted host until a request of the account reaches it: it is
 * not the account's keeper any more, and nobody asks it. */
static void
restarted_host_takes_back_without_a_request (void)
{
  for (int dead = 0; dead < 2; dead++)
    {
      BudgetFixture *f = budget_fixture_new (2, 1);

      budget_fixture_configure (f, ACCOUNT, 1000000, 1);
      budget_fixture_run (f, 1000);
      for (int i = 0; i < 2; i++)
        {
          BudgetReservation reservation;

          budget_fixture_kill (f, (dead + i) % 2);
          budget_fixture_reserve (f, (dead + i + 1) % 2, ACCOUNT, 1000, &reservation);
          budget_fixture_run (f, 1000);
          budget_fixture_start (f, (dead + i) % 2);
          budget_fixture_configure_host (f, (dead + i) % 2, ACCOUNT, 1000000, 1);
          if (i == 1)
            budget_fixture_run (f, 1000);
        }
      CU_ASSERT (budget_fixture_granted (f, ACCOUNT) <= 250000);
      talloc_free (f);
    }
}

/* Guards against a starting host that draws a fifth of every account before it knows the other hosts. */
static void
host_without_registry_keeps_nothing (void)
{
  BudgetFixture *f = budget_fixture_new (2, 1);
  BudgetReservation reservation;

  for (int i = 0; i < 2; i++)
    budget_fixture_kill (f, i);
  f->withhold_host_list = true;
  budget_fixture_start (f, 0);
  budget_fixture_configure_host (f, 0, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 1000);
  CU_ASSERT_EQUAL (budget_fixture_granted (f, ACCOUNT), 0);
  budget_fixture_reserve (f, 0, ACCOUNT, 1000, &reservation);
  budget_fixture_run (f, 300);
  CU_ASSERT_TRUE (reservation.answered);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  CU_ASSERT_EQUAL (budget_fixture_granted (f, ACCOUNT), 1000);
  talloc_free (f);
}

/* Uses up an account on all hosts. @return what was spent. */
static Tokens
use_up (BudgetFixture *f, int rounds)
{
  Tokens spent = 0;

  for (int i = 0; i < rounds; i++)
    {
      BudgetReservation reservation;

      budget_fixture_reserve (f, i % f->n_hosts, ACCOUNT, 5000, &reservation);
      budget_fixture_run (f, 120);
      if (reservation.handle && reservation.answered && reservation.err == ERR_NONE)
        {
          budget_fixture_settle (f, &reservation, 5000);
          spent += 5000;
        }
      else if (reservation.handle)
        talloc_free (reservation.handle);
    }
  return spent;
}

/* Guards against a budget that is given out twice: after the store came back from a copy, what was drawn since the
 * copy is free in the row, though hosts hold it or have used it. */
static void
what_was_drawn_since_the_copy_is_put_back (void)
{
  for (int at = 0; at < 60; at += 10)
    {
      BudgetFixture *f = budget_fixture_new (4, 1);
      const Tokens limit = 500000;
      Tokens spent;

      fake_store_keep_copy (f->store);
      budget_fixture_configure (f, ACCOUNT, limit, 1);
      budget_fixture_run (f, 2000);
      spent = use_up (f, at);
      fake_store_keep_copy (f->store);
      spent += use_up (f, 20);
      fake_store_go_back (f->store);
      spent += use_up (f, 200);
      CU_ASSERT (spent <= limit);
      CU_ASSERT (spent >= limit * 95 / 100);
      talloc_free (f);
    }
}

/* Guards against an account that nobody may draw from after the store went back. */
static void
an_account_serves_again_soon_after_the_store_went_back (void)
{
  BudgetFixture *f = budget_fixture_new (4, 1);
  BudgetReservation reservation;
  Tokens held;

  fake_store_keep_copy (f->store);
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 2000);
  held = budget_fixture_granted (f, ACCOUNT);
  fake_store_go_back (f->store);
  budget_fixture_run (f, 2500);
  CU_ASSERT_EQUAL (budget_fixture_granted (f, ACCOUNT), held);
  budget_fixture_reserve (f, 0, ACCOUNT, 900000, &reservation);
  budget_fixture_run (f, 500);
  CU_ASSERT (reservation.answered && reservation.err == ERR_NONE);
  talloc_free (f);
}

/* Guards against an account that is new, or a host that starts, and is refused although the store has not gone
 * back for long. */
static void
a_store_that_states_its_era_is_drawn_from_at_once (void)
{
  BudgetFixture *f = budget_fixture_new (2, 1);
  BudgetReservation reservation;

  fake_store_keep_copy (f->store);
  budget_fixture_run (f, 2000);
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_reserve (f, 0, ACCOUNT, 1000, &reservation);
  budget_fixture_run (f, 300);
  CU_ASSERT (reservation.answered && reservation.err == ERR_NONE);
  budget_fixture_run (f, 2000);
  for (int i = 0; i < 2; i++)
    budget_fixture_kill (f, i);
  budget_fixture_run (f, 5000);
  for (int i = 0; i < 2; i++)
    budget_fixture_start (f, i);
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 100);
  budget_fixture_reserve (f, 1, ACCOUNT, 1000, &reservation);
  budget_fixture_run (f, 300);
  CU_ASSERT (reservation.answered && reservation.err == ERR_NONE);
  talloc_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "quick_restart_takes_back_what_was_not_used", quick_restart_takes_back_what_was_not_used },
    { "late_restart_takes_nothing_back", late_restart_takes_nothing_back },
    { "late_restart_takes_back_what_cannot_have_been_used",
      late_restart_takes_back_what_cannot_have_been_used },
    { "host_in_a_cut_stays_below_its_growing_ceiling",
      host_in_a_cut_stays_below_its_growing_ceiling },
    { "leftovers_of_many_hosts_can_be_used", leftovers_of_many_hosts_can_be_used },
    { "hosts_share_what_the_keeper_holds", hosts_share_what_the_keeper_holds },
    { "dead_keeper_is_passed_over", dead_keeper_is_passed_over },
    { "restarted_host_takes_back_without_a_request", restarted_host_takes_back_without_a_request },
    { "host_without_registry_keeps_nothing", host_without_registry_keeps_nothing },
    { "what_was_drawn_since_the_copy_is_put_back", what_was_drawn_since_the_copy_is_put_back },
    { "a_store_that_states_its_era_is_drawn_from_at_once",
      a_store_that_states_its_era_is_drawn_from_at_once },
    { "an_account_serves_again_soon_after_the_store_went_back",
      an_account_serves_again_soon_after_the_store_went_back },
  };

  return harness_run ("budget_hosts", CASES, sizeof CASES / sizeof CASES[0]);
}

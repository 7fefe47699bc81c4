/* What hosts of one budget do for each other, and what is left of it after kills and restarts. */
#include <talloc.h>

#include "budget/ceilings.h"
#include "budget_world.h"
#include "harness.h"

#define ACCOUNT "klubbarna"

/* Guards against tokens that are lost with every kill: a host that starts again soon after its last
 * ceilings takes back what they do not cover. */
static void
quick_restart_takes_back_what_was_not_used (void)
{
  BudgetWorld *w = budget_world_new (1, 1);
  BudgetClaim claim;
  Tokens held;

  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_run (w, 1000);
  budget_world_claim (w, 0, ACCOUNT, 30000, &claim);
  budget_world_run (w, 600);
  CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
  held = budget_world_granted (w, ACCOUNT);
  CU_ASSERT_TRUE (held >= 200000);
  budget_world_kill (w, 0);
  budget_world_run (w, 1200);
  budget_world_start (w, 0);
  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_run (w, 600);
  budget_world_return_all (w, 0);
  CU_ASSERT_TRUE (budget_world_granted (w, ACCOUNT) >= 30000);
  CU_ASSERT_TRUE (budget_world_granted (w, ACCOUNT) < 60000);
  talloc_free (w);
}

/* Guards against tokens that are granted again although a host that was cut off may have used them: it goes
 * beyond its ceilings once it has been cut off for longer than a restart takes. */
static void
late_restart_takes_nothing_back (void)
{
  BudgetWorld *w = budget_world_new (1, 1);
  BudgetClaim claim;
  Tokens held;

  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_run (w, 1000);
  budget_world_claim (w, 0, ACCOUNT, 1000, &claim);
  budget_world_run (w, 300);
  held = budget_world_granted (w, ACCOUNT);
  w->hosts[0].port->drop_calls = true;
  budget_world_run (w, CEILING_LIFETIME_MS + 800);
  talloc_free (claim.reservation);
  budget_world_claim (w, 0, ACCOUNT, held - 2000, &claim);
  CU_ASSERT_TRUE (claim.answered);
  CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
  budget_world_kill (w, 0);
  w->hosts[0].port->drop_calls = false;
  budget_world_start (w, 0);
  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_run (w, 600);
  budget_world_return_all (w, 0);
  CU_ASSERT_TRUE (budget_world_granted (w, ACCOUNT) >= held);
  talloc_free (w);
}

/* Guards against tokens that are lost because a host was cut off from the store before it was killed, or was
 * dark for long: what it cannot have used by then is taken back. Half of them were lost on such a day. */
static void
late_restart_takes_back_what_cannot_have_been_used (void)
{
  for (int cut_ms = 0; cut_ms <= 6000; cut_ms += 6000)
    {
      BudgetWorld *w = budget_world_new (1, 1);
      BudgetHost *h = &w->hosts[0];
      BudgetClaim claim;
      Tokens held;

      budget_world_configure (w, ACCOUNT, 1000000, 1);
      for (int i = 0; i < 20; i++)
        {
          budget_world_claim (w, 0, ACCOUNT, 2000, &claim);
          budget_world_run (w, 200);
          CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
          budget_world_settle (w, &claim, 2000);
        }
      held = budget_world_granted (w, ACCOUNT);
      CU_ASSERT_TRUE (held >= 150000);
      h->port->drop_calls = true;
      budget_world_run (w, cut_ms);
      budget_world_kill (w, 0);
      h->port->drop_calls = false;
      budget_world_run (w, 20000 - cut_ms);
      budget_world_start (w, 0);
      budget_world_configure (w, ACCOUNT, 1000000, 1);
      budget_world_run (w, 600);
      budget_world_return_all (w, 0);
      CU_ASSERT_TRUE (budget_world_granted (w, ACCOUNT) >= 40000);
      CU_ASSERT_TRUE (budget_world_granted (w, ACCOUNT) < held - 20000);
      talloc_free (w);
    }
}

/* Guards against a host that uses in a cut what its next incarnation takes back. */
static void
host_in_a_cut_stays_below_its_growing_ceiling (void)
{
  BudgetWorld *w = budget_world_new (1, 1);
  BudgetHost *h = &w->hosts[0];
  BudgetClaim claim;
  Tokens held;
  Tokens used = 0;

  budget_world_configure (w, ACCOUNT, 1000000, 1);
  for (int i = 0; i < 20; i++)
    {
      budget_world_claim (w, 0, ACCOUNT, 2000, &claim);
      budget_world_run (w, 200);
      budget_world_settle (w, &claim, 2000);
      used += 2000;
    }
  held = budget_world_granted (w, ACCOUNT);
  h->port->drop_calls = true;
  budget_world_run (w, CEILING_LIFETIME_MS + 300);
  budget_world_claim (w, 0, ACCOUNT, 5000, &claim);
  CU_ASSERT_TRUE (claim.answered);
  CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
  used += 5000;
  budget_world_settle (w, &claim, 5000);
  budget_world_claim (w, 0, ACCOUNT, held - used, &claim);
  budget_world_run (w, 800);
  CU_ASSERT_TRUE (claim.answered);
  CU_ASSERT_EQUAL (claim.refused, ERR_BUDGET_UNREACHABLE);
  talloc_free (w);
}

/* Plays an account of a size that many hosts serve: what each request does not use of its reservation must not
 * stay at the host that served it. Guards against a small account that is refused with a tenth of it left. */
static void
leftovers_of_many_hosts_can_be_used (void)
{
  BudgetWorld *w = budget_world_new (BUDGET_WORLD_HOSTS, 1);
  const Tokens limit = 150000;
  BudgetClaim claim = { 0 };
  Tokens spent = 0;

  budget_world_configure (w, ACCOUNT, limit, 1);
  budget_world_run (w, 1000);
  for (int i = 0; claim.refused == ERR_NONE && i < 500; i++)
    {
      budget_world_claim (w, i % BUDGET_WORLD_HOSTS, ACCOUNT, 1000, &claim);
      budget_world_run (w, 300);
      CU_ASSERT_TRUE (claim.answered);
      if (claim.refused != ERR_NONE)
        break;
      budget_world_settle (w, &claim, 900);
      spent += 900;
      budget_world_run (w, 100);
    }
  CU_ASSERT (spent >= limit / 100 * 97);
  talloc_free (w);
}

/* Guards against each host holding tokens of its own while the store cannot be reached: whoever is asked
 * gets them from the account's keeper. */
static void
hosts_share_what_the_keeper_holds (void)
{
  BudgetWorld *w = budget_world_new (4, 1);
  BudgetClaim claims[8];
  int served = 0;

  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_run (w, 1000);
  for (int i = 0; i < 4; i++)
    w->hosts[i].port->drop_calls = true;
  budget_world_run (w, 3000);
  for (int i = 0; i < 8; i++)
    {
      budget_world_claim (w, i % 4, ACCOUNT, 20000, &claims[i]);
      budget_world_run (w, 100);
      served += claims[i].answered && claims[i].refused == ERR_NONE;
    }
  CU_ASSERT_EQUAL (served, 8);
  talloc_free (w);
}

/* Guards against a dead keeper that nobody replaces. */
static void
dead_keeper_is_passed_over (void)
{
  for (int dead = 0; dead < 4; dead++)
    {
      BudgetWorld *w = budget_world_new (4, 1);
      BudgetClaim claim;

      budget_world_configure (w, ACCOUNT, 1000000, 1);
      budget_world_run (w, 1000);
      budget_world_kill (w, dead);
      for (int i = 0; i < 4; i++)
        {
          if (i == dead)
            continue;
          budget_world_claim (w, i, ACCOUNT, 20000, &claim);
          budget_world_run (w, 500);
          CU_ASSERT_TRUE (claim.answered);
          CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
        }
      talloc_free (w);
    }
}

/* Guards against tokens that stay with a restarted host until a request of the account reaches it: it is
 * not the account's keeper any more, and nobody asks it. */
static void
restarted_host_takes_back_without_a_request (void)
{
  for (int dead = 0; dead < 2; dead++)
    {
      BudgetWorld *w = budget_world_new (2, 1);

      budget_world_configure (w, ACCOUNT, 1000000, 1);
      budget_world_run (w, 1000);
      for (int i = 0; i < 2; i++)
        {
          BudgetClaim claim;

          budget_world_kill (w, (dead + i) % 2);
          budget_world_claim (w, (dead + i + 1) % 2, ACCOUNT, 1000, &claim);
          budget_world_run (w, 1000);
          budget_world_start (w, (dead + i) % 2);
          budget_world_configure_host (w, (dead + i) % 2, ACCOUNT, 1000000, 1);
          if (i == 1)
            budget_world_run (w, 1000);
        }
      CU_ASSERT (budget_world_granted (w, ACCOUNT) <= 250000);
      talloc_free (w);
    }
}

/* Guards against a starting host that draws a fifth of every account before it knows the other hosts. */
static void
host_without_registry_keeps_nothing (void)
{
  BudgetWorld *w = budget_world_new (2, 1);
  BudgetClaim claim;

  for (int i = 0; i < 2; i++)
    budget_world_kill (w, i);
  w->no_registry = true;
  budget_world_start (w, 0);
  budget_world_configure_host (w, 0, ACCOUNT, 1000000, 1);
  budget_world_run (w, 1000);
  CU_ASSERT_EQUAL (budget_world_granted (w, ACCOUNT), 0);
  budget_world_claim (w, 0, ACCOUNT, 1000, &claim);
  budget_world_run (w, 300);
  CU_ASSERT_TRUE (claim.answered);
  CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
  CU_ASSERT_EQUAL (budget_world_granted (w, ACCOUNT), 1000);
  talloc_free (w);
}

/* Uses up an account on all hosts. @return what was spent. */
static Tokens
use_up (BudgetWorld *w, int rounds)
{
  Tokens spent = 0;

  for (int i = 0; i < rounds; i++)
    {
      BudgetClaim claim;

      budget_world_claim (w, i % w->n_hosts, ACCOUNT, 5000, &claim);
      budget_world_run (w, 120);
      if (claim.reservation && claim.answered && claim.refused == ERR_NONE)
        {
          budget_world_settle (w, &claim, 5000);
          spent += 5000;
        }
      else if (claim.reservation)
        talloc_free (claim.reservation);
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
      BudgetWorld *w = budget_world_new (4, 1);
      const Tokens limit = 500000;
      Tokens spent;

      fake_store_take_backup (w->store);
      budget_world_configure (w, ACCOUNT, limit, 1);
      budget_world_run (w, 2000);
      spent = use_up (w, at);
      fake_store_take_backup (w->store);
      spent += use_up (w, 20);
      fake_store_restore (w->store);
      spent += use_up (w, 200);
      CU_ASSERT (spent <= limit);
      CU_ASSERT (spent >= limit * 95 / 100);
      talloc_free (w);
    }
}

/* Guards against an account that nobody may draw from after the store went back. */
static void
an_account_serves_again_soon_after_the_store_went_back (void)
{
  BudgetWorld *w = budget_world_new (4, 1);
  BudgetClaim claim;
  Tokens held;

  fake_store_take_backup (w->store);
  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_run (w, 2000);
  held = budget_world_granted (w, ACCOUNT);
  fake_store_restore (w->store);
  budget_world_run (w, 2500);
  CU_ASSERT_EQUAL (budget_world_granted (w, ACCOUNT), held);
  budget_world_claim (w, 0, ACCOUNT, 900000, &claim);
  budget_world_run (w, 500);
  CU_ASSERT (claim.answered && claim.refused == ERR_NONE);
  talloc_free (w);
}

/* Guards against an account that is new, or a host that starts, and is refused although the store has not gone
 * back for long. */
static void
a_store_that_states_its_era_is_drawn_from_at_once (void)
{
  BudgetWorld *w = budget_world_new (2, 1);
  BudgetClaim claim;

  fake_store_take_backup (w->store);
  budget_world_run (w, 2000);
  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_claim (w, 0, ACCOUNT, 1000, &claim);
  budget_world_run (w, 300);
  CU_ASSERT (claim.answered && claim.refused == ERR_NONE);
  budget_world_run (w, 2000);
  for (int i = 0; i < 2; i++)
    budget_world_kill (w, i);
  budget_world_run (w, 5000);
  for (int i = 0; i < 2; i++)
    budget_world_start (w, i);
  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_run (w, 100);
  budget_world_claim (w, 1, ACCOUNT, 1000, &claim);
  budget_world_run (w, 300);
  CU_ASSERT (claim.answered && claim.refused == ERR_NONE);
  talloc_free (w);
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

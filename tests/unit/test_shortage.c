/* What a request is told whose tokens are not to be had: only what is known to be final is final. */
#include <talloc.h>

#include "budget/shortage.h"
#include "budget_world.h"
#include "harness.h"

#define ACCOUNT "klubbarna"

/* A keeper that has counted everything: 300 tokens are left in all, 200 of them elsewhere. */
static const ShortageInput COUNTED = { .requested = 1000,
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
reason_with (void (*change) (ShortageInput *facts))
{
  ShortageInput facts = COUNTED;

  change (&facts);
  return shortage_classify (&facts);
}

static void
change_nothing (ShortageInput *f)
{
  (void)f;
}

static void
others_hold_enough (ShortageInput *f)
{
  f->outstanding = 900;
}

static void
others_are_not_counted (ShortageInput *f)
{
  f->outstanding_known = false;
}

static void
row_is_old (ShortageInput *f)
{
  f->row_fresh = false;
}

static void
nothing_is_fresh (ShortageInput *f)
{
  f->row_fresh = false;
  f->spent_fresh = false;
}

static void
all_is_spent (ShortageInput *f)
{
  f->outstanding_known = false;
  f->spent = 99500;
}

static void
store_is_silent (ShortageInput *f)
{
  f->store_connected = false;
}

static void
store_has_enough (ShortageInput *f)
{
  f->unallocated = 940;
}

static void
ceiling_binds (ShortageInput *f)
{
  f->balance = 1000;
}

static void
ceiling_cannot_rise (ShortageInput *f)
{
  f->balance = 1000;
  f->ceiling_stalled = true;
}

/* Guards against a final refusal of a request that could be served once tokens come back, and against
 * sending a caller away for a moment although none will. */
static void
reason_follows_from_what_is_known (void)
{
  static const struct
  {
    void (*change) (ShortageInput *facts);
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
use_up (BudgetWorld *w, Tokens limit, Tokens last, BudgetClaim *open)
{
  BudgetClaim claim;

  budget_world_configure (w, ACCOUNT, limit, 1);
  budget_world_run (w, 1000);
  for (Tokens spent = 0; spent < limit - last; spent += 10000)
    {
      budget_world_claim (w, (int)(spent / 10000) % w->n_hosts, ACCOUNT, 10000, &claim);
      budget_world_run (w, 300);
      CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
      budget_world_settle (w, &claim, 10000);
    }
  budget_world_claim (w, 0, ACCOUNT, last, open);
  budget_world_run (w, 1500);
  CU_ASSERT_EQUAL (open->refused, ERR_NONE);
}

/* Has each host ask until the answer is final. @return how many hosts got it within 4 s. */
static int
hosts_told_for_good (BudgetWorld *w)
{
  BudgetClaim claim;
  int final = 0;

  for (int i = 0; i < w->n_hosts; i++)
    {
      for (int tries = 0; tries < 10; tries++)
        {
          budget_world_claim (w, i, ACCOUNT, 5000, &claim);
          budget_world_run (w, 400);
          CU_ASSERT_TRUE (claim.answered);
          if (claim.refused == ERR_BUDGET_EXHAUSTED)
            break;
          CU_ASSERT_EQUAL (claim.refused, ERR_BUDGET_HELD);
        }
      final += claim.refused == ERR_BUDGET_EXHAUSTED;
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
      BudgetWorld *w = budget_world_new (4, seed);
      BudgetClaim open;

      use_up (w, 200000, 20000, &open);
      for (int i = 0; i < w->n_hosts; i++)
        budget_world_kill (w, i);
      budget_world_run (w, 1200);
      for (int i = 0; i < w->n_hosts; i++)
        budget_world_start (w, i);
      budget_world_configure (w, ACCOUNT, 200000, 1);
      budget_world_run (w, 1000);
      CU_ASSERT_EQUAL (hosts_told_for_good (w), 4);
      talloc_free (w);
    }
}

/* Guards against a final answer while a request of another host may still give its tokens back. */
static void
tokens_in_use_elsewhere_may_come_back (void)
{
  BudgetWorld *w = budget_world_new (4, 1);
  BudgetClaim open;
  BudgetClaim claim;

  use_up (w, 200000, 20000, &open);
  for (int i = 0; i < 40; i++)
    {
      budget_world_claim (w, i % 4, ACCOUNT, 5000, &claim);
      budget_world_run (w, 250);
      CU_ASSERT_EQUAL (claim.refused, ERR_BUDGET_HELD);
    }
  budget_world_settle (w, &open, 0);
  budget_world_run (w, 500);
  budget_world_claim (w, 1, ACCOUNT, 5000, &claim);
  budget_world_run (w, 500);
  CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
  talloc_free (w);
}

/* Plays long streams that hold the last tokens of an account: their prompts have been read and do not come
 * back, so that others need not wait for their end to hear that nothing is left. */
static void
prompts_that_were_read_do_not_come_back (void)
{
  BudgetWorld *w = budget_world_new (4, 1);
  BudgetClaim open;
  BudgetClaim claim;

  use_up (w, 200000, 20000, &open);
  reservation_commit (open.reservation, 16000);
  CU_ASSERT_EQUAL (hosts_told_for_good (w), 4);
  budget_world_claim (w, 1, ACCOUNT, 3000, &claim);
  budget_world_run (w, 500);
  CU_ASSERT_EQUAL (claim.refused, ERR_BUDGET_HELD);
  budget_world_settle (w, &open, 16500);
  budget_world_run (w, 1500);
  budget_world_claim (w, 1, ACCOUNT, 3000, &claim);
  budget_world_run (w, 500);
  CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
  talloc_free (w);
}

/* Guards against hosts that send callers away for a moment because the account's keeper alone cannot reach
 * the store: it still knows what others hold, and they know the row. */
static void
keeper_in_a_cut_still_counts (void)
{
  for (int cut = 0; cut < 4; cut++)
    {
      BudgetWorld *w = budget_world_new (4, 1);
      BudgetClaim open;
      BudgetClaim claim;
      int final = 0;

      use_up (w, 200000, 20000, &open);
      budget_world_settle (w, &open, 20000);
      CU_ASSERT_EQUAL (hosts_told_for_good (w), 4);
      w->hosts[cut].port->drop_calls = true;
      budget_world_run (w, 5000);
      for (int i = 0; i < 8; i++)
        {
          budget_world_claim (w, i % 4, ACCOUNT, 5000, &claim);
          budget_world_run (w, 1000);
          final += i >= 4 && claim.refused == ERR_BUDGET_EXHAUSTED;
        }
      CU_ASSERT (final >= 3);
      talloc_free (w);
    }
}

/* Plays a large account on many hosts, each of which is left with a little after its last request: too little to
 * be worth a message while the account lasts, enough for several requests together. @p askers of the hosts have
 * more requests. @return how many requests get nearly all of it. */
static int
served_from_leftovers (int askers)
{
  BudgetWorld *w = budget_world_new (BUDGET_WORLD_HOSTS, 1);
  const Tokens limit = 24000000;
  const Tokens leftover = 1400;
  const Tokens share = 1900000;
  BudgetClaim claims[BUDGET_WORLD_HOSTS] = { 0 };
  BudgetClaim claim;
  int served = 0;

  budget_world_configure (w, ACCOUNT, limit, 1);
  budget_world_run (w, 1000);
  for (int i = 0; i < w->n_hosts; i++)
    {
      budget_world_claim (w, i, ACCOUNT, share, &claim);
      budget_world_run (w, 500);
      CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
      budget_world_settle (w, &claim, share - leftover);
    }
  budget_world_run (w, 1500);
  budget_world_claim (w, 0, ACCOUNT, limit - w->n_hosts * share, &claim);
  budget_world_run (w, 1500);
  CU_ASSERT_EQUAL (claim.refused, ERR_NONE);
  budget_world_settle (w, &claim, limit - w->n_hosts * share);
  for (int tries = 0; tries < 10 && served == 0; tries++)
    {
      for (int i = 0; i < askers; i++)
        budget_world_claim (w, i, ACCOUNT, 9 * leftover, &claims[i]);
      budget_world_run (w, 400);
      for (int i = 0; i < askers; i++)
        served += claims[i].refused == ERR_NONE;
    }
  talloc_free (w);
  return served;
}

static void
small_leftovers_come_back_in_the_end (void)
{
  CU_ASSERT_EQUAL (served_from_leftovers (BUDGET_WORLD_HOSTS), 1);
  CU_ASSERT_EQUAL (served_from_leftovers (1), 1);
}

/* Guards against refusing all of several callers because they cannot all be served: requests are served in the
 * order in which they came, as far as the account goes. */
static void
callers_are_served_in_order_as_far_as_it_goes (void)
{
  for (int hosts = 1; hosts <= 4; hosts += 3)
    {
      BudgetWorld *w = budget_world_new (hosts, 1);
      BudgetClaim claims[4];
      int served = 0;

      budget_world_configure (w, ACCOUNT, 100000, 1);
      for (int i = 0; i < 4; i++)
        budget_world_claim (w, i % hosts, ACCOUNT, 40000, &claims[i]);
      budget_world_run (w, 1500);
      for (int i = 0; i < 4; i++)
        {
          CU_ASSERT_TRUE (claims[i].answered);
          served += claims[i].refused == ERR_NONE;
        }
      CU_ASSERT_EQUAL (served, 2);
      if (hosts == 1)
        CU_ASSERT (claims[0].refused == ERR_NONE && claims[1].refused == ERR_NONE);
      talloc_free (w);
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

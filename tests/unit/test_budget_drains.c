/* What a host gives back of a budget, and what it still serves, when it leaves. */
#include <talloc.h>

#include "budget/ceiling_publisher.h"
#include "budget_world.h"
#include "harness.h"

#define ACCOUNT "klubbarna"

/* Guards against tokens that stay with a host that has ended in good order. */
static void
drain_returns_everything (void)
{
  BudgetWorld *w = budget_world_new (2, 1);
  BudgetClaim claim;

  budget_world_configure (w, ACCOUNT, 100000, 1);
  budget_world_claim (w, 0, ACCOUNT, 30000, &claim);
  budget_world_run (w, 500);
  CU_ASSERT_TRUE (budgets_return_all (w->hosts[0].budgets));
  budget_world_settle (w, &claim, 10000);
  budget_world_run (w, 300);
  budget_world_return_all (w, 0);
  budgets_return_all (w->hosts[1].budgets);
  budget_world_run (w, 300);
  CU_ASSERT_EQUAL (budget_world_granted (w, ACCOUNT), 10000);
  talloc_free (w);
}

/* Guards against tokens that a host which is no longer the keeper cannot give back, because the account's
 * row changes all the time. */
static void
busy_row_does_not_keep_tokens_from_returning (void)
{
  static const StoreKey KEY = { "budgets", ACCOUNT, "account" };

  for (int dead = 0; dead < 2; dead++)
    {
      BudgetWorld *w = budget_world_new (2, 1);
      BudgetClaim claim;

      budget_world_configure (w, ACCOUNT, 1000000, 1);
      budget_world_run (w, 1000);
      budget_world_kill (w, dead);
      budget_world_claim (w, 1 - dead, ACCOUNT, 1000, &claim);
      budget_world_run (w, 1500);
      budget_world_start (w, dead);
      budget_world_configure_host (w, dead, ACCOUNT, 1000000, 1);
      for (int i = 0; i < 400; i++)
        {
          char *value;

          budget_world_run (w, 5);
          value = talloc_strdup (w, fake_store_value (w->store, &KEY));
          fake_store_put (w->store, &KEY, value);
          talloc_free (value);
        }
      CU_ASSERT (budget_world_granted (w, ACCOUNT) <= 250000);
      talloc_free (w);
    }
}

/* Guards against tokens that a draining host keeps until its last stream ends, and against requests on its
 * open connections that it refuses because it has given everything back. */
static void
leaving_host_returns_at_once_and_still_serves (void)
{
  for (int leaving = 0; leaving < 2; leaving++)
    {
      BudgetWorld *w = budget_world_new (2, 1);
      Budgets *b = w->hosts[leaving].budgets;
      BudgetClaim stream;
      BudgetClaim late;

      budget_world_configure (w, ACCOUNT, 1000000, 1);
      budget_world_run (w, 1000);
      budget_world_claim (w, leaving, ACCOUNT, 1000, &stream);
      budget_world_run (w, 300);
      CU_ASSERT_EQUAL (stream.refused, ERR_NONE);
      budgets_stop_coordinating (b);
      for (int i = 0; i < 20; i++)
        {
          budgets_return_all (b);
          budget_world_run (w, 50);
        }
      CU_ASSERT (budget_world_granted (w, ACCOUNT) <= 220000);
      budget_world_claim (w, leaving, ACCOUNT, 500, &late);
      budget_world_run (w, 300);
      CU_ASSERT_TRUE (late.answered);
      CU_ASSERT_EQUAL (late.refused, ERR_NONE);
      budget_world_settle (w, &late, 500);
      budget_world_settle (w, &stream, 1000);
      talloc_free (w);
    }
}

/* Guards against a drain during a store outage that puts the balance into transactions without an answer:
 * requests on connections that are still open would be refused although their tokens are here. */
static void
leaving_host_serves_from_its_balance_while_the_store_is_silent (void)
{
  BudgetWorld *w = budget_world_new (1, 1);
  BudgetHost *h = &w->hosts[0];
  BudgetClaim claims[20];
  int served = 0;

  budget_world_configure (w, ACCOUNT, 1000000, 1);
  budget_world_run (w, 1000);
  budget_world_claim (w, 0, ACCOUNT, 1000, &claims[0]);
  budget_world_run (w, 300);
  budget_world_settle (w, &claims[0], 1000);
  budget_world_run (w, 600);
  h->port->drop_calls = true;
  budget_world_run (w, 1000);
  budgets_stop_coordinating (h->budgets);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_TRUE (budgets_return_all (h->budgets));
      budget_world_claim (w, 0, ACCOUNT, 100, &claims[i]);
      budget_world_run (w, 100);
      if (!claims[i].answered || claims[i].refused != ERR_NONE)
        continue;
      served++;
      budget_world_settle (w, &claims[i], 100);
    }
  CU_ASSERT_EQUAL (served, 20);
  h->port->drop_calls = false;
  budget_world_run (w, 1500);
  budget_world_return_all (w, 0);
  CU_ASSERT_FALSE (budgets_return_all (h->budgets));
  CU_ASSERT (budget_world_granted (w, ACCOUNT) <= 3000);
  talloc_free (w);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "drain_returns_everything", drain_returns_everything },
    { "busy_row_does_not_keep_tokens_from_returning",
      busy_row_does_not_keep_tokens_from_returning },
    { "leaving_host_returns_at_once_and_still_serves",
      leaving_host_returns_at_once_and_still_serves },
    { "leaving_host_serves_from_its_balance_while_the_store_is_silent",
      leaving_host_serves_from_its_balance_while_the_store_is_silent },
  };

  return harness_run ("budget_drains", CASES, sizeof CASES / sizeof CASES[0]);
}

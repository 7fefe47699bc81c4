/* Draining hosts: which tokens they return, and which requests they still serve. */
#include <talloc.h>

#include "budget/ceiling_publisher.h"
#include "budget_fixture.h"
#include "harness.h"

#define ACCOUNT "klubbarna"

/* Guards against tokens that remain granted to a host after an orderly shutdown. */
static void
drain_returns_all_unspent_tokens (void)
{
  BudgetFixture *f = budget_fixture_new (2, 1);
  BudgetReservation reservation;

  budget_fixture_configure (f, ACCOUNT, 100000, 1);
  budget_fixture_reserve (f, 0, ACCOUNT, 30000, &reservation);
  budget_fixture_run (f, 500);
  CU_ASSERT_TRUE (budgets_return_all (f->hosts[0].budgets));
  budget_fixture_settle (f, &reservation, 10000);
  budget_fixture_run (f, 300);
  budget_fixture_return_all (f, 0);
  budgets_return_all (f->hosts[1].budgets);
  budget_fixture_run (f, 300);
  CU_ASSERT_EQUAL (budget_fixture_granted (f, ACCOUNT), 10000);
  talloc_free (f);
}

/* Guards against a host that is no longer the coordinator and cannot return its tokens, because every transaction
 * conflicts with other writes to the account's row. */
static void
tokens_are_returned_despite_write_conflicts (void)
{
  static const StoreKey KEY = { "budgets", ACCOUNT, "account" };

  for (int killed = 0; killed < 2; killed++)
    {
      BudgetFixture *f = budget_fixture_new (2, 1);
      BudgetReservation reservation;

      budget_fixture_configure (f, ACCOUNT, 1000000, 1);
      budget_fixture_run (f, 1000);
      budget_fixture_kill (f, killed);
      budget_fixture_reserve (f, 1 - killed, ACCOUNT, 1000, &reservation);
      budget_fixture_run (f, 1500);
      budget_fixture_start (f, killed);
      budget_fixture_configure_host (f, killed, ACCOUNT, 1000000, 1);
      for (int i = 0; i < 400; i++)
        {
          char *value;

          budget_fixture_run (f, 5);
          value = talloc_strdup (f, fake_store_value (f->store, &KEY));
          fake_store_put (f->store, &KEY, value);
          talloc_free (value);
        }
      CU_ASSERT (budget_fixture_granted (f, ACCOUNT) <= 250000);
      talloc_free (f);
    }
}

/* Guards against a draining host that keeps its tokens until its last stream ends, and against one that has
 * returned them all and refuses requests on connections that are still open. */
static void
draining_host_returns_tokens_at_once_and_still_serves (void)
{
  for (int draining = 0; draining < 2; draining++)
    {
      BudgetFixture *f = budget_fixture_new (2, 1);
      Budgets *b = f->hosts[draining].budgets;
      BudgetReservation stream;
      BudgetReservation late;

      budget_fixture_configure (f, ACCOUNT, 1000000, 1);
      budget_fixture_run (f, 1000);
      budget_fixture_reserve (f, draining, ACCOUNT, 1000, &stream);
      budget_fixture_run (f, 300);
      CU_ASSERT_EQUAL (stream.err, ERR_NONE);
      budgets_stop_coordinating (b);
      for (int i = 0; i < 20; i++)
        {
          budgets_return_all (b);
          budget_fixture_run (f, 50);
        }
      CU_ASSERT (budget_fixture_granted (f, ACCOUNT) <= 220000);
      budget_fixture_reserve (f, draining, ACCOUNT, 500, &late);
      budget_fixture_run (f, 300);
      CU_ASSERT_TRUE (late.decided);
      CU_ASSERT_EQUAL (late.err, ERR_NONE);
      budget_fixture_settle (f, &late, 500);
      budget_fixture_settle (f, &stream, 1000);
      talloc_free (f);
    }
}

/* Guards against a drain that moves the balance into return transactions to which the store does not respond:
 * requests on connections that are still open would be refused although the host holds enough tokens. */
static void
draining_host_serves_from_its_balance_during_a_store_outage (void)
{
  BudgetFixture *f = budget_fixture_new (1, 1);
  BudgetHost *h = &f->hosts[0];
  BudgetReservation reservations[20];
  int served = 0;

  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 1000);
  budget_fixture_reserve (f, 0, ACCOUNT, 1000, &reservations[0]);
  budget_fixture_run (f, 300);
  budget_fixture_settle (f, &reservations[0], 1000);
  budget_fixture_run (f, 600);
  h->store_client->drop_calls = true;
  budget_fixture_run (f, 1000);
  budgets_stop_coordinating (h->budgets);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_TRUE (budgets_return_all (h->budgets));
      budget_fixture_reserve (f, 0, ACCOUNT, 100, &reservations[i]);
      budget_fixture_run (f, 100);
      if (!reservations[i].decided || reservations[i].err != ERR_NONE)
        continue;
      served++;
      budget_fixture_settle (f, &reservations[i], 100);
    }
  CU_ASSERT_EQUAL (served, 20);
  h->store_client->drop_calls = false;
  budget_fixture_run (f, 1500);
  budget_fixture_return_all (f, 0);
  CU_ASSERT_FALSE (budgets_return_all (h->budgets));
  CU_ASSERT (budget_fixture_granted (f, ACCOUNT) <= 3000);
  talloc_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "drain_returns_all_unspent_tokens", drain_returns_all_unspent_tokens },
    { "tokens_are_returned_despite_write_conflicts", tokens_are_returned_despite_write_conflicts },
    { "draining_host_returns_tokens_at_once_and_still_serves",
      draining_host_returns_tokens_at_once_and_still_serves },
    { "draining_host_serves_from_its_balance_during_a_store_outage",
      draining_host_serves_from_its_balance_during_a_store_outage },
  };

  return harness_run ("budget_drains", CASES, sizeof CASES / sizeof CASES[0]);
}

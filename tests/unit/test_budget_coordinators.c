/* Hosts that need tokens of one account at the same time request them from its coordinator, and only the coordinator
 * draws from the store. */
#include <string.h>

#include <talloc.h>

#include "budget_fixture.h"
#include "harness.h"

#define ACCOUNT "klubbarna"

/* Coordinators of an account that a host tries before it draws from the store itself. */
#define MAX_COORDINATORS_TRIED 3

static void
reserve_on_all_hosts (BudgetFixture *f, BudgetReservation *reservations)
{
  for (int i = 0; i < f->n_hosts; i++)
    budget_fixture_reserve (f, i, ACCOUNT, 1000, &reservations[i]);
}

static int
count_served (const BudgetReservation *reservations, int n)
{
  int count = 0;

  for (int i = 0; i < n; i++)
    count += reservations[i].decided && reservations[i].err == ERR_NONE;
  return count;
}

/* @return how many hosts have sent transactions to the store. */
static int
count_hosts_with_txns (const BudgetFixture *f)
{
  int count = 0;

  for (int i = 0; i < f->n_hosts; i++)
    count += f->hosts[i].store_client->txns > 0;
  return count;
}

/* Guards against taking a coordinator for dead that has no tokens yet and waits for the store. After 295 hosts had
 * been killed together, all others drew from the store themselves, the coordinator's transactions never got through
 * the conflicts, and the account was refused for 20 s with 38 % of it left. */
static void
coordinator_waiting_for_the_store_is_not_skipped (void)
{
  BudgetFixture *f = budget_fixture_new (BUDGET_FIXTURE_MAX_HOSTS, 1);
  BudgetReservation reservations[BUDGET_FIXTURE_MAX_HOSTS] = { 0 };

  for (int i = 0; i < f->n_hosts; i++)
    f->hosts[i].store_client->latency_ms = 60;
  budget_fixture_run (f, 500);
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  reserve_on_all_hosts (f, reservations);
  budget_fixture_run (f, 1000);
  CU_ASSERT_EQUAL (count_served (reservations, f->n_hosts), f->n_hosts);
  CU_ASSERT_EQUAL (count_hosts_with_txns (f), 1);
  talloc_free (f);
}

/* Guards against hosts that all draw from the store themselves once the coordinator has waited for long or cannot
 * reach the store: they must try the next coordinators first. */
static void
only_coordinators_draw_from_a_slow_store (void)
{
  BudgetFixture *f = budget_fixture_new (BUDGET_FIXTURE_MAX_HOSTS, 1);
  BudgetReservation reservations[BUDGET_FIXTURE_MAX_HOSTS] = { 0 };

  budget_fixture_run (f, 500);
  for (int i = 0; i < f->n_hosts; i++)
    f->hosts[i].store_client->latency_ms = 200;
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  for (int round = 0; round < 5; round++)
    {
      reserve_on_all_hosts (f, reservations);
      budget_fixture_run (f, 1000);
      for (int i = 0; i < f->n_hosts; i++)
        CU_ASSERT_TRUE (reservations[i].decided);
    }
  CU_ASSERT (count_hosts_with_txns (f) <= MAX_COORDINATORS_TRIED);
  CU_ASSERT_EQUAL (count_served (reservations, f->n_hosts), f->n_hosts);
  talloc_free (f);
}

/* Guards against hosts that start together and all draw from the store before they have received the list of hosts. */
static void
hosts_starting_together_wait_for_the_coordinator (void)
{
  BudgetFixture *f = budget_fixture_new (BUDGET_FIXTURE_MAX_HOSTS, 1);
  BudgetReservation reservations[BUDGET_FIXTURE_MAX_HOSTS] = { 0 };

  f->withhold_host_list = true;
  for (int i = 0; i < f->n_hosts; i++)
    {
      budget_fixture_restart (f, i);
      f->hosts[i].store_client->txns = 0;
    }
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 100);
  reserve_on_all_hosts (f, reservations);
  budget_fixture_run (f, 200);
  budget_fixture_send_host_lists (f);
  budget_fixture_run (f, 500);
  CU_ASSERT_EQUAL (count_served (reservations, f->n_hosts), f->n_hosts);
  CU_ASSERT_EQUAL (count_hosts_with_txns (f), 1);
  talloc_free (f);
}

/* Guards against requests that wait for a list of hosts that never arrives. */
static void
host_without_host_list_draws_for_itself (void)
{
  BudgetFixture *f = budget_fixture_new (1, 1);
  BudgetReservation reservation;

  f->withhold_host_list = true;
  budget_fixture_restart (f, 0);
  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_reserve (f, 0, ACCOUNT, 1000, &reservation);
  budget_fixture_run (f, 1000);
  CU_ASSERT_TRUE (reservation.decided);
  CU_ASSERT_EQUAL (reservation.err, ERR_NONE);
  talloc_free (f);
}

/* Guards against refusals while the store refuses the calls of the coordinator only: the next coordinator must draw for
 * all other hosts. */
static void
next_coordinator_draws_if_the_store_refuses_the_first (void)
{
  for (int refused = 0; refused < BUDGET_FIXTURE_MAX_HOSTS; refused++)
    {
      BudgetFixture *f = budget_fixture_new (BUDGET_FIXTURE_MAX_HOSTS, 1);
      BudgetReservation reservations[BUDGET_FIXTURE_MAX_HOSTS] = { 0 };

      budget_fixture_run (f, 500);
      f->hosts[refused].store_client->refuse_calls = true;
      budget_fixture_configure (f, ACCOUNT, 1000000, 1);
      budget_fixture_run (f, 300);
      reserve_on_all_hosts (f, reservations);
      budget_fixture_run (f, 1500);
      CU_ASSERT (count_served (reservations, f->n_hosts) >= f->n_hosts - 1);
      CU_ASSERT (count_hosts_with_txns (f) <= 2);
      talloc_free (f);
    }
}

/* @return a host other than @p except that acts as the coordinator, or -1. */
static int
find_coordinator (BudgetFixture *f, int except)
{
  for (int i = 0; i < f->n_hosts; i++)
    {
      char *text = i == except ? NULL : budgets_describe (f->hosts[i].budgets, f, ACCOUNT);

      if (text && strstr (text, "\"keeper\":true"))
        return i;
    }
  return -1;
}

/* Guards against a balance that stays on a host because the host also has a small grant of its own, which it drew and
 * transferred while it was the fallback for a partitioned coordinator. No other host requests tokens from it: an
 * account was refused for 15 s with 6 % of it on such a host. */
static void
former_coordinator_returns_transferred_tokens (void)
{
  BudgetFixture *f = budget_fixture_new (3, 1);
  BudgetReservation reservations[3];
  BudgetReservation small;
  BudgetReservation rest;
  int coordinator;
  int fallback;

  budget_fixture_configure (f, ACCOUNT, 1000000, 1);
  budget_fixture_run (f, 1000);
  coordinator = find_coordinator (f, -1);
  for (int i = 0; i < 3; i++)
    budget_fixture_reserve (f, i, ACCOUNT, 200000, &reservations[i]);
  budget_fixture_run (f, 500);
  f->hosts[coordinator].peers->disconnected = true;
  for (int i = 1; i < 3; i++)
    budget_fixture_reserve (f, (coordinator + i) % 3, ACCOUNT, 300, &small);
  budget_fixture_run (f, 500);
  fallback = find_coordinator (f, coordinator);
  CU_ASSERT_FATAL (fallback >= 0);
  f->hosts[coordinator].peers->disconnected = false;
  budget_fixture_run (f, 4000);
  budget_fixture_settle (f, &reservations[fallback], 0);
  budget_fixture_run (f, 3000);
  budget_fixture_reserve (f, coordinator, ACCOUNT, 590000, &rest);
  budget_fixture_run (f, 1000);
  CU_ASSERT_TRUE (rest.decided);
  CU_ASSERT_EQUAL (rest.err, ERR_NONE);
  talloc_free (f);
}

/* Kills the coordinator while host @p holder has most of the account reserved for an open request.
 * @return why the next coordinator then refuses a request; ERR_NONE if the holder is that coordinator. */
static ErrKind
refusal_after_coordinator_is_killed (int holder_offset, int64_t wait_ms)
{
  BudgetFixture *f = budget_fixture_new (3, 1);
  BudgetReservation held;
  BudgetReservation refused;
  ErrKind kind = ERR_NONE;
  int first;
  int next;

  budget_fixture_configure (f, ACCOUNT, 100000, 1);
  budget_fixture_run (f, 1000);
  first = find_coordinator (f, -1);
  budget_fixture_reserve (f, (first + holder_offset) % 3, ACCOUNT, 90000, &held);
  budget_fixture_run (f, 5000);
  CU_ASSERT_EQUAL (held.err, ERR_NONE);
  budget_fixture_kill (f, first);
  f->list_running_only = true;
  budget_fixture_send_host_lists (f);
  budget_fixture_run (f, wait_ms);
  next = 3 - first - (first + holder_offset) % 3;
  budget_fixture_reserve (f, next, ACCOUNT, 50000, &refused);
  budget_fixture_run (f, 3000);
  CU_ASSERT_TRUE (refused.decided);
  kind = refused.err;
  talloc_free (f);
  return kind;
}

/* Guards against a final refusal by a new coordinator that does not know what other hosts hold, because they have
 * reported it to the coordinator before it and nothing has changed since. */
static void
holdings_are_reported_to_a_new_coordinator (void)
{
  for (int offset = 1; offset < 3; offset++)
    CU_ASSERT_EQUAL (refusal_after_coordinator_is_killed (offset, 6000), ERR_BUDGET_HELD);
}

/* Guards against a final refusal by a coordinator that has forgotten what another host holds, because that host has had
 * nothing new to report for longer than a report is valid. */
static void
unchanged_holdings_are_not_forgotten (void)
{
  BudgetFixture *f = budget_fixture_new (3, 1);
  BudgetReservation held;
  BudgetReservation refused;
  int coordinator;

  budget_fixture_configure (f, ACCOUNT, 100000, 1);
  budget_fixture_run (f, 1000);
  coordinator = find_coordinator (f, -1);
  budget_fixture_reserve (f, (coordinator + 1) % 3, ACCOUNT, 90000, &held);
  budget_fixture_run (f, 30000);
  budget_fixture_reserve (f, coordinator, ACCOUNT, 50000, &refused);
  budget_fixture_run (f, 3000);
  CU_ASSERT_EQUAL (held.err, ERR_NONE);
  CU_ASSERT_EQUAL (refused.err, ERR_BUDGET_HELD);
  talloc_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "coordinator_waiting_for_the_store_is_not_skipped",
      coordinator_waiting_for_the_store_is_not_skipped },
    { "only_coordinators_draw_from_a_slow_store", only_coordinators_draw_from_a_slow_store },
    { "next_coordinator_draws_if_the_store_refuses_the_first",
      next_coordinator_draws_if_the_store_refuses_the_first },
    { "hosts_starting_together_wait_for_the_coordinator",
      hosts_starting_together_wait_for_the_coordinator },
    { "holdings_are_reported_to_a_new_coordinator", holdings_are_reported_to_a_new_coordinator },
    { "unchanged_holdings_are_not_forgotten", unchanged_holdings_are_not_forgotten },
    { "host_without_host_list_draws_for_itself", host_without_host_list_draws_for_itself },
    { "former_coordinator_returns_transferred_tokens",
      former_coordinator_returns_transferred_tokens },
  };

  return harness_run ("budget_coordinators", CASES, sizeof CASES / sizeof CASES[0]);
}

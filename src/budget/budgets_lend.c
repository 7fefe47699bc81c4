#include <inttypes.h>

#include <talloc.h>

#include "budget/budgets_impl.h"
#include "core/log.h"

/* --- Asks of other hosts ----------------------------------------------------------------- */

/* Whoever is asked draws from the store rather than asking on. */
static void
let_peer_wait (Account *a, const char *host, const LendingAsk *ask, int64_t now)
{
  Reservation *r = talloc_zero (a->owner, Reservation);

  r->account = a;
  r->tokens = ask->tokens;
  r->peer = talloc_strdup (r, host);
  r->peer_ask = ask->id;
  wait_begin (r, now);
  if (r->state != WAIT_STORE)
    {
      r->state = WAIT_STORE;
      a->state.waiting += ask->tokens;
    }
  budgets_kick (a->owner);
}

static void
on_asked (void *data, const char *host, const LendingAsk *ask)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  Account *a;
  Tokens gift = 0;

  pthread_mutex_lock (&b->lock);
  a = budgets_account (b, ask->account);
  if (a)
    a->state.spent += tokens_max (ask->spent, 0);
  if (a && ask->tokens > 0)
    gift = budget_account_gift (&a->state, &b->options.policy, ask->tokens, ask->wish);
  if (gift <= 0)
    lending_give (b->lending, host, ask->id, ask->account, 0, 0);
  else if (list_is_empty (&a->waiters)
           && budget_account_pass_on (&a->state, gift, budgets_ceiling (a, now), now))
    lending_give (b->lending, host, ask->id, ask->account, gift, 0);
  else
    let_peer_wait (a, host, ask, now);
  pthread_mutex_unlock (&b->lock);
}

static void
on_received (void *data, const char *account, Tokens tokens, Tokens spent)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  Account *a;

  pthread_mutex_lock (&b->lock);
  a = budgets_account (b, account);
  if (a)
    {
      a->state.spent += tokens_max (spent, 0);
      budget_account_receive (&a->state, tokens, now);
      wait_serve (a, now);
    }
  else
    log_event (LOG_LEVEL_WARNING, "budget", "tokens_dropped", "account=%s tokens=%" PRId64, account,
               tokens);
  pthread_mutex_unlock (&b->lock);
}

static Reservation *
find_ask (Account *a, uint64_t id)
{
  for (ListNode *n = list_first (&a->waiters); n; n = list_next (&a->waiters, n))
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);

      if (r->state == WAIT_ASKED && r->ask == id)
        return r;
    }
  return NULL;
}

/* What no keeper gives is drawn from the store. */
static void
on_ended (void *data, uint64_t id, const char *account, bool more)
{
  Budgets *b = data;
  Account *a;
  Reservation *r;

  pthread_mutex_lock (&b->lock);
  a = budgets_account (b, account);
  r = a ? find_ask (a, id) : NULL;
  if (a)
    a->state.plenty = more;
  if (r)
    {
      r->state = WAIT_STORE;
      a->state.waiting += r->tokens;
      budgets_kick (b);
    }
  pthread_mutex_unlock (&b->lock);
}

const LendingEvents budgets_lending_events = { on_asked, on_received, on_ended };

/* --- Steps ------------------------------------------------------------------------------- */

/* @return the next reservation to ask a keeper for, marked as asked. */
static Reservation *
next_to_ask (Account *a)
{
  for (ListNode *n = list_first (&a->waiters); n; n = list_next (&a->waiters, n))
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);

      if (r->state == WAIT_TO_ASK)
        return r;
    }
  return NULL;
}

static void
ask_keepers (Account *a, int64_t now)
{
  Budgets *b = a->owner;
  Reservation *r;

  while ((r = next_to_ask (a)))
    {
      LendingAsk ask = { .account = a->name,
                         .tokens = r->tokens,
                         .wish = budget_account_wish (&a->state, &b->options.policy, now),
                         .spent = budget_account_tell_spent (&a->state) };

      r->ask = lending_ask (b->lending, &ask);
      r->state = r->ask ? WAIT_ASKED : WAIT_STORE;
      if (r->state == WAIT_STORE)
        a->state.waiting += r->tokens;
    }
}

static void
hand_back_surplus (Account *a, int64_t now)
{
  Budgets *b = a->owner;
  Tokens surplus = budget_account_surplus (&a->state, &b->options.policy, now);
  const char *keeper = keepers_of (b->keepers, a->name, 0, now);

  if (surplus <= 0 || a->state.granted > 0 || !keeper || !list_is_empty (&a->waiters))
    return;
  if (budget_account_hand_back (&a->state, surplus, budgets_ceiling (a, now)))
    lending_give (b->lending, keeper, 0, a->name, surplus, budget_account_tell_spent (&a->state));
}

void
lend_step (Account *a)
{
  Budgets *b = a->owner;
  int64_t now = timers_now_ms (b->options.timers);

  pthread_mutex_lock (&b->lock);
  a->state.keeper = !b->options.peers || keepers_is_self (b->keepers, a->name, now);
  if (!a->state.keeper)
    {
      ask_keepers (a, now);
      hand_back_surplus (a, now);
    }
  pthread_mutex_unlock (&b->lock);
}

/* --- Ceilings ---------------------------------------------------------------------------- */

static void
on_collect (void *data, CeilingFn fn, void *fn_data)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *a = value;

      if (a->state.granted <= 0)
        {
          /* It will not stand in the row, which then says that nothing is used while it is new. */
          a->next_ceiling = CEILING_NONE;
          a->state.ceiling = ceiling_lower (&a->state.ceiling, &a->next_ceiling);
          continue;
        }
      a->next_ceiling = budget_account_next_ceiling (&a->state, &b->options.policy, now);
      a->state.ceiling = ceiling_lower (&a->state.ceiling, &a->next_ceiling);
      fn (fn_data, a->name, &a->next_ceiling);
    }
  pthread_mutex_unlock (&b->lock);
}

static void
on_published (void *data, bool done)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  GHashTableIter iter;
  gpointer value;

  if (!done)
    return;
  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *a = value;

      a->state.ceiling = a->next_ceiling;
      wait_serve (a, now);
    }
  pthread_mutex_unlock (&b->lock);
}

static void
on_ready (void *data)
{
  budgets_step (data);
}

const CeilingsEvents budgets_ceilings_events
    = { .collect = on_collect, .ready = on_ready, .published = on_published };

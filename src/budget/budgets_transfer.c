#include <inttypes.h>

#include <talloc.h>

#include "budget/budgets_impl.h"
#include "core/log.h"

/* While not plenty is left, a host tells the keeper at most this often what it holds. */
#define TELL_MS 1000

/* From the start of the process: requests wait for the list of hosts rather than draw for themselves. */
#define LIST_WAIT_MS 500

/* --- Asks of other hosts ----------------------------------------------------------------- */

/* Whoever is asked draws from the store rather than asking on. The host that asks is told to wait: if all
 * hosts drew for themselves, none of their transactions would find the row as it was. */
static void
let_peer_wait (Account *a, const char *host, const TransferRequest *ask, int64_t now)
{
  Reservation *r = talloc_zero (a->owner, Reservation);
  Transfer pending = { .id = ask->id, .account = a->name, .pending = true };

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
  transfers_send (a->owner->lending, host, &pending);
  budgets_schedule_step (a->owner);
}

static void
on_asked (void *data, const char *host, const TransferRequest *ask)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  Transfer gift = { .id = ask->id, .account = ask->account };
  Account *a;

  pthread_mutex_lock (&b->lock);
  a = budgets_find_account (b, ask->account);
  if (a)
    {
      a->state.spent += tokens_max (ask->spent, 0);
      peer_holdings_set (a->holdings, host, ask->held, now);
    }
  if (a && ask->tokens > 0)
    gift.tokens
        = budget_account_transfer_size (&a->state, &b->options.policy, ask->tokens, ask->wish);
  if (gift.tokens <= 0)
    transfers_send (b->lending, host, &gift);
  else if (list_is_empty (&a->waiters)
           && budget_account_transfer_out (&a->state, gift.tokens,
                                           budgets_effective_ceiling (a, now), now))
    {
      peer_holdings_add (a->holdings, host, gift.tokens, now);
      transfers_send (b->lending, host, &gift);
    }
  else
    let_peer_wait (a, host, ask, now);
  pthread_mutex_unlock (&b->lock);
}

static void
note_count (Account *a, const Transfer *give, int64_t now)
{
  if (!give->counted)
    return;
  a->left = give->left;
  a->counted_ms = now;
}

static void
on_received (void *data, const char *host, const Transfer *give)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  Account *a;

  pthread_mutex_lock (&b->lock);
  a = budgets_find_account (b, give->account);
  if (a)
    {
      a->state.spent += tokens_max (give->spent, 0);
      if (give->id == 0)
        peer_holdings_set (a->holdings, host, give->held, now);
      else
        a->told_held = tokens_add_saturated (a->told_held, give->tokens);
      note_count (a, give, now);
      if (give->tokens > 0)
        budget_account_transfer_in (&a->state, give->tokens, now);
      wait_serve (a, now);
    }
  else if (give->tokens > 0)
    log_event (LOG_LEVEL_WARNING, "budget", "tokens_dropped", "account=%s tokens=%" PRId64,
               give->account, give->tokens);
  pthread_mutex_unlock (&b->lock);
}

static Reservation *
find_ask (Account *a, uint64_t id)
{
  for (ListNode *n = list_first (&a->waiters); n; n = list_next (&a->waiters, n))
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);

      if (r->state == WAIT_REQUEST_SENT && r->ask == id)
        return r;
    }
  return NULL;
}

/* What no keeper gives is drawn from the store, unless nothing is left or the keeper is about to draw it. */
static void
on_ended (void *data, uint64_t id, const char *account, TransferOutcome end)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  Account *a;
  Reservation *r;

  pthread_mutex_lock (&b->lock);
  a = budgets_find_account (b, account);
  r = a ? find_ask (a, id) : NULL;
  if (a)
    a->state.is_ample = end == TRANSFER_WITH_EXTRA;
  if (r && end == TRANSFER_EXHAUSTED)
    wait_refuse (r, ERR_BUDGET_EXHAUSTED, now);
  else if (r && end == TRANSFER_PENDING_TIMED_OUT)
    wait_refuse (r, ERR_BUDGET_UNREACHABLE, now);
  else if (r)
    {
      r->state = WAIT_STORE;
      a->state.waiting += r->tokens;
      budgets_schedule_step (b);
    }
  pthread_mutex_unlock (&b->lock);
}

const TransferEvents budgets_transfer_events = { on_asked, on_received, on_ended };

/* --- Steps ------------------------------------------------------------------------------- */

/* @return the next reservation to ask a keeper for, marked as asked. */
static Reservation *
next_to_ask (Account *a)
{
  for (ListNode *n = list_first (&a->waiters); n; n = list_next (&a->waiters, n))
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);

      if (r->state == WAIT_REQUEST_UNSENT)
        return r;
    }
  return NULL;
}

/* What may still come back from here. */
static Tokens
held_by (const Account *a)
{
  return tokens_add_saturated (a->state.balance, budget_account_uncommitted (&a->state));
}

/* Hosts that have just started are about to read which hosts there are. */
static bool
may_learn_keepers (const Budgets *b, int64_t now)
{
  return !coordinators_has_candidates (b->keepers) && now - b->started_ms < LIST_WAIT_MS;
}

static void
ask_keepers (Account *a, int64_t now)
{
  Budgets *b = a->owner;
  Reservation *r;

  if (may_learn_keepers (b, now))
    return;
  while ((r = next_to_ask (a)))
    {
      TransferRequest ask = { .account = a->name,
                              .tokens = r->tokens,
                              .wish = budget_account_extra (&a->state, &b->options.policy, now),
                              .spent = budget_account_report_spent (&a->state),
                              .held = held_by (a) };

      a->told_held = ask.held;
      r->ask = transfers_request (b->lending, &ask);
      r->state = r->ask ? WAIT_REQUEST_SENT : WAIT_STORE;
      if (r->state == WAIT_STORE)
        a->state.waiting += r->tokens;
    }
}

static void
tell_keeper (Account *a, const char *is_coordinator, Tokens tokens)
{
  Transfer give = { .account = a->name,
                    .tokens = tokens,
                    .spent = budget_account_report_spent (&a->state),
                    .held = held_by (a) };

  a->told_held = give.held;
  a->told_ms = timers_now_ms (a->owner->options.timers);
  transfers_send (a->owner->lending, is_coordinator, &give);
}

/* Hands the surplus over, small amounts with @p all. @return how much that was. */
static Tokens
take_surplus (Account *a, bool all, int64_t now)
{
  Tokens surplus = budget_account_surplus (&a->state, &a->owner->options.policy, all, now);

  if (surplus <= 0 || !list_is_empty (&a->waiters)
      || !budget_account_return_to_coordinator (&a->state, surplus,
                                                budgets_effective_ceiling (a, now)))
    return 0;
  return surplus;
}

/* Once little is left, what this host still holds decides whether others are refused for good. */
static bool
is_to_be_told (const Account *a, int64_t now)
{
  return !a->state.is_ample && held_by (a) != a->told_held && now - a->told_ms >= TELL_MS;
}

/* Small amounts go along with what is told anyway. */
static void
hand_back_and_tell (Account *a, const char *is_coordinator, int64_t now)
{
  bool is_told = is_to_be_told (a, now);
  Tokens surplus = take_surplus (a, is_told, now);

  if (surplus > 0 || is_told)
    tell_keeper (a, is_coordinator, surplus);
}

static void
step_as_keeper (Account *a, int64_t now)
{
  if (!a->owner->options.peers || coordinators_is_preferred (a->owner->keepers, a->name))
    a->kept_since_ms = a->kept_since_ms ? a->kept_since_ms : now;
  else
    a->kept_since_ms = 0;
}

static void
step_as_other (Account *a, int64_t now)
{
  const char *is_coordinator;

  a->kept_since_ms = 0;
  ask_keepers (a, now);
  is_coordinator = coordinators_find (a->owner->keepers, a->name, 0, now);
  if (is_coordinator)
    hand_back_and_tell (a, is_coordinator, now);
}

void
transfer_step (Account *a)
{
  Budgets *b = a->owner;
  int64_t now = timers_now_ms (b->options.timers);

  pthread_mutex_lock (&b->lock);
  a->state.is_coordinator = !b->options.peers || coordinators_is_acting (b->keepers, a->name, now);
  if (a->state.is_coordinator)
    step_as_keeper (a, now);
  else
    step_as_other (a, now);
  pthread_mutex_unlock (&b->lock);
}

#include <inttypes.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "budget/budgets_impl.h"
#include "core/log.h"

/* Shortest interval between the reports of its holdings that a host sends while the budget is not ample. */
#define REPORT_INTERVAL_MS 1000

/* Interval of reports of unchanged holdings, before the coordinator ignores the last one. */
#define REPEAT_INTERVAL_MS (PEER_HOLDING_TTL_MS / 3)

/* After the start of the process, reservations wait at most this long for the list of hosts before they use the
 * store. */
#define HOST_LIST_WAIT_MS 500

/* --- Requests of other hosts ------------------------------------------------------------- */

/* Queues a request of another host until this host has obtained tokens from the store; it is not forwarded to a
 * third host. The other host gets a pending response: if all hosts used the store themselves, their
 * transactions on the row would keep conflicting. */
static void
queue_peer_request (AccountEntry *a, const char *host, const TransferRequest *request, int64_t now)
{
  Reservation *r = talloc_zero (a->budgets, Reservation);
  Transfer pending = { .id = request->id, .account = a->name, .pending = true };

  r->account = a;
  r->tokens = request->tokens;
  r->peer = talloc_strdup (r, host);
  r->peer_request_id = request->id;
  wait_begin (r, now);
  if (r->state != WAIT_STORE)
    {
      r->state = WAIT_STORE;
      a->state.waiting_tokens += request->tokens;
    }
  transfers_send (a->budgets->transfers, host, &pending);
  budgets_schedule_step (a->budgets);
}

static void
on_requested (void *data, const char *host, const TransferRequest *request)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  Transfer transfer = { .id = request->id, .account = request->account };
  AccountEntry *a;

  pthread_mutex_lock (&b->lock);
  a = budgets_find_account (b, request->account);
  if (a)
    {
      a->state.spent += tokens_max (request->spent, 0);
      peer_holdings_set (a->peer_holdings, host, request->held, now);
    }
  if (a && request->tokens > 0)
    transfer.tokens = budget_account_transfer_size (&a->state, &b->options.policy, request->tokens,
                                                    request->extra);
  if (transfer.tokens <= 0)
    transfers_send (b->transfers, host, &transfer);
  else if (list_is_empty (&a->waiters)
           && budget_account_transfer_out (&a->state, transfer.tokens,
                                           budgets_effective_ceiling (a, now), now))
    {
      peer_holdings_add (a->peer_holdings, host, transfer.tokens, now);
      transfers_send (b->transfers, host, &transfer);
    }
  else
    queue_peer_request (a, host, request, now);
  pthread_mutex_unlock (&b->lock);
}

static void
update_outstanding (AccountEntry *a, const Transfer *transfer, int64_t now)
{
  if (!transfer->outstanding_known)
    return;
  a->outstanding = transfer->outstanding;
  a->outstanding_ms = now;
}

static void
on_received (void *data, const char *host, const Transfer *transfer)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  AccountEntry *a;

  pthread_mutex_lock (&b->lock);
  a = budgets_find_account (b, transfer->account);
  if (a)
    {
      a->state.spent += tokens_max (transfer->spent, 0);
      if (transfer->id == 0)
        peer_holdings_set (a->peer_holdings, host, transfer->held, now);
      else
        a->reported_held = tokens_add_saturated (a->reported_held, transfer->tokens);
      update_outstanding (a, transfer, now);
      if (transfer->tokens > 0)
        budget_account_transfer_in (&a->state, transfer->tokens, now);
      wait_serve (a, now);
    }
  else if (transfer->tokens > 0)
    log_event (LOG_LEVEL_WARNING, "budget", "tokens_dropped", "account=%s tokens=%" PRId64,
               transfer->account, transfer->tokens);
  pthread_mutex_unlock (&b->lock);
}

static Reservation *
find_sent_request (AccountEntry *a, uint64_t id)
{
  for (ListNode *n = list_first (&a->waiters); n; n = list_next (&a->waiters, n))
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);

      if (r->state == WAIT_REQUEST_SENT && r->request_id == id)
        return r;
    }
  return NULL;
}

/* If no coordinator has provided the tokens, they are obtained from the store, unless the account is exhausted or a
 * coordinator has timed out while it waited for the store. Tokens that have arrived may have served a reservation that
 * waited for longer: the coordinator is asked once more then. */
static void
on_ended (void *data, uint64_t id, const char *account, TransferOutcome outcome)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  AccountEntry *a;
  Reservation *r;

  pthread_mutex_lock (&b->lock);
  a = budgets_find_account (b, account);
  r = a ? find_sent_request (a, id) : NULL;
  if (a)
    a->state.is_ample = outcome == TRANSFER_WITH_EXTRA;
  if (r && outcome == TRANSFER_EXHAUSTED)
    wait_refuse (r, ERR_BUDGET_EXHAUSTED, now);
  else if (r && outcome == TRANSFER_PENDING_TIMED_OUT)
    wait_refuse (r, ERR_BUDGET_UNREACHABLE, now);
  else if (r && (outcome == TRANSFER_SUFFICIENT || outcome == TRANSFER_WITH_EXTRA))
    {
      r->state = WAIT_REQUEST_UNSENT;
      budgets_schedule_step (b);
    }
  else if (r)
    {
      r->state = WAIT_STORE;
      a->state.waiting_tokens += r->tokens;
      budgets_schedule_step (b);
    }
  pthread_mutex_unlock (&b->lock);
}

const TransferEvents budgets_transfer_events = { on_requested, on_received, on_ended };

/* --- Steps ------------------------------------------------------------------------------- */

/* @return the next waiting reservation whose request has not been sent to a coordinator. */
static Reservation *
next_unsent (AccountEntry *a)
{
  for (ListNode *n = list_first (&a->waiters); n; n = list_next (&a->waiters, n))
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);

      if (r->state == WAIT_REQUEST_UNSENT)
        return r;
    }
  return NULL;
}

/* @return tokens on this host that may become available to other hosts. */
static Tokens
held_tokens (const AccountEntry *a)
{
  return tokens_add_saturated (a->state.balance, budget_account_uncommitted (&a->state));
}

/* @return whether this host has just started and has not received the list of hosts yet. */
static bool
awaits_host_list (const Budgets *b, int64_t now)
{
  return !coordinators_has_candidates (b->coordinators) && now - b->started_ms < HOST_LIST_WAIT_MS;
}

static void
send_requests (AccountEntry *a, int64_t now)
{
  Budgets *b = a->budgets;
  Reservation *r;

  if (awaits_host_list (b, now))
    return;
  while ((r = next_unsent (a)))
    {
      TransferRequest request
          = { .account = a->name,
              .tokens = r->tokens,
              .extra = budget_account_extra_tokens (&a->state, &b->options.policy, now),
              .spent = budget_account_report_spent (&a->state),
              .held = held_tokens (a) };

      a->reported_held = request.held;
      r->request_id = transfers_request (b->transfers, &request);
      r->state = r->request_id ? WAIT_REQUEST_SENT : WAIT_STORE;
      if (r->state == WAIT_STORE)
        a->state.waiting_tokens += r->tokens;
    }
}

static uint64_t
name_hash (const char *host)
{
  return XXH64 (host, strlen (host), 0);
}

static void
report_to_coordinator (AccountEntry *a, const char *coordinator, Tokens tokens)
{
  Transfer transfer = { .account = a->name,
                        .tokens = tokens,
                        .spent = budget_account_report_spent (&a->state),
                        .held = held_tokens (a) };

  a->reported_held = transfer.held;
  a->reported_to = name_hash (coordinator);
  a->reported_ms = timers_now_ms (a->budgets->options.timers);
  transfers_send (a->budgets->transfers, coordinator, &transfer);
}

/* Takes the surplus out of the balance; small amounts only if @p all is set. @return the amount. */
static Tokens
take_surplus (AccountEntry *a, bool all, int64_t now)
{
  Tokens surplus = budget_account_surplus (&a->state, &a->budgets->options.policy, all, now);

  if (surplus <= 0 || !list_is_empty (&a->waiters)
      || !budget_account_return_to_coordinator (&a->state, surplus,
                                                budgets_effective_ceiling (a, now)))
    return 0;
  return surplus;
}

/* While the budget is not ample, the holdings of this host decide whether other hosts refuse requests as exhausted. */
static bool
is_report_due (const AccountEntry *a, const char *coordinator, int64_t now)
{
  bool changed = held_tokens (a) != a->reported_held || name_hash (coordinator) != a->reported_to;
  int64_t interval_ms = changed ? REPORT_INTERVAL_MS : REPEAT_INTERVAL_MS;

  return !a->state.is_ample && (changed || a->reported_held > 0)
         && now - a->reported_ms >= interval_ms;
}

/* A report that is due anyway also returns small surpluses. */
static void
return_surplus_and_report (AccountEntry *a, const char *coordinator, int64_t now)
{
  bool report_due = is_report_due (a, coordinator, now);
  Tokens surplus = take_surplus (a, report_due, now);

  if (surplus > 0 || report_due)
    report_to_coordinator (a, coordinator, surplus);
}

static void
step_as_coordinator (AccountEntry *a, int64_t now)
{
  if (!a->budgets->options.peers || coordinators_is_preferred (a->budgets->coordinators, a->name))
    a->coordinator_since_ms = a->coordinator_since_ms ? a->coordinator_since_ms : now;
  else
    a->coordinator_since_ms = 0;
}

static void
step_as_non_coordinator (AccountEntry *a, int64_t now)
{
  const char *coordinator;

  a->coordinator_since_ms = 0;
  send_requests (a, now);
  coordinator = coordinators_find (a->budgets->coordinators, a->name, 0, now);
  if (coordinator)
    return_surplus_and_report (a, coordinator, now);
}

void
budgets_transfer_step (AccountEntry *a)
{
  Budgets *b = a->budgets;
  int64_t now = timers_now_ms (b->options.timers);

  pthread_mutex_lock (&b->lock);
  a->state.is_coordinator
      = !b->options.peers || coordinators_is_acting (b->coordinators, a->name, now);
  if (a->state.is_coordinator)
    step_as_coordinator (a, now);
  else
    step_as_non_coordinator (a, now);
  pthread_mutex_unlock (&b->lock);
}

#include <inttypes.h>
#include <stdlib.h>

#include <talloc.h>

#include "budget/budgets_impl.h"
#include "budget/shortage.h"
#include "core/log.h"

/* A reservation that has waited this long for tokens is refused. */
#define MAX_WAIT_MS 700

/* Maximum age of the account row, of the spent total and of the coordinator's figure of outstanding tokens for a
 * refusal that relies on them. An older spent total can still prove that the limit is exhausted, because it only
 * grows. */
#define REFUSAL_DATA_MAX_AGE_MS 1000

/* A host that has been the preferred coordinator for this long is assumed to have received a report or a transfer
 * request from every host with requests for the account. */
#define OUTSTANDING_KNOWN_AFTER_MS 2000

#define UNREACHABLE_RETRY_AFTER_MS 700
#define HELD_RETRY_AFTER_MS        400

/* Result of a reservation that waited, while it is posted to the executor of the reservation's callback. */
struct ReserveResult
{
  Reservation *reservation; /* NULL once the reservation has been freed */
  Err err;
};

static void
deliver_result (void *data)
{
  ReserveResult *result = data;
  Reservation *r = result->reservation;

  if (r)
    {
      r->result = NULL;
      r->fn (r->data, result->err.kind == ERR_NONE ? NULL : &result->err);
    }
  free (result);
}

void
wait_begin (Reservation *r, int64_t now_ms)
{
  AccountEntry *a = r->account;
  bool covered = a->state.balance >= r->tokens;

  r->waiting = true;
  r->since_ms = now_ms;
  r->state = a->state.is_coordinator || covered ? WAIT_STORE : WAIT_REQUEST_UNSENT;
  if (r->state == WAIT_STORE)
    a->state.waiting_tokens += r->tokens;
  list_append (&a->waiters, &r->node);
}

void
wait_end (Reservation *r)
{
  list_remove (&r->node);
  r->waiting = false;
  if (r->state == WAIT_STORE)
    r->account->state.waiting_tokens -= r->tokens;
}

void
wait_cancel_result (Reservation *r)
{
  if (r->result)
    r->result->reservation = NULL;
}

static void
send_result (Reservation *r, const Err *err)
{
  ReserveResult *result = calloc (1, sizeof *result);

  if (!result)
    abort ();
  result->reservation = r;
  if (err)
    {
      result->err = *err;
      r->tokens = 0;
      r->cover.uncovered = 0;
    }
  r->result = result;
  executor_post (r->callback_executor, deliver_result, result);
}

static void
respond_to_peer (Reservation *r, ErrKind reason, int64_t now_ms)
{
  AccountEntry *a = r->account;
  Tokens outstanding = wait_outstanding (a, r->peer, now_ms);
  Transfer transfer = { .id = r->peer_request_id,
                        .account = a->name,
                        .tokens = reason == ERR_NONE ? r->tokens : 0,
                        .exhausted = reason == ERR_BUDGET_EXHAUSTED,
                        .store_unreachable = reason == ERR_BUDGET_UNREACHABLE,
                        .outstanding_known = wait_outstanding_known (a, now_ms),
                        .outstanding = tokens_add_saturated (a->state.balance, outstanding) };

  peer_holdings_add (a->peer_holdings, r->peer, transfer.tokens, now_ms);
  transfers_send (a->budgets->transfers, r->peer, &transfer);
  log_event (LOG_LEVEL_DEBUG, "budget", "passed_on",
             "account=%s host=%s tokens=%" PRId64 " refused=%s left=%" PRId64, a->name, r->peer,
             transfer.tokens, err_info (reason)->name, transfer.outstanding);
  talloc_free (r);
}

static bool
try_serve (Reservation *r, Tokens ceiling, int64_t now_ms)
{
  BudgetAccount *s = &r->account->state;

  return r->peer ? budget_account_transfer_out (s, r->tokens, ceiling, now_ms)
                 : budget_account_reserve (s, r->tokens, r->cover.uncovered, ceiling);
}

/* --- Refusals ---------------------------------------------------------------------------- */

bool
wait_set_refusal (const AccountEntry *a, ErrKind kind, Tokens tokens, int64_t now_ms, Err *err)
{
  int64_t until_growth_ms = ceiling_publisher_growth_start_ms (a->budgets->publisher) - now_ms;

  err_set (err, kind,
           "account %s: wants %" PRId64 ", holds %" PRId64 ", uses %" PRId64 " of %" PRId64
           ", free %" PRId64 " of %" PRId64 ", elsewhere %" PRId64 " counted %d",
           a->name, tokens, a->state.balance, budget_account_used (&a->state),
           budgets_effective_ceiling (a, now_ms), budget_account_unallocated (&a->state),
           budget_account_limit (&a->state), wait_outstanding (a, NULL, now_ms),
           wait_outstanding_known (a, now_ms));
  if (kind == ERR_BUDGET_UNREACHABLE)
    err->retry_after_ms = until_growth_ms > UNREACHABLE_RETRY_AFTER_MS ? until_growth_ms
                                                                       : UNREACHABLE_RETRY_AFTER_MS;
  if (kind == ERR_BUDGET_HELD)
    err->retry_after_ms = HELD_RETRY_AFTER_MS;
  return false;
}

bool
wait_outstanding_known (const AccountEntry *a, int64_t now_ms)
{
  if (a->state.is_coordinator)
    return a->coordinator_since_ms > 0
           && now_ms - a->coordinator_since_ms >= OUTSTANDING_KNOWN_AFTER_MS;
  return a->outstanding_ms > 0 && now_ms - a->outstanding_ms < REFUSAL_DATA_MAX_AGE_MS;
}

Tokens
wait_outstanding (const AccountEntry *a, const char *except, int64_t now_ms)
{
  Tokens on_this_host
      = tokens_add_saturated (budget_account_uncommitted (&a->state), a->state.returning);
  Tokens held_by_peers = a->state.is_coordinator
                             ? peer_holdings_total (a->peer_holdings, except, now_ms)
                             : a->outstanding;

  return tokens_add_saturated (on_this_host, held_by_peers);
}

static ShortageInput
shortage_input (const AccountEntry *a, Tokens tokens, int64_t now_ms)
{
  const BudgetAccount *s = &a->state;
  int64_t since_ms = now_ms - REFUSAL_DATA_MAX_AGE_MS;

  return (ShortageInput){ .requested = tokens,
                          .balance = s->balance,
                          .unallocated = budget_account_unallocated (s),
                          .limit = budget_account_limit (s),
                          .spent = grant_client_total_spent (a->grant_client),
                          .outstanding = wait_outstanding (a, NULL, now_ms),
                          .outstanding_known = wait_outstanding_known (a, now_ms),
                          .publication_stalled
                          = ceiling_publisher_is_stalled (a->budgets->publisher, now_ms),
                          .store_connected = grant_client_is_connected (a->grant_client),
                          .row_known = s->row_known,
                          .row_fresh = grant_client_row_is_fresh (a->grant_client, since_ms),
                          .spent_fresh = grant_client_total_is_fresh (a->grant_client, since_ms) };
}

/* @return why the store cannot provide the tokens, according to the rows last read; ERR_NONE if it can or if the reason
 * is not known yet. Requests a new read of the rows if the unallocated tokens are too few. */
static ErrKind
check_shortage (AccountEntry *a, Tokens tokens, int64_t now_ms)
{
  ShortageInput input = shortage_input (a, tokens, now_ms);
  ErrKind kind = shortage_classify (&input);

  if (kind == ERR_NONE && input.row_known && input.unallocated + input.balance < tokens)
    grant_client_request_totals (a->grant_client);
  return kind;
}

static ErrKind
refusal_reason (Reservation *r, int64_t now_ms)
{
  ErrKind kind = ERR_NONE;

  if (r->state == WAIT_STORE)
    kind = check_shortage (r->account, r->tokens, now_ms);
  if (kind == ERR_NONE && now_ms - r->since_ms >= MAX_WAIT_MS)
    kind = ERR_BUDGET_UNREACHABLE;
  return kind;
}

void
wait_refuse (Reservation *r, ErrKind kind, int64_t now_ms)
{
  Err err = ERR_INIT;

  wait_set_refusal (r->account, kind, r->tokens, now_ms, &err);
  wait_end (r);
  if (r->peer)
    respond_to_peer (r, kind, now_ms);
  else
    send_result (r, &err);
}

/* A reservation that waits for the store blocks those behind it. One that waits for a coordinator does not, because
 * its tokens arrive in a transfer. */
void
wait_serve (AccountEntry *a, int64_t now_ms)
{
  Tokens ceiling = budgets_effective_ceiling (a, now_ms);
  bool blocked = false;
  ListNode *n = list_first (&a->waiters);

  while (n)
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);
      ErrKind kind = ERR_NONE;

      n = list_next (&a->waiters, n);
      if (!blocked && try_serve (r, ceiling, now_ms))
        {
          wait_end (r);
          if (r->peer)
            respond_to_peer (r, ERR_NONE, now_ms);
          else
            send_result (r, NULL);
          continue;
        }
      blocked |= r->state == WAIT_STORE;
      kind = refusal_reason (r, now_ms);
      if (kind != ERR_NONE)
        wait_refuse (r, kind, now_ms);
    }
}

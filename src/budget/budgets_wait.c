#include <inttypes.h>
#include <stdlib.h>

#include <talloc.h>

#include "budget/budgets_impl.h"
#include "budget/shortage.h"
#include "core/log.h"

/* A request waits this long for tokens, then it is refused. */
#define LONGEST_WAIT_MS 700

/* What the store showed this recently still says that others hold what is left. That the rest is too small
 * needs no recent reading: what was spent only grows. */
#define TOTALS_LIFETIME_MS 1000

/* A keeper has heard by then from the hosts that have requests what they hold. */
#define COUNTED_AFTER_MS 2000

#define UNREACHABLE_RETRY_MS 700
#define HELD_RETRY_MS        400

/* The answer for a reservation that waited, on its way to the loop of its owner. */
struct Answer
{
  Reservation *reservation; /* NULL once its owner has freed it */
  Err err;
};

static void
deliver (void *data)
{
  Answer *answer = data;
  Reservation *r = answer->reservation;

  if (r)
    {
      r->answer = NULL;
      r->fn (r->data, answer->err.kind == ERR_NONE ? NULL : &answer->err);
    }
  free (answer);
}

void
wait_begin (Reservation *r, int64_t now_ms)
{
  Account *a = r->account;
  bool covered = a->state.balance >= r->tokens;

  r->waiting = true;
  r->since_ms = now_ms;
  r->state = a->state.is_coordinator || covered ? WAIT_STORE : WAIT_REQUEST_UNSENT;
  if (r->state == WAIT_STORE)
    a->state.waiting += r->tokens;
  list_append (&a->waiters, &r->node);
}

void
wait_end (Reservation *r)
{
  list_remove (&r->node);
  r->waiting = false;
  if (r->state == WAIT_STORE)
    r->account->state.waiting -= r->tokens;
}

void
wait_cancel_reply (Reservation *r)
{
  if (r->answer)
    r->answer->reservation = NULL;
}

static void
answer_request (Reservation *r, const Err *err)
{
  Answer *answer = calloc (1, sizeof *answer);

  if (!answer)
    abort ();
  answer->reservation = r;
  if (err)
    {
      answer->err = *err;
      r->tokens = 0;
    }
  r->answer = answer;
  poster_post (r->caller, deliver, answer);
}

static void
answer_peer (Reservation *r, ErrKind refused, int64_t now_ms)
{
  Account *a = r->account;
  Tokens elsewhere = wait_outstanding (a, r->peer, now_ms);
  Transfer give = { .id = r->peer_ask,
                    .account = a->name,
                    .tokens = refused == ERR_NONE ? r->tokens : 0,
                    .exhausted = refused == ERR_BUDGET_EXHAUSTED,
                    .cut_off = refused == ERR_BUDGET_UNREACHABLE,
                    .counted = wait_outstanding_known (a, now_ms),
                    .left = tokens_add_saturated (a->state.balance, elsewhere) };

  peer_holdings_add (a->holdings, r->peer, give.tokens, now_ms);
  transfers_send (a->owner->lending, r->peer, &give);
  log_event (LOG_LEVEL_DEBUG, "budget", "passed_on",
             "account=%s host=%s tokens=%" PRId64 " refused=%s left=%" PRId64, a->name, r->peer,
             give.tokens, err_info (refused)->name, give.left);
  talloc_free (r);
}

static bool
take (Reservation *r, Tokens ceiling, int64_t now_ms)
{
  BudgetAccount *s = &r->account->state;

  return r->peer ? budget_account_transfer_out (s, r->tokens, ceiling, now_ms)
                 : budget_account_reserve (s, r->tokens, ceiling);
}

/* --- Refusals ---------------------------------------------------------------------------- */

bool
wait_set_refusal (const Account *a, ErrKind kind, Tokens tokens, int64_t now_ms, Err *err)
{
  int64_t bounded_ms = ceiling_publisher_growth_start_ms (a->owner->ceilings) - now_ms;

  err_set (err, kind,
           "account %s: wants %" PRId64 ", holds %" PRId64 ", uses %" PRId64 " of %" PRId64
           ", free %" PRId64 " of %" PRId64 ", elsewhere %" PRId64 " counted %d",
           a->name, tokens, a->state.balance, budget_account_used (&a->state),
           budgets_effective_ceiling (a, now_ms), budget_account_unallocated (&a->state),
           budget_account_limit (&a->state), wait_outstanding (a, NULL, now_ms),
           wait_outstanding_known (a, now_ms));
  if (kind == ERR_BUDGET_UNREACHABLE)
    err->retry_after_ms = bounded_ms > UNREACHABLE_RETRY_MS ? bounded_ms : UNREACHABLE_RETRY_MS;
  if (kind == ERR_BUDGET_HELD)
    err->retry_after_ms = HELD_RETRY_MS;
  return false;
}

bool
wait_outstanding_known (const Account *a, int64_t now_ms)
{
  if (a->state.is_coordinator)
    return a->kept_since_ms > 0 && now_ms - a->kept_since_ms >= COUNTED_AFTER_MS;
  return a->counted_ms > 0 && now_ms - a->counted_ms < TOTALS_LIFETIME_MS;
}

Tokens
wait_outstanding (const Account *a, const char *except, int64_t now_ms)
{
  Tokens open = tokens_add_saturated (budget_account_uncommitted (&a->state), a->state.returning);
  Tokens others
      = a->state.is_coordinator ? peer_holdings_total (a->holdings, except, now_ms) : a->left;

  return tokens_add_saturated (open, others);
}

static ShortageInput
shortage_input (const Account *a, Tokens tokens, int64_t now_ms)
{
  const BudgetAccount *s = &a->state;
  int64_t since_ms = now_ms - TOTALS_LIFETIME_MS;

  return (ShortageInput){ .requested = tokens,
                          .balance = s->balance,
                          .unallocated = budget_account_unallocated (s),
                          .limit = budget_account_limit (s),
                          .spent = grant_client_total_spent (a->supply),
                          .outstanding = wait_outstanding (a, NULL, now_ms),
                          .outstanding_known = wait_outstanding_known (a, now_ms),
                          .ceiling_stalled
                          = ceiling_publisher_is_stalled (a->owner->ceilings, now_ms),
                          .store_connected = grant_client_is_connected (a->supply),
                          .row_known = s->row_known,
                          .row_fresh = grant_client_row_is_fresh (a->supply, since_ms),
                          .spent_fresh = grant_client_total_is_fresh (a->supply, since_ms) };
}

/* Why tokens that only the store can give are not to be had, by what it has shown; ERR_NONE if that is
 * not known yet. */
static ErrKind
shortage_of (Account *a, Tokens tokens, int64_t now_ms)
{
  ShortageInput input = shortage_input (a, tokens, now_ms);
  ErrKind kind = shortage_classify (&input);

  if (kind == ERR_NONE && input.row_known && input.unallocated + input.balance < tokens)
    grant_client_request_totals (a->supply);
  return kind;
}

static ErrKind
reason_to_refuse (Reservation *r, int64_t now_ms)
{
  ErrKind kind = ERR_NONE;

  if (r->state == WAIT_STORE)
    kind = shortage_of (r->account, r->tokens, now_ms);
  if (kind == ERR_NONE && now_ms - r->since_ms >= LONGEST_WAIT_MS)
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
    answer_peer (r, kind, now_ms);
  else
    answer_request (r, &err);
}

/* A request that waits for tokens of its own (an ask on its way) does not hold up those behind it, which
 * wait for the store. */
void
wait_serve (Account *a, int64_t now_ms)
{
  Tokens ceiling = budgets_effective_ceiling (a, now_ms);
  bool blocked = false;
  ListNode *n = list_first (&a->waiters);

  while (n)
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);
      ErrKind kind = ERR_NONE;

      n = list_next (&a->waiters, n);
      if (!blocked && take (r, ceiling, now_ms))
        {
          wait_end (r);
          if (r->peer)
            answer_peer (r, ERR_NONE, now_ms);
          else
            answer_request (r, NULL);
          continue;
        }
      blocked |= r->state == WAIT_STORE;
      kind = reason_to_refuse (r, now_ms);
      if (kind != ERR_NONE)
        wait_refuse (r, kind, now_ms);
    }
}

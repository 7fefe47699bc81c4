#include <talloc.h>

#include "budget/budgets_impl.h"

static int
reservation_destroy (Reservation *r)
{
  AccountEntry *a = r->account;
  Budgets *b = a->budgets;

  pthread_mutex_lock (&b->lock);
  wait_cancel_result (r);
  if (r->waiting)
    wait_end (r);
  else
    {
      cover_end (r);
      a->state.reserved -= r->tokens;
      a->state.committed -= r->committed;
      a->state.balance += r->tokens;
    }
  pthread_mutex_unlock (&b->lock);
  return 0;
}

/* @return false if the request must be refused. */
static bool
reserve_or_wait (Reservation *r, const ReserveRequest *request, bool *waits, Err *err)
{
  AccountEntry *a = r->account;
  Tokens ceiling = budgets_effective_ceiling (a, request->now_ms);

  *waits = false;
  r->callback_executor = request->callback_executor;
  r->fn = request->fn;
  r->data = request->data;
  if (list_is_empty (&a->waiters)
      && budget_account_reserve (&a->state, r->tokens, r->cover.uncovered, ceiling))
    return true;
  if (a->state.is_coordinator && a->state.balance < r->tokens
      && !grant_client_is_connected (a->grant_client))
    return wait_set_refusal (a, ERR_BUDGET_UNREACHABLE, r->tokens, request->now_ms, err);
  *waits = true;
  wait_begin (r, request->now_ms);
  budgets_schedule_step (a->budgets);
  return true;
}

Reservation *
budgets_reserve (Budgets *b, const void *ctx, const ReserveRequest *request, bool *waits, Err *err)
{
  Reservation *r = NULL;
  AccountEntry *a;
  bool ok = false;

  pthread_mutex_lock (&b->lock);
  a = budgets_find_account (b, request->account);
  if (!a)
    err_set (err, ERR_NOT_READY, "account %s is not known yet", request->account);
  else
    {
      r = talloc_zero (ctx, Reservation);
      r->account = a;
      r->tokens = request->tokens;
      cover_init (&r->cover, request);
      ok = reserve_or_wait (r, request, waits, err);
    }
  pthread_mutex_unlock (&b->lock);
  if (ok)
    {
      talloc_set_destructor (r, reservation_destroy);
      return r;
    }
  talloc_free (r);
  return NULL;
}

void
reservation_commit (Reservation *r, Tokens tokens)
{
  AccountEntry *a = r->account;
  Tokens committed = tokens_min (tokens, r->tokens);

  pthread_mutex_lock (&a->budgets->lock);
  if (!r->waiting && committed > r->committed)
    {
      a->state.committed += committed - r->committed;
      r->committed = committed;
    }
  pthread_mutex_unlock (&a->budgets->lock);
}

void
reservation_settle (Reservation *r, Tokens spent, int64_t now_ms)
{
  Budgets *b = r->account->budgets;

  pthread_mutex_lock (&b->lock);
  /* A reservation that waits has reserved nothing yet. */
  if (!r->waiting)
    {
      cover_end (r);
      budget_account_settle (&r->account->state, r->tokens, spent, now_ms);
      r->tokens = 0;
    }
  pthread_mutex_unlock (&b->lock);
  talloc_free (r);
}

#include "budget/budgets_impl.h"

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
      AccountEntry *a = value;

      if (a->state.granted <= 0)
        {
          /* An account that is missing from the published row has used nothing before ceilings start to grow. */
          a->next_ceiling = CEILING_NONE;
          a->state.ceiling = ceiling_min (&a->state.ceiling, &a->next_ceiling);
          continue;
        }
      a->next_ceiling = budget_account_next_ceiling (&a->state, &b->options.policy, now);
      a->state.ceiling = ceiling_min (&a->state.ceiling, &a->next_ceiling);
      fn (fn_data, a->name, &a->next_ceiling);
    }
  pthread_mutex_unlock (&b->lock);
}

static void
on_published (void *data, bool committed)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  GHashTableIter iter;
  gpointer value;

  if (!committed)
    return;
  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      AccountEntry *a = value;

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

const CeilingPublisherEvents budgets_ceiling_events
    = { .collect = on_collect, .ready = on_ready, .published = on_published };

#include "budget/reconcile.h"

static void
begin_era (BudgetRow *row, int64_t era, int64_t store_ms)
{
  row->base_era = row->era;
  row->base_parent = row->parent;
  row->base_granted = row->granted;
  row->era = era;
  row->reconcile_start_ms = store_ms;
}

static bool
is_newer (const KnownRow *known, const BudgetRow *row)
{
  if (known->era != row->base_era)
    return known->era > row->base_era;
  return known->version > row->base_parent;
}

bool
reconcile_row (BudgetRow *row, int64_t era, const KnownRow *known, int64_t store_ms)
{
  bool is_new_era = era > 0 && row->era < era;

  if (is_new_era)
    begin_era (row, era, store_ms);
  if (!known || !is_newer (known, row) || known->granted <= row->base_granted)
    return is_new_era;
  row->granted += known->granted - row->base_granted;
  row->base_granted = known->granted;
  return true;
}

bool
reconcile_is_complete (const BudgetRow *row, int64_t era, int64_t store_ms, int64_t era_age_ms)
{
  if (era == 0 || era_age_ms >= RECONCILE_WINDOW_MS)
    return true;
  return row->era == era && store_ms - row->reconcile_start_ms >= RECONCILE_WINDOW_MS;
}

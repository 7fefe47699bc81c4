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
is_newer (const KnownRow *mine, const BudgetRow *row)
{
  if (mine->era != row->base_era)
    return mine->era > row->base_era;
  return mine->version > row->base_parent;
}

bool
reconcile_row (BudgetRow *row, int64_t era, const KnownRow *mine, int64_t store_ms)
{
  bool begun = era > 0 && row->era < era;

  if (begun)
    begin_era (row, era, store_ms);
  if (!mine || !is_newer (mine, row) || mine->granted <= row->base_granted)
    return begun;
  row->granted += mine->granted - row->base_granted;
  row->base_granted = mine->granted;
  return true;
}

bool
reconcile_is_complete (const BudgetRow *row, int64_t era, int64_t store_ms, int64_t heard_ms)
{
  if (era == 0 || heard_ms >= RECONCILE_WINDOW_MS)
    return true;
  return row->era == era && store_ms - row->reconcile_start_ms >= RECONCILE_WINDOW_MS;
}

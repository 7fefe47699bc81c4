#include "budget/shortage.h"

static bool
nothing_comes_back (const ShortageInput *f)
{
  Tokens left = tokens_add_saturated (f->unallocated + f->balance, f->outstanding);

  return f->row_fresh && f->outstanding_known && left < f->requested;
}

ErrKind
shortage_classify (const ShortageInput *f)
{
  if (f->balance >= f->requested)
    return f->ceiling_stalled ? ERR_BUDGET_UNREACHABLE : ERR_NONE;
  if (!f->store_connected)
    return ERR_BUDGET_UNREACHABLE;
  if (!f->row_known || f->unallocated + f->balance >= f->requested)
    return ERR_NONE;
  if (f->spent >= 0 && f->limit - f->spent < f->requested)
    return ERR_BUDGET_EXHAUSTED;
  if (nothing_comes_back (f))
    return ERR_BUDGET_EXHAUSTED;
  return f->spent_fresh ? ERR_BUDGET_HELD : ERR_NONE;
}

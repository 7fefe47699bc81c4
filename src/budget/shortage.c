#include "budget/shortage.h"

static bool
cannot_be_covered (const ShortageInput *in)
{
  Tokens available = tokens_add_saturated (in->unallocated + in->balance, in->outstanding);

  return in->row_fresh && in->outstanding_known && available < in->requested;
}

ErrKind
shortage_classify (const ShortageInput *in)
{
  if (in->balance >= in->requested)
    return in->publication_stalled ? ERR_BUDGET_UNREACHABLE : ERR_NONE;
  if (!in->store_connected)
    return ERR_BUDGET_UNREACHABLE;
  if (!in->row_known || in->unallocated + in->balance >= in->requested)
    return ERR_NONE;
  if (in->spent >= 0 && in->limit - in->spent < in->requested)
    return ERR_BUDGET_EXHAUSTED;
  if (cannot_be_covered (in))
    return ERR_BUDGET_EXHAUSTED;
  return in->spent_fresh ? ERR_BUDGET_HELD : ERR_NONE;
}

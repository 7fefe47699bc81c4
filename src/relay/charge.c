#include "relay/charge.h"

#define FIRST_ERROR_STATUS 400

static ChargeEnd
end_of (const ChargeFacts *f)
{
  if (f->runs == 0)
    return CHARGE_NOT_RUN;
  if (f->complete)
    return f->status < FIRST_ERROR_STATUS ? CHARGE_WHOLE : CHARGE_SERVER_ERROR;
  if (f->events > 0)
    return CHARGE_PART;
  return f->caller_left ? CHARGE_CALLER_LEFT : CHARGE_FAILED;
}

static bool
is_charged (const ChargeFacts *f, ChargeEnd end)
{
  switch (end)
    {
    case CHARGE_NOT_RUN:
      return false;
    case CHARGE_WHOLE:
    case CHARGE_PART:
      return true;
    case CHARGE_SERVER_ERROR:
    case CHARGE_CALLER_LEFT:
    case CHARGE_FAILED:
      break;
    }
  return f->charges_failed;
}

Charge
charge_of (const ChargeFacts *f)
{
  Charge charge = { .end = end_of (f) };

  if (!is_charged (f, charge.end))
    return charge;
  charge.tokens = tokens_add_saturated (f->prompt, f->delivered);
  charge.usage_rejected = f->used > f->reserved;
  if (f->used >= 0 && !charge.usage_rejected)
    charge.tokens = f->used;
  charge.tokens = tokens_min (charge.tokens, f->reserved);
  return charge;
}

const char *
charge_end_name (ChargeEnd end)
{
  static const char *const NAMES[] = {
    [CHARGE_NOT_RUN] = "not_run",
    [CHARGE_WHOLE] = "whole",
    [CHARGE_PART] = "part",
    [CHARGE_SERVER_ERROR] = "server_error",
    [CHARGE_CALLER_LEFT] = "caller_left",
    [CHARGE_FAILED] = "failed",
  };

  return NAMES[end];
}

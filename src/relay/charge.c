#include "relay/charge.h"

#define MIN_ERROR_STATUS 400

static ChargeOutcome
outcome_of (const ChargeInput *f)
{
  if (f->runs == 0)
    return CHARGE_NOT_RUN;
  if (f->complete)
    return f->status < MIN_ERROR_STATUS ? CHARGE_COMPLETE : CHARGE_SERVER_ERROR;
  if (f->events > 0)
    return CHARGE_PARTIAL;
  return f->client_gone ? CHARGE_CLIENT_GONE : CHARGE_FAILED;
}

static bool
is_charged (const ChargeInput *f, ChargeOutcome outcome)
{
  switch (outcome)
    {
    case CHARGE_NOT_RUN:
      return false;
    case CHARGE_COMPLETE:
    case CHARGE_PARTIAL:
      return true;
    case CHARGE_SERVER_ERROR:
    case CHARGE_CLIENT_GONE:
    case CHARGE_FAILED:
      break;
    }
  return f->charge_failed;
}

Charge
charge_compute (const ChargeInput *f)
{
  Charge charge = { .outcome = outcome_of (f) };

  if (!is_charged (f, charge.outcome))
    return charge;
  charge.tokens = tokens_add_saturated (f->prompt, f->delivered);
  charge.usage_rejected = f->usage > f->reserved;
  if (f->usage >= 0 && !charge.usage_rejected)
    charge.tokens = f->usage;
  charge.tokens = tokens_min (charge.tokens, f->reserved);
  return charge;
}

const char *
charge_outcome_name (ChargeOutcome outcome)
{
  static const char *const NAMES[] = {
    [CHARGE_NOT_RUN] = "not_run",
    [CHARGE_COMPLETE] = "whole",
    [CHARGE_PARTIAL] = "part",
    [CHARGE_SERVER_ERROR] = "server_error",
    [CHARGE_CLIENT_GONE] = "caller_left",
    [CHARGE_FAILED] = "failed",
  };

  return NAMES[outcome];
}

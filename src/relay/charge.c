#include "relay/charge.h"

#define MIN_ERROR_STATUS 400

static ChargeOutcome
outcome_of (const ChargeInput *in)
{
  if (in->runs == 0)
    return CHARGE_NOT_RUN;
  if (in->complete)
    return in->status < MIN_ERROR_STATUS ? CHARGE_COMPLETE_RESPONSE : CHARGE_SERVER_ERROR;
  if (in->events > 0)
    return CHARGE_PARTIAL_RESPONSE;
  return in->client_gone ? CHARGE_CLIENT_GONE : CHARGE_REQUEST_FAILED;
}

static bool
is_charged (const ChargeInput *in, ChargeOutcome outcome)
{
  switch (outcome)
    {
    case CHARGE_NOT_RUN:
      return false;
    case CHARGE_COMPLETE_RESPONSE:
    case CHARGE_PARTIAL_RESPONSE:
      return true;
    case CHARGE_SERVER_ERROR:
    case CHARGE_CLIENT_GONE:
    case CHARGE_REQUEST_FAILED:
      break;
    }
  return in->charge_failed;
}

Charge
charge_compute (const ChargeInput *in)
{
  Charge charge = { .outcome = outcome_of (in) };

  if (!is_charged (in, charge.outcome))
    return charge;
  charge.tokens = tokens_add_saturated (in->prompt, in->delivered);
  charge.usage_rejected = in->usage > in->reserved;
  if (in->usage >= 0 && !charge.usage_rejected)
    charge.tokens = in->usage;
  charge.tokens = tokens_min (charge.tokens, in->reserved);
  return charge;
}

const char *
charge_outcome_name (ChargeOutcome outcome)
{
  static const char *const NAMES[] = {
    [CHARGE_NOT_RUN] = "not_run",         [CHARGE_COMPLETE_RESPONSE] = "whole",
    [CHARGE_PARTIAL_RESPONSE] = "part",   [CHARGE_SERVER_ERROR] = "server_error",
    [CHARGE_CLIENT_GONE] = "caller_left", [CHARGE_REQUEST_FAILED] = "failed",
  };

  return NAMES[outcome];
}

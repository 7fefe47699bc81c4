#include "relay/status_promise.h"

#define STATUS_REQUEST_TIMEOUT     408
#define STATUS_MISDIRECTED_REQUEST 421
#define STATUS_TOO_MANY_REQUESTS   429
#define STATUS_BAD_GATEWAY         502
#define STATUS_SERVICE_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT     504

bool
status_promises_not_run (int status)
{
  switch (status)
    {
    case STATUS_REQUEST_TIMEOUT:
    case STATUS_MISDIRECTED_REQUEST:
    case STATUS_TOO_MANY_REQUESTS:
    case STATUS_SERVICE_UNAVAILABLE:
      return true;
    default:
      return false;
    }
}

/* Whether clients take the status for a failure after which the request may have run. */
static bool
leaves_outcome_open (int status)
{
  return status == STATUS_BAD_GATEWAY || status == STATUS_GATEWAY_TIMEOUT;
}

int
status_for_error (int status, Outcome outcome)
{
  if (outcome != OUTCOME_NOT_RUN && status_promises_not_run (status))
    return STATUS_BAD_GATEWAY;
  if (outcome == OUTCOME_NOT_RUN && leaves_outcome_open (status))
    return STATUS_SERVICE_UNAVAILABLE;
  return status;
}

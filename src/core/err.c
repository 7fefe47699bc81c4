#include "core/err.h"

#include <stdarg.h>
#include <stdio.h>

/* The outcome must hold for every error of the kind, so it is OUTCOME_UNKNOWN if a request may have run. The
 * request state machine reports a more definite outcome only where that is proven. */
static const ErrInfo ERR_INFOS[ERR_N_KINDS] = {
  [ERR_NONE] = { "none", 200, OUTCOME_DONE, false },
  [ERR_BAD_REQUEST] = { "bad_request", 400, OUTCOME_NOT_RUN, false },
  [ERR_BODY_TOO_LARGE] = { "body_too_large", 413, OUTCOME_NOT_RUN, false },
  [ERR_HEADERS_TOO_LARGE] = { "headers_too_large", 431, OUTCOME_NOT_RUN, false },
  [ERR_BAD_DEADLINE] = { "bad_deadline", 400, OUTCOME_NOT_RUN, false },
  [ERR_UNAUTHORIZED] = { "unauthorized", 401, OUTCOME_NOT_RUN, false },
  [ERR_FORBIDDEN] = { "forbidden", 403, OUTCOME_NOT_RUN, false },
  [ERR_UNKNOWN_PATH] = { "unknown_path", 404, OUTCOME_NOT_RUN, false },
  [ERR_UNKNOWN_POOL] = { "unknown_pool", 404, OUTCOME_NOT_RUN, false },
  [ERR_UNKNOWN_BUDGET] = { "unknown_budget", 404, OUTCOME_NOT_RUN, false },
  [ERR_KEY_REQUIRED] = { "key_required", 400, OUTCOME_NOT_RUN, false },
  [ERR_KEY_REUSED] = { "key_reused", 422, OUTCOME_NOT_RUN, false },
  [ERR_REQUEST_TIMEOUT] = { "request_timeout", 408, OUTCOME_NOT_RUN, true },
  [ERR_CLIENT_GONE] = { "client_gone", 499, OUTCOME_UNKNOWN, true },
  [ERR_BUDGET_EXHAUSTED] = { "budget_exhausted", 402, OUTCOME_NOT_RUN, false },
  [ERR_BUDGET_UNREACHABLE] = { "budget_unreachable", 503, OUTCOME_NOT_RUN, true },
  [ERR_BUDGET_HELD] = { "budget_held", 503, OUTCOME_NOT_RUN, true },
  [ERR_OVERLOADED] = { "overloaded", 503, OUTCOME_NOT_RUN, true },
  [ERR_SERVER_LIMITS] = { "server_limits", 503, OUTCOME_NOT_RUN, true },
  [ERR_SERVERS_COLD] = { "servers_cold", 503, OUTCOME_NOT_RUN, true },
  [ERR_NO_SERVER] = { "no_server", 503, OUTCOME_NOT_RUN, true },
  [ERR_NO_REGION] = { "no_region", 503, OUTCOME_NOT_RUN, true },
  [ERR_REGION_UNSERVED] = { "region_unserved", 503, OUTCOME_NOT_RUN, true },
  [ERR_EVACUATED] = { "evacuated", 503, OUTCOME_NOT_RUN, true },
  [ERR_VERSION_GONE] = { "version_gone", 503, OUTCOME_NOT_RUN, true },
  [ERR_VERSION_UNKNOWN] = { "version_unknown", 503, OUTCOME_NOT_RUN, true },
  [ERR_QUARANTINED] = { "quarantined", 503, OUTCOME_NOT_RUN, true },
  [ERR_SERVER_DRAINING] = { "server_leaving", 503, OUTCOME_NOT_RUN, true },
  [ERR_STOP_PLANNED] = { "stop_planned", 503, OUTCOME_NOT_RUN, true },
  [ERR_DEADLINE_EXCEEDED] = { "deadline_exceeded", 504, OUTCOME_UNKNOWN, true },
  [ERR_RETRIES_EXHAUSTED] = { "retries_exhausted", 503, OUTCOME_UNKNOWN, true },
  [ERR_CONNECT_FAILED] = { "connect_failed", 502, OUTCOME_NOT_RUN, true },
  [ERR_SERVER_REFUSED] = { "server_refused", 503, OUTCOME_NOT_RUN, true },
  [ERR_REFUSAL_UNPROVED] = { "refusal_unproved", 502, OUTCOME_UNKNOWN, true },
  [ERR_SERVER_FAILED] = { "server_failed", 502, OUTCOME_UNKNOWN, true },
  [ERR_RESPONSE_TRUNCATED] = { "answer_truncated", 502, OUTCOME_UNKNOWN, true },
  [ERR_RESPONSE_MISMATCH] = { "answer_mismatch", 502, OUTCOME_UNKNOWN, true },
  [ERR_IN_PROGRESS] = { "in_progress", 409, OUTCOME_UNKNOWN, true },
  [ERR_OUTCOME_UNKNOWN] = { "outcome_unknown", 409, OUTCOME_UNKNOWN, true },
  [ERR_PLATFORM_UNAVAILABLE] = { "platform_unavailable", 503, OUTCOME_NOT_RUN, true },
  [ERR_RESPONSE_LOST] = { "reply_lost", 503, OUTCOME_UNKNOWN, true },
  [ERR_CONFLICT] = { "conflict", 409, OUTCOME_NOT_RUN, true },
  [ERR_NOT_READY] = { "not_ready", 503, OUTCOME_NOT_RUN, true },
  [ERR_DRAINING] = { "draining", 503, OUTCOME_NOT_RUN, true },
  [ERR_PENDING] = { "pending", 202, OUTCOME_UNKNOWN, true },
  [ERR_NOT_FOUND] = { "not_found", 404, OUTCOME_NOT_RUN, false },
  [ERR_BAD_SETTINGS] = { "bad_settings", 400, OUTCOME_NOT_RUN, false },
  [ERR_BAD_TICKET] = { "bad_ticket", 400, OUTCOME_NOT_RUN, false },
  [ERR_TICKET_CONFLICT] = { "ticket_conflict", 409, OUTCOME_NOT_RUN, false },
  [ERR_INTERNAL] = { "internal", 500, OUTCOME_UNKNOWN, false },
};

bool
err_set (Err *err, ErrKind kind, const char *fmt, ...)
{
  va_list ap;

  if (!err)
    return false;
  err->kind = kind;
  err->retry_after_ms = 0;
  va_start (ap, fmt);
  vsnprintf (err->detail, sizeof err->detail, fmt, ap);
  va_end (ap);
  return false;
}

const ErrInfo *
err_info (ErrKind kind)
{
  if (kind < 0 || kind >= ERR_N_KINDS)
    kind = ERR_INTERNAL;
  return &ERR_INFOS[kind];
}

const char *
outcome_name (Outcome outcome)
{
  switch (outcome)
    {
    case OUTCOME_DONE:
      return "done";
    case OUTCOME_NOT_RUN:
      return "not_run";
    case OUTCOME_UNKNOWN:
      break;
    }
  return "unknown";
}

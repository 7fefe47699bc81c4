/** @file
 * All error kinds, and the response to the client for each kind.
 *
 * Counters, log lines and responses give ErrInfo.name of the kind as the reason. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  ERR_NONE,
  /* Client requests. */
  ERR_BAD_REQUEST,
  ERR_BODY_TOO_LARGE,
  ERR_HEADERS_TOO_LARGE,
  ERR_BAD_DEADLINE,
  ERR_UNAUTHORIZED,
  ERR_FORBIDDEN,
  ERR_UNKNOWN_PATH,
  ERR_UNKNOWN_POOL,
  ERR_UNKNOWN_BUDGET,
  ERR_KEY_REQUIRED,
  ERR_KEY_REUSED,
  ERR_REQUEST_TIMEOUT,
  ERR_CLIENT_GONE,
  /* Budgets. */
  ERR_BUDGET_EXHAUSTED,
  ERR_BUDGET_UNREACHABLE,
  ERR_BUDGET_HELD, /* the remaining tokens are granted to other hosts or reserved by open requests */
  /* Admission and routing. */
  ERR_OVERLOADED,
  ERR_SERVER_LIMITS, /* the usable servers have stated limits, and this host has used its shares of them */
  ERR_SERVERS_COLD, /* the usable servers are cold, and this host has used its shares of what they bear */
  ERR_NO_SERVER,
  ERR_NO_REGION,       /* route and client account together allow no region */
  ERR_REGION_UNSERVED, /* servers are left, but none in a region in which the request may be served */
  ERR_EVACUATED,       /* the only servers left are in data centres that are evacuated */
  ERR_VERSION_GONE,    /* no server is left of the software version that began the stream */
  ERR_VERSION_UNKNOWN, /* which software version wrote the stream so far */
  ERR_QUARANTINED,     /* servers have ended under requests of its kind */
  ERR_SERVER_DRAINING,
  ERR_STOP_PLANNED,
  ERR_DEADLINE_EXCEEDED,
  ERR_RETRIES_EXHAUSTED,
  /* Exchange with a backend server. */
  ERR_CONNECT_FAILED,
  ERR_SERVER_REFUSED,
  ERR_REFUSAL_UNPROVED, /* the status of a refusal, from a server that does not say that it did not run the request */
  ERR_SERVER_FAILED,
  ERR_RESPONSE_TRUNCATED,
  ERR_RESPONSE_MISMATCH,
  /* The request may have run, or may still be running, and cannot be repeated or resumed. */
  ERR_IN_PROGRESS,
  ERR_OUTCOME_UNKNOWN,
  /* Platform and state of the host. */
  ERR_PLATFORM_UNAVAILABLE,
  ERR_RESPONSE_LOST,
  ERR_CONFLICT,
  ERR_NOT_READY,
  ERR_DRAINING,
  ERR_PENDING,
  ERR_NOT_FOUND,
  /* Operator input. */
  ERR_BAD_SETTINGS,
  ERR_BAD_TICKET,
  ERR_TICKET_CONFLICT,
  ERR_INTERNAL,
  ERR_N_KINDS
} ErrKind;

/** What is known about the execution of a request that failed. */
typedef enum
{
  OUTCOME_NOT_RUN,
  OUTCOME_DONE,
  OUTCOME_UNKNOWN
} Outcome;

typedef struct
{
  const char *name;
  int http_status;
  Outcome outcome;
  bool retryable;
} ErrInfo;

#define ERR_DETAIL_BYTES 192

typedef struct
{
  ErrKind kind;
  int64_t retry_after_ms; /* 0: unknown */
  char detail[ERR_DETAIL_BYTES];
} Err;

#define ERR_INIT                                                                                   \
  {                                                                                                \
    .kind = ERR_NONE, .retry_after_ms = 0, .detail = ""                                            \
  }

/** Sets @p err, which may be NULL. @return always false, so that a failing function can write
 * `return err_set (...)`. */
bool err_set (Err *err, ErrKind kind, const char *fmt, ...) __attribute__ ((format (printf, 3, 4)));

/** @return the table entry of @p kind. */
const ErrInfo *err_info (ErrKind kind);

/** @return "done", "not_run" or "unknown". */
const char *outcome_name (Outcome outcome);

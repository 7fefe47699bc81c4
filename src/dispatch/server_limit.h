/** @file
 * The request rate that a server accepts from all hosts together, and this host's share of it.
 *
 * Only the first few hosts in the server's order of hosts (host_list.h) use a server with a limit, each with an
 * equal share. The other hosts send it nothing, but for a request now and then if none of those has
 * reported the limit for long. No communication is needed before a request is sent. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dispatch/limit_statement.h"

/** What this host knows of one server's limit. All zero: the server has none. */
typedef struct
{
  double requests_per_s; /* accepted from all hosts together; 0: no limit */
  int64_t stated_ms;     /* when the server made the newest known statement, to any host */
  int64_t told_ms;       /* when the other hosts were last informed, by this host or by another */
  double told_requests_per_s; /* what they were told then; 0: no limit */
  int64_t asked_ms;           /* when this host last sent the server a request */
  int hosts;                  /* known hosts; 0: unknown */
  int rank;                   /* of this host in the server's order of hosts */
  uint32_t hosts_version;     /* the host list that hosts and rank are from */
  double tokens;              /* requests that this host may send now */
  int64_t refilled_ms;
} ServerLimit;

typedef enum
{
  LIMIT_FREE, /* there is no limit */
  LIMIT_DUE, /* there is room, and a request is due that shows whether the limit is still in force */
  LIMIT_ROOM, /* this host's share has room for a request */
  LIMIT_REACHED
} LimitState;

/** Applies a statement that the server made at @p stated_ms, unless a newer one is known.
 * @return whether the limit has changed. */
bool server_limit_apply (ServerLimit *limit, LimitStatement statement, int64_t stated_ms,
                         int64_t now_ms);

/** Sets the number of known hosts, and this host's rank among them (-1: not among them). */
void server_limit_set_rank (ServerLimit *limit, int hosts, int rank, uint32_t hosts_version,
                            int64_t now_ms);

/** @return whether this host may send the server a request. */
LimitState server_limit_check (ServerLimit *limit, int64_t now_ms);

/** Takes a request from this host's share. To be called before it is sent; server_limit_check() has allowed
 * it. */
void server_limit_take (ServerLimit *limit, int64_t now_ms);

/** @return whether the other hosts are to be informed: of a change, or again of an unchanged limit. */
bool server_limit_is_report_due (const ServerLimit *limit, int64_t now_ms);

/** The other hosts have been informed of a limit; 0: that there is none. */
void server_limit_told (ServerLimit *limit, double requests_per_s, int64_t now_ms);

/** @return the newest known statement. */
LimitStatement server_limit_statement (const ServerLimit *limit);

/** @file
 * Decides why a request cannot get the tokens that it requests. Stateless. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/err.h"
#include "core/tokens.h"

/** What a host knows about an account when a request needs more tokens than it may take. */
typedef struct
{
  Tokens requested;
  Tokens balance;     /* of this host */
  Tokens unallocated; /* granted to no host, according to the row as last read */
  Tokens limit;       /* of the account */
  Tokens spent;       /* lower bound for all hosts, as last read; -1: never read */
  Tokens outstanding; /* reserved on this host or held by other hosts, and may become available */
  bool outstanding_known;   /* the holdings of other hosts are known */
  bool publication_stalled; /* the publication of ceilings does not progress */
  bool store_connected;     /* the store responds */
  bool row_known;           /* the account's row has been read */
  bool row_fresh;           /* the account's row was read or written recently */
  bool spent_fresh;         /* spent was read recently */
} ShortageInput;

/** @return ERR_BUDGET_EXHAUSTED if the request cannot be covered even if all outstanding tokens become available;
 * ERR_BUDGET_HELD if other hosts or requests hold the tokens; ERR_BUDGET_UNREACHABLE if the store does not respond, so
 * that the tokens or a higher ceiling cannot be obtained; ERR_NONE if the reason is not known yet or the tokens can be
 * obtained. */
ErrKind shortage_classify (const ShortageInput *input);

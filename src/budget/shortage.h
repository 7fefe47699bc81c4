/** @file
 * Why tokens that a request wants are not to be had. A decision without state. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/err.h"
#include "core/tokens.h"

/** What a host knows of an account when a request wants more than it may take. */
typedef struct
{
  Tokens requested;
  Tokens balance;         /* of this host */
  Tokens unallocated;     /* held by no host, by the row as last read */
  Tokens limit;           /* of the account */
  Tokens spent;           /* by all hosts at least, as last read; -1: never read */
  Tokens outstanding;     /* reserved here, and held by others */
  bool outstanding_known; /* it is known what others hold */
  bool ceiling_stalled;   /* ceilings cannot be published */
  bool store_connected;   /* the store answers */
  bool row_known;         /* the row was read */
  bool row_fresh;         /* it was read or written just now */
  bool spent_fresh;       /* so was what all hosts have spent */
} ShortageInput;

/** @return ERR_BUDGET_EXHAUSTED: what is left cannot cover the request whatever comes back;
 * ERR_BUDGET_HELD: others hold it; ERR_BUDGET_UNREACHABLE: it cannot be found out or drawn;
 * ERR_NONE: not known yet, or it can be drawn. */
ErrKind shortage_classify (const ShortageInput *input);

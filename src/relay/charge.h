/** @file
 * What a request costs its account. The account pays for what its caller got: the prompt, once the caller
 * has something of the answer, and the output that was passed on. A decision without state. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/tokens.h"

/** How a request ended, as far as its account is concerned. */
typedef enum
{
  CHARGE_NOT_RUN,
  CHARGE_WHOLE,        /* the caller has the whole answer */
  CHARGE_PART,         /* the caller has the beginning of the answer */
  CHARGE_SERVER_ERROR, /* the caller has the failure that the server reported */
  CHARGE_CALLER_LEFT,  /* it may have run; the caller left before anything was passed on */
  CHARGE_FAILED        /* it may have run; the caller has nothing of an answer */
} ChargeEnd;

typedef struct
{
  int runs;         /* attempts that may have run */
  int status;       /* of the answer that was passed on; 0: none */
  bool complete;    /* the answer was passed on whole */
  bool caller_left; /* before that */
  int64_t events;   /* of a stream, passed on */
  Tokens prompt;
  Tokens delivered;    /* of output, at most */
  Tokens used;         /* by the engine's count; -1 if it is not stated */
  Tokens reserved;     /* the most that may be charged */
  bool charges_failed; /* the operator charges whatever may have run */
} ChargeFacts;

typedef struct
{
  ChargeEnd end;
  Tokens tokens;
  bool usage_rejected; /* the engine's count is more than was reserved */
} Charge;

Charge charge_of (const ChargeFacts *facts);

/** @return the end's name in logs. */
const char *charge_end_name (ChargeEnd end);

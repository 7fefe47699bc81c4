/** @file
 * What a request costs its account. The account pays for what its client got: the prompt, once the client
 * has something of the answer, and the output that was passed on. A decision without state. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/tokens.h"

/** How a request ended, as far as its account is concerned. */
typedef enum
{
  CHARGE_NOT_RUN,
  CHARGE_COMPLETE,     /* the client has the whole answer */
  CHARGE_PARTIAL,      /* the client has the beginning of the answer */
  CHARGE_SERVER_ERROR, /* the client has the failure that the server reported */
  CHARGE_CLIENT_GONE,  /* it may have run; the client left before anything was passed on */
  CHARGE_FAILED        /* it may have run; the client has nothing of an answer */
} ChargeOutcome;

typedef struct
{
  int runs;         /* attempts that may have run */
  int status;       /* of the answer that was passed on; 0: none */
  bool complete;    /* the answer was passed on whole */
  bool client_gone; /* before that */
  int64_t events;   /* of a stream, passed on */
  Tokens prompt;
  Tokens delivered;   /* of output, at most */
  Tokens usage;       /* by the engine's count; -1 if it is not stated */
  Tokens reserved;    /* the most that may be charged */
  bool charge_failed; /* the operator charges whatever may have run */
} ChargeInput;

typedef struct
{
  ChargeOutcome outcome;
  Tokens tokens;
  bool usage_rejected; /* the engine's count is more than was reserved */
} Charge;

Charge charge_compute (const ChargeInput *facts);

/** @return the end's name in logs. */
const char *charge_outcome_name (ChargeOutcome outcome);

/** @file
 * Computes how many tokens a request costs its client account. The account pays for what was delivered:
 * the prompt, once any part of the response has reached the client, and the output that was forwarded.
 * Stateless. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/tokens.h"

/** How a request ended, as far as the charge depends on it. */
typedef enum
{
  CHARGE_NOT_RUN,
  CHARGE_COMPLETE,     /* the client received the complete response */
  CHARGE_PARTIAL,      /* the client received the beginning of a streamed response */
  CHARGE_SERVER_ERROR, /* the client received an error response of the server */
  CHARGE_CLIENT_GONE,  /* may have run; the client disconnected before any data was forwarded */
  CHARGE_FAILED        /* may have run; the client received no data from the server */
} ChargeOutcome;

typedef struct
{
  int runs;         /* attempts that may have run */
  int status;       /* of the response to the client; 0: none */
  bool complete;    /* the server's response was forwarded completely */
  bool client_gone; /* the client disconnected before the response was complete */
  int64_t events;   /* stream events forwarded */
  Tokens prompt;
  Tokens delivered;   /* upper bound of the output tokens forwarded */
  Tokens usage;       /* reported by the inference engine; -1 if it reported none */
  Tokens reserved;    /* upper limit of the charge */
  bool charge_failed; /* configured by the operator: charge every request that may have run */
} ChargeInput;

typedef struct
{
  ChargeOutcome outcome;
  Tokens tokens;
  bool usage_rejected; /* the reported usage exceeds the reservation */
} Charge;

Charge charge_compute (const ChargeInput *input);

/** @return the name of the outcome in log lines. */
const char *charge_outcome_name (ChargeOutcome outcome);

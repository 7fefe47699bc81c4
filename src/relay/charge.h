/** @file
 * Computes how many tokens a request costs its client account. If a successful response was forwarded, at
 * least in part, this is the usage that the inference engine reported, else the prompt and the output that
 * was forwarded; at most the reservation. With charge_failed, other requests that may have run cost the
 * same; without it, they are free. Stateless. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/tokens.h"

/** How a request ended, as far as the charge depends on it. */
typedef enum
{
  CHARGE_NOT_RUN,           /* no server can have run the request */
  CHARGE_COMPLETE_RESPONSE, /* the client received the complete response */
  CHARGE_PARTIAL_RESPONSE,  /* the client received the beginning of a streamed response */
  CHARGE_SERVER_ERROR, /* the client received a response of the server with a status from 400 on */
  CHARGE_CLIENT_GONE, /* may have run; the client disconnected before it received any stream event */
  CHARGE_REQUEST_FAILED /* may have run; no response of the server was forwarded */
} ChargeOutcome;

typedef struct
{
  int runs;         /* attempts in which the server may have run the request */
  int status;       /* of the response to the client; 0: none; used only if complete is set */
  bool complete;    /* the server's response was forwarded completely */
  bool client_gone; /* the client disconnected before the response was complete */
  int64_t events;   /* stream events forwarded */
  Tokens prompt;
  Tokens delivered;   /* output tokens that the forwarded events count as */
  Tokens usage;       /* reported by the inference engine; -1 if it reported none */
  Tokens reserved;    /* upper limit of the charge */
  bool charge_failed; /* set by the operator: charge failed requests too, if they may have run */
} ChargeInput;

typedef struct
{
  ChargeOutcome outcome;
  Tokens tokens;
  bool usage_rejected; /* the reported usage exceeds the reservation and was ignored */
} Charge;

Charge charge_compute (const ChargeInput *input);

/** @return the name of the outcome in log lines. */
const char *charge_outcome_name (ChargeOutcome outcome);

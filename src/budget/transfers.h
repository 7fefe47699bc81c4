/** @file
 * Transfers of tokens between hosts. A transfer is sent once and never repeated: if the message is lost, its tokens
 * count as used. Control loop. */
#pragma once

#include "budget/coordinators.h"
#include "core/timers.h"
#include "core/tokens.h"
#include "peer/peer_transport.h"

typedef struct Transfers Transfers;

typedef struct
{
  uint64_t id; /* unique on the sender */
  const char *account;
  Tokens tokens;
  Tokens extra; /* requested in addition while the budget is ample */
  Tokens spent; /* by the sender, not reported before */
  Tokens held;  /* by the sender at present */
} TransferRequest;

typedef struct
{
  uint64_t id; /* of the request that this responds to, or 0 */
  const char *account;
  Tokens tokens;
  Tokens spent;           /* by the sender, not reported before */
  Tokens held;            /* by the sender after this transfer; only if id is 0 */
  bool exhausted;         /* not covered even if all outstanding tokens become available */
  bool outstanding_known; /* the sender knows what other hosts hold */
  Tokens outstanding;     /* held by the sender and by other hosts except the receiver */
  bool pending;           /* not the final response: that follows once the store has responded */
  bool store_unreachable; /* too few tokens, and the store does not respond to the sender */
} Transfer;

typedef enum
{
  TRANSFER_INSUFFICIENT, /* too few tokens, or no response */
  TRANSFER_SUFFICIENT,
  TRANSFER_WITH_EXTRA,       /* more than requested, because the budget is ample */
  TRANSFER_EXHAUSTED,        /* no tokens, and too few can become available */
  TRANSFER_PENDING_TIMED_OUT /* the coordinator waited for the store and did not respond in time */
} TransferOutcome;

typedef struct
{
  /** Another host requests tokens; respond with transfers_send(). */
  void (*requested) (void *data, const char *host, const TransferRequest *request);
  /** Another host has transferred tokens, or reports what it has spent and holds. */
  void (*received) (void *data, const char *host, const Transfer *transfer);
  /** A request of this host has ended. The tokens that it obtained were passed to received before. */
  void (*ended) (void *data, uint64_t id, const char *account, TransferOutcome outcome);
} TransferEvents;

typedef struct
{
  PeerTransport *peers; /* NULL: this host is the only one */
  Timers *timers;
  Coordinators *coordinators;
  const TransferEvents *events;
  void *data;
} TransfersOptions;

/** @return a talloc object under @p ctx. */
Transfers *transfers_new (const void *ctx, const TransfersOptions *options);

/** Sends the request to the account's coordinator, and to the next one if that does not respond or cannot reach the
 * store. request->id is ignored. @return the id of the request, or 0 if there is no other host to send it to. */
uint64_t transfers_request (Transfers *transfers, const TransferRequest *request);

/** Sends tokens to a host, in response to its request or unsolicited, with a report of what this host has spent
 * and holds. The tokens must have left the balance before. */
void transfers_send (Transfers *transfers, const char *host, const Transfer *transfer);

/** Asks all hosts to send no more requests to this host and to return no tokens to it. */
void transfers_announce_drain (Transfers *transfers);

/** Handles a message. @return false if it does not belong to this module. */
bool transfers_on_message (Transfers *transfers, const Pond__Envelope *envelope);

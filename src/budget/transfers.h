/** @file
 * Tokens that hosts ask each other for. A message that hands tokens over is sent once: if it is lost, the
 * tokens count as used. Control loop. */
#pragma once

#include "budget/coordinators.h"
#include "core/timers.h"
#include "core/tokens.h"
#include "peer/peers.h"

typedef struct Transfers Transfers;

typedef struct
{
  uint64_t id;
  const char *account;
  Tokens tokens;
  Tokens wish;  /* more, while plenty is left */
  Tokens spent; /* that the sender has not told before */
  Tokens held;  /* by the sender now */
} TransferRequest;

typedef struct
{
  uint64_t id; /* of the ask that it answers, or 0 */
  const char *account;
  Tokens tokens;
  Tokens spent;   /* that the sender has not told before */
  Tokens held;    /* by the sender after this; with id 0 only */
  bool exhausted; /* the ask cannot be served, and nothing will come back that could */
  bool counted;   /* it is known what others hold */
  Tokens left;    /* held by the sender and by others, without the receiver */
  bool pending;   /* the answer follows */
  bool cut_off;   /* too little, and the store does not answer the sender */
} Transfer;

/** What an ask has brought. */
typedef enum
{
  TRANSFER_INSUFFICIENT, /* too little, or no answer */
  TRANSFER_SUFFICIENT,
  TRANSFER_WITH_EXTRA,       /* than the request needs, because plenty is left */
  TRANSFER_EXHAUSTED,        /* nothing, and nothing will come back */
  TRANSFER_PENDING_TIMED_OUT /* nothing yet: the store does not answer the keeper either */
} TransferOutcome;

typedef struct
{
  /** Another host asks; answer with transfers_send(). */
  void (*asked) (void *data, const char *host, const TransferRequest *ask);
  /** Another host hands tokens over, or tells what it has spent and holds. */
  void (*received) (void *data, const char *host, const Transfer *give);
  /** An ask has ended; what it brought was reported by received before. */
  void (*ended) (void *data, uint64_t id, const char *account, TransferOutcome end);
} TransferEvents;

typedef struct
{
  Peers *peers; /* NULL: this host is alone */
  Timers *timers;
  Coordinators *keepers;
  const TransferEvents *events;
  void *data;
} TransfersOptions;

/** @return a talloc object under @p ctx. */
Transfers *transfers_new (const void *ctx, const TransfersOptions *options);

/** Asks the keeper of the account, and the next one if it does not answer; ask->id is not used.
 * @return the id of the ask, or 0 if there is nobody to ask. */
uint64_t transfers_request (Transfers *lending, const TransferRequest *ask);

/** Hands tokens to a host, as the answer to its ask or unasked; and tells what was spent and is held. */
void transfers_send (Transfers *lending, const char *host, const Transfer *give);

/** Tells all hosts not to ask this one any more, nor to hand anything back to it. */
void transfers_announce_leave (Transfers *lending);

/** Takes a message. @return false if it is not about balances. */
bool transfers_on_message (Transfers *lending, const Pond__Envelope *envelope);

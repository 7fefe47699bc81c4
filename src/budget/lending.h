/** @file
 * Tokens that hosts ask each other for. A message that hands tokens over is sent once: if it is lost, the
 * tokens count as used. Control loop. */
#pragma once

#include "budget/keepers.h"
#include "core/timers.h"
#include "core/tokens.h"
#include "peer/peer_transport.h"

typedef struct Lending Lending;

typedef struct
{
  uint64_t id;
  const char *account;
  Tokens tokens;
  Tokens wish;  /* more, while plenty is left */
  Tokens spent; /* that the sender has not told before */
  Tokens held;  /* by the sender now */
} LendingAsk;

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
} LendingGive;

/** What an ask has brought. */
typedef enum
{
  LENDING_NOTHING, /* too little, or no answer */
  LENDING_ENOUGH,
  LENDING_MORE,      /* than the request needs, because plenty is left */
  LENDING_EXHAUSTED, /* nothing, and nothing will come back */
  LENDING_WAITS      /* nothing yet: the store does not answer the keeper either */
} LendingEnd;

typedef struct
{
  /** Another host asks; answer with lending_give(). */
  void (*asked) (void *data, const char *host, const LendingAsk *ask);
  /** Another host hands tokens over, or tells what it has spent and holds. */
  void (*received) (void *data, const char *host, const LendingGive *give);
  /** An ask has ended; what it brought was reported by received before. */
  void (*ended) (void *data, uint64_t id, const char *account, LendingEnd end);
} LendingEvents;

typedef struct
{
  PeerTransport *peers; /* NULL: this host is alone */
  Timers *timers;
  Keepers *keepers;
  const LendingEvents *events;
  void *data;
} LendingOptions;

/** @return a talloc object under @p ctx. */
Lending *lending_new (const void *ctx, const LendingOptions *options);

/** Asks the keeper of the account, and the next one if it does not answer; ask->id is not used.
 * @return the id of the ask, or 0 if there is nobody to ask. */
uint64_t lending_ask (Lending *lending, const LendingAsk *ask);

/** Hands tokens to a host, as the answer to its ask or unasked; and tells what was spent and is held. */
void lending_give (Lending *lending, const char *host, const LendingGive *give);

/** Tells all hosts not to ask this one any more, nor to hand anything back to it. */
void lending_leave (Lending *lending);

/** Takes a message. @return false if it is not about balances. */
bool lending_on_message (Lending *lending, const Pond__Envelope *envelope);

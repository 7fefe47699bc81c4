/** @file
 * Tokens that hosts ask each other for. A message that hands tokens over is sent once: if it is lost, the
 * tokens count as used. Control loop. */
#pragma once

#include "budget/keepers.h"
#include "core/timers.h"
#include "core/tokens.h"
#include "peer/peers.h"

typedef struct Lending Lending;

typedef struct
{
  uint64_t id;
  const char *account;
  Tokens tokens;
  Tokens wish;  /* more, while plenty is left */
  Tokens spent; /* that the sender has not told before */
} LendingAsk;

typedef struct
{
  /** Another host asks; answer with lending_give(). */
  void (*asked) (void *data, const char *host, const LendingAsk *ask);
  /** Another host hands tokens over, and tells what it has spent. */
  void (*received) (void *data, const char *account, Tokens tokens, Tokens spent);
  /** An ask has ended; what it brought was reported by received before. @p more: it was more than the
   * request needs, because plenty is left. */
  void (*ended) (void *data, uint64_t id, const char *account, bool more);
} LendingEvents;

typedef struct
{
  Peers *peers; /* NULL: this host is alone */
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

/** Hands tokens to a host, as the answer to its ask or, with id 0, unasked; and tells what was spent. */
void lending_give (Lending *lending, const char *host, uint64_t id, const char *account,
                   Tokens tokens, Tokens spent);

/** Tells all hosts not to ask this one any more, nor to hand anything back to it. */
void lending_leave (Lending *lending);

/** Takes a message. @return false if it is not about balances. */
bool lending_on_message (Lending *lending, const Pond__Envelope *envelope);

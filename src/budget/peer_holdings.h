/** @file
 * What other hosts last reported to hold of one account: balances and reservations, which may become available
 * again. An entry that was last updated PEER_HOLDING_TTL_MS ago or earlier is ignored: the host has stopped, or the
 * requests that held the reservations have ended. Takes no lock. */
#pragma once

#include <stdint.h>

#include "core/tokens.h"

/** Longer than any request lasts. */
#define PEER_HOLDING_TTL_MS 15000

typedef struct PeerHoldings PeerHoldings;

/** @return a talloc object under @p ctx. */
PeerHoldings *peer_holdings_new (const void *ctx);

/** Replaces the holdings of @p host by those that it has reported. */
void peer_holdings_set (PeerHoldings *holdings, const char *host, Tokens tokens, int64_t now_ms);

/** Adds tokens transferred to @p host since its last report. */
void peer_holdings_add (PeerHoldings *holdings, const char *host, Tokens tokens, int64_t now_ms);

/** @return the sum of the holdings of all hosts but @p except (may be NULL). */
Tokens peer_holdings_total (const PeerHoldings *holdings, const char *except, int64_t now_ms);

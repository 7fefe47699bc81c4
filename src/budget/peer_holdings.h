/** @file
 * What other hosts last told that they hold of one account: balances and reservations, which may come back.
 * A host that has told nothing for PEER_HOLDING_TTL_MS holds nothing that will: it is gone, or its requests
 * have ended. No lock of its own. */
#pragma once

#include <stdint.h>

#include "core/tokens.h"

/** Longer than a request lasts. */
#define PEER_HOLDING_TTL_MS 15000

typedef struct PeerHoldings PeerHoldings;

/** @return a talloc object under @p ctx. */
PeerHoldings *peer_holdings_new (const void *ctx);

/** Notes what @p host tells. */
void peer_holdings_set (PeerHoldings *holdings, const char *host, Tokens tokens, int64_t now_ms);

/** Notes what is handed to @p host on top of what it told. */
void peer_holdings_add (PeerHoldings *holdings, const char *host, Tokens tokens, int64_t now_ms);

/** @return what all hosts but @p except (may be NULL) together hold as far as they told. */
Tokens peer_holdings_total (const PeerHoldings *holdings, const char *except, int64_t now_ms);

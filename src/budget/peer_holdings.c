#include "budget/peer_holdings.h"

#include <string.h>

#include <talloc.h>

typedef struct
{
  char *host;
  Tokens tokens;
  int64_t updated_ms;
} PeerHolding;

struct PeerHoldings
{
  PeerHolding *list;
  size_t n;
};

PeerHoldings *
peer_holdings_new (const void *ctx)
{
  return talloc_zero (ctx, PeerHoldings);
}

static PeerHolding *
find (PeerHoldings *h, const char *host)
{
  for (size_t i = 0; i < h->n; i++)
    if (!strcmp (h->list[i].host, host))
      return &h->list[i];
  return NULL;
}

static PeerHolding *
find_or_add (PeerHoldings *h, const char *host)
{
  PeerHolding *found = find (h, host);

  if (found)
    return found;
  h->list = talloc_realloc (h, h->list, PeerHolding, h->n + 1);
  found = &h->list[h->n++];
  *found = (PeerHolding){ .host = talloc_strdup (h, host) };
  return found;
}

void
peer_holdings_set (PeerHoldings *h, const char *host, Tokens tokens, int64_t now_ms)
{
  PeerHolding *holding = tokens > 0 ? find_or_add (h, host) : find (h, host);

  if (!holding)
    return;
  holding->tokens = tokens_max (tokens, 0);
  holding->updated_ms = now_ms;
}

void
peer_holdings_add (PeerHoldings *h, const char *host, Tokens tokens, int64_t now_ms)
{
  PeerHolding *holding = find_or_add (h, host);

  holding->tokens = tokens_add_saturated (holding->tokens, tokens);
  holding->updated_ms = now_ms;
}

Tokens
peer_holdings_total (const PeerHoldings *h, const char *except, int64_t now_ms)
{
  Tokens total = 0;

  for (size_t i = 0; i < h->n; i++)
    {
      const PeerHolding *holding = &h->list[i];

      if (now_ms - holding->updated_ms >= PEER_HOLDING_TTL_MS)
        continue;
      if (!except || strcmp (holding->host, except) != 0)
        total = tokens_add_saturated (total, holding->tokens);
    }
  return total;
}

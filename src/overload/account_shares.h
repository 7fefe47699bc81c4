/** @file
 * The shares of client accounts in a service that has too little room: max-min, weighted by the work that an account usually
 * offers to this host. What an account does not use, the others take. Answers one account's flood. Each host divides its own part. No clock; lock "overload". */
#pragma once

#include "core/rng.h"
#include "overload/rank_demand.h"

typedef struct AccountShares AccountShares;

/** @return a talloc object under @p ctx. */
AccountShares *account_shares_new (const void *ctx);

/** A request of an account comes. @param account NULL: none, all such requests count as one account.
 * @param level as admitted now. @param[out] share of the account's work that is within its share.
 * @return the standing of this request, which @p rng draws. */
ShareStanding account_shares_add (AccountShares *shares, const char *account, double work,
                                  double level, Rng *rng, int64_t now_ms, double *share);

/** @return the number of accounts that are remembered, at most ACCOUNT_SHARES_MAX. */
unsigned account_shares_count (const AccountShares *shares);

#define ACCOUNT_SHARES_MAX 2048

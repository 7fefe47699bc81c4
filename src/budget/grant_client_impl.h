/* The parts of a supply: supply.c (calls to the store, set-up, questions), supply_rows.c (what its answers mean). */
#pragma once

#include "budget/budget_rows.h"
#include "budget/reconcile.h"
#include "budget/grant_client.h"

/* Transactions without an answer. With this many, the next one changes nothing and needs no record: once
 * it is done, the others cannot be done any more. */
#define MAX_OPEN 8

typedef struct
{
  uint64_t seq;
  int64_t checked_version; /* of the account's row: it can be done only while this is current */
  Tokens change;
} OpenTxn;

struct GrantClient
{
  GrantClientOptions options;
  BudgetAccount *account;
  bool closing;
  bool want_totals;

  StoreCall *call;
  Timer *backoff;
  int64_t backoff_ms;
  int conflicts;
  bool connected;

  int64_t row_version;
  int64_t host_row_version;
  Tokens spent_before; /* by earlier incarnations of this host */
  Tokens reclaim;      /* granted to the last incarnation, which it cannot have used */
  Tokens total_spent;
  int64_t total_ms;
  int64_t fresh_ms;

  /* After the store went back. */
  bool went_back;
  KnownRow mine; /* of the row before; version 0: nothing */
  bool reconcile_due;
  bool row_settled;      /* as last read or written: others had put back what they knew */
  int64_t store_time_ms; /* of the last answer */
  int64_t sent_era;      /* of the transaction on its way */
  int64_t era_row_version;
  bool begins_era; /* the next transaction is the first of the era */

  uint64_t next_seq;
  OpenTxn sent; /* the one on its way */
  BudgetRow sent_row;
  OpenTxn open[MAX_OPEN];
  size_t n_open;
};

/* supply_rows.c; under the lock. */

/* @return the name of this host's row in @p name. */
const char *grant_client_host_row_name (const GrantClient *s, char *name, size_t size);
/* Takes over the rows of an answer; rows that are not in it do not exist. */
void grant_client_apply_rows (GrantClient *s, const StoreReply *reply, bool whole_part);
/* @return whether others have had time to put back what they know, by now. */
bool grant_client_is_reconciled (const GrantClient *s);
/* Takes over the outcome of the transaction on its way. */
void grant_client_finish_txn (GrantClient *s, const StoreReply *reply);

/* Internals of the grant client: grant_client.c (calls to the store, setup, queries) and grant_client_rows.c
 * (effects of the store's replies). */
#pragma once

#include <stdatomic.h>

#include "budget/budget_rows.h"
#include "budget/grant_client.h"
#include "budget/reconcile.h"

/* Maximum number of transactions with an unknown result. At this limit the next transaction changes no grant and so
 * needs no entry: once it commits, the others can no longer commit. */
#define MAX_UNRESOLVED 8

typedef struct
{
  uint64_t seq;
  /* Version of the account's row; the transaction can commit only while the row has this version. */
  int64_t checked_version;
  Tokens change; /* of this host's grant: positive to obtain tokens, negative to return them */
} GrantTxn;

struct GrantClient
{
  GrantClientOptions options;
  BudgetAccount *account;
  bool closing;
  bool totals_requested;

  StoreCall *call;
  Timer *backoff_timer;
  int64_t backoff_ms;
  int conflicts;         /* consecutive */
  atomic_bool connected; /* read without the lock */

  int64_t row_version;
  int64_t host_row_version;
  Tokens previously_spent; /* by earlier incarnations of this host */
  Tokens reclaimable;      /* part of the previous incarnation's grant that it cannot have used */
  Tokens total_spent;
  int64_t total_read_ms;
  int64_t row_fresh_ms; /* when the account's row was last read or written */

  /* After a restore of the store from a backup. */
  bool store_restored;
  KnownRow known_row; /* the account's row before the restore; version 0: not known */
  bool reconcile_due; /* the reconciled row has still to be written */
  /* grant_client_is_reconciled() at the last read or write of the account's row. */
  bool row_reconciled;
  int64_t store_time_ms; /* of the last reply */
  int64_t sent_era;      /* of the transaction in progress */
  int64_t era_row_version;
  bool starts_era; /* the next transaction is the first of the era */

  uint64_t next_seq;
  GrantTxn sent; /* the transaction in progress */
  BudgetRow sent_row;
  /* Transactions whose reply was lost: they may have committed or may still commit. */
  GrantTxn unresolved[MAX_UNRESOLVED];
  size_t n_unresolved;
};

/* grant_client_rows.c; under the lock. */

/* @return the name of this host's row, in @p name. */
const char *grant_client_host_row_name (const GrantClient *c, char *name, size_t size);
/* Applies the rows of a reply. Rows that it does not contain do not exist. @p all_rows: the reply contains the rows
 * of all hosts. */
void grant_client_apply_rows (GrantClient *c, const StoreReply *reply, bool all_rows);
/* @return whether all hosts have had time to merge their known rows into the account's row; see reconcile.h. */
bool grant_client_is_reconciled (const GrantClient *c);
/* Applies the result of the transaction in progress. */
void grant_client_finish_txn (GrantClient *c, const StoreReply *reply);

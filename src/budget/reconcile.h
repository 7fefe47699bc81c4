/** @file
 * Reconciles an account's row after the store was restored from a backup, which begins a new era of the store. In
 * the restored row, tokens granted since the backup are unallocated again, although hosts hold or have used them.
 * Each host remembers the row as it last read or wrote it. The highest total of grants that any host remembers from
 * after the backup is merged into the row, so tokens returned since then still count as granted. No grants are
 * obtained until all hosts have had time to merge what they remember.
 *
 * A transaction of the previous era may reach the store late and be committed after the restore, if it checks a
 * version that the backup contains. A row of the previous era therefore counts as no newer than the row it replaced.
 *
 * Grants made since the backup are missing from the row if the host that obtained them has stopped or cannot reach
 * the store, and no other host has read the row since they were made. Stateless. */
#pragma once

#include "budget/account.h"

/** Hosts that reach the store have merged what they remember within this time. */
#define RECONCILE_WINDOW_MS 1500

/** The account's row as a host last read or wrote it in an era (restore generation) of the store. */
typedef struct
{
  int64_t era;
  int64_t version;
  Tokens granted;
} KnownRow;

/** Brings a row that was read in @p era up to date with that era. @param known what this host remembers from an
 * earlier era, or NULL. @param store_ms store time of the read. @return whether the row changed and must be
 * written. */
bool reconcile_row (BudgetRow *row, int64_t era, const KnownRow *known, int64_t store_ms);

/** @return whether hosts have had time to merge what they remember into a row of @p era: since its first write in
 * that era, by the store time @p store_ms, or in the @p era_age_ms since this host learned of the era. */
bool reconcile_is_complete (const BudgetRow *row, int64_t era, int64_t store_ms,
                            int64_t era_age_ms);

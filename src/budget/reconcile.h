/** @file
 * An account's row after the store went back. What was granted since the copy is free in it again, though hosts
 * hold or have used it. Each host knows the row as it read or wrote it last. What any of them knew to be granted
 * after the row of the copy is put into the row, the most of it: what was given back since then stays counted. Nothing
 * is drawn before hosts have had time to put back what they know.
 *
 * A transaction of the era before may reach the store after it went back, and be done if it checks a version that
 * the copy has. So a row of that era counts as old as the one that it was written over.
 *
 * Not known is what a host drew that has ended, or cannot reach the store, before any other host read the row.
 * A decision without state. */
#pragma once

#include "budget/account.h"

/** Hosts that reach the store have put back what they know by then. */
#define RECONCILE_WINDOW_MS 1500

/** The row of an era as a host knew it last. */
typedef struct
{
  int64_t era; /* in which it knew it */
  int64_t version;
  Tokens granted;
} KnownRow;

/** Brings a row that was read in @p era into that era. @p mine: of an earlier era,
 * NULL if this host knows nothing. @return whether it has changed and has to be written. */
bool reconcile_row (BudgetRow *row, int64_t era, const KnownRow *mine, int64_t store_ms);

/** @return whether hosts have had time to put back what they know into a row of @p era: since it was first written, or
 * since this host heard of the era, @p heard_ms ago. */
bool reconcile_is_complete (const BudgetRow *row, int64_t era, int64_t store_ms, int64_t heard_ms);

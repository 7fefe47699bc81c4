/** @file
 * The store's rows of the quarantine: one for each key whose requests are sent to no server, so that hosts which start
 * later, or do not hear of the evidence, stop its requests too. Control loop only. */
#pragma once

#include "core/rng.h"
#include "core/timers.h"
#include "quarantine/quarantine.h"
#include "store/store.h"

#define QUARANTINE_TABLE "quarantine"

typedef struct QuarantineRows QuarantineRows;

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
  Quarantine *quarantine;
} QuarantineRowsOptions;

/** Starts to watch the rows, and to write those that the quarantine wants written. @return a talloc object under
 * @p ctx. */
QuarantineRows *quarantine_rows_new (const void *ctx, const QuarantineRowsOptions *options);

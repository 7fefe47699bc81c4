/** @file
 * Reads and writes the rows of streams.h in the store. Control loop only. */
#pragma once

#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"
#include "streams/streams.h"

#define STREAMS_TABLE "streams"

typedef struct StreamRows StreamRows;

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
  Streams *streams;
  const char *host;
  uint64_t incarnation;
} StreamRowsOptions;

/** Starts to read and write. @return a talloc object under @p ctx. */
StreamRows *stream_rows_new (const void *ctx, const StreamRowsOptions *options);

/** Reads at once if a read is due. */
void stream_rows_wake (StreamRows *rows);

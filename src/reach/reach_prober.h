/** @file
 * Makes the connections that reach.h asks for, without a request on them. Control loop only. */
#pragma once

#include "core/loop.h"
#include "reach/reach.h"

typedef struct ReachProber ReachProber;

typedef struct
{
  Loop *loop;
  Reach *reach;
} ReachProberOptions;

/** @return a talloc object under @p ctx; to be freed before @p options->reach. */
ReachProber *reach_prober_new (const void *ctx, const ReachProberOptions *options);

/** Starts what is wanted now. */
void reach_prober_run (ReachProber *prober);

/** @file
 * The rotation states that the other hosts of the data centre have reported. No locks: one
 * thread. */
#pragma once

#include "entry/rotation.h"

typedef struct RotationPeers RotationPeers;

typedef enum
{
  ROTATION_IN,
  ROTATION_EXIT_BLOCKED, /* in, and loaded, but too many hosts are out for it to leave */
  ROTATION_OUT
} RotationState;

/** A host that is not ROTATION_IN repeats its report at this interval. */
#define ROTATION_REFRESH_MS 2000

/** @return a talloc object under @p ctx. */
RotationPeers *rotation_peers_new (const void *ctx);

/** Records the state that a host has reported, and how long it has been out. */
void rotation_peers_update (RotationPeers *peers, const char *host, RotationState state,
                            int64_t out_ms, int64_t now_ms);

/** Summarizes the reports for this host, which has been out since @p left_ms (0: it is in) and
 * whose data centre has @p hosts hosts. */
RotationPeersSummary rotation_peers_summary (const RotationPeers *peers, int hosts, int64_t left_ms,
                                             int64_t now_ms);

/** @return the state that this host reports to the others. */
RotationState rotation_state (const Rotation *rotation);

/** @file
 * What the other hosts of a data centre have told of their place in the balancer's rotation. No locks: one
 * thread. */
#pragma once

#include "entry/rotation.h"

typedef struct RotationPeers RotationPeers;

typedef enum
{
  ROTATION_IN,
  ROTATION_WANTS, /* in, and would leave */
  ROTATION_OUT
} RotationState;

/** A host that is not in says so again after this time. */
#define ROTATION_REPEAT_MS 2000

/** @return a talloc object under @p ctx. */
RotationPeers *rotation_peers_new (const void *ctx);

/** Notes what a host tells: its state, and for how long it has been out. */
void rotation_peers_note (RotationPeers *peers, const char *host, RotationState state,
                          int64_t out_ms, int64_t now_ms);

/** @return what is known now to a host that has been out since @p left_ms (0: it is in), of @p hosts in its data
 * centre. */
RotationOthers rotation_peers_view (const RotationPeers *peers, int hosts, int64_t left_ms,
                                    int64_t now_ms);

/** @return the state of a host to tell the others. */
RotationState rotation_state (const Rotation *rotation);

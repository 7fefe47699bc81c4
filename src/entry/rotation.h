/** @file
 * Decides whether this host asks the balancer for new connections. The balancer spreads connections
 * unevenly, and one host of a data centre may get most of them; what its link cannot carry waits in the
 * network, where no host can see or refuse it. A host whose link is loaded therefore leaves the
 * rotation for a while, so that the balancer gives new connections to its neighbours.
 * No locks: one thread. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "http/traffic.h"

typedef struct
{
  int64_t link_bytes_s; /* what the link carries in one direction; 0 if not known: never leaves */
  Traffic last;
  int64_t last_ms;
  int64_t rate;      /* bytes a second in the busier direction, averaged over AVERAGE_MS */
  int64_t left_ms;   /* when it left the rotation; 0 while in it */
  int64_t stay_ms;   /* for how long it stays away, at least */
  int64_t joined_ms; /* when it last came back */
} Rotation;

/** @param link_bytes_s 0 if not known. */
void rotation_init (Rotation *r, int64_t link_bytes_s, int64_t now_ms);

/** Takes the traffic since the last call into account. Call about ten times a second.
 * @return true if the host is in the rotation. */
bool rotation_update (Rotation *r, Traffic total, int64_t now_ms);

bool rotation_is_in (const Rotation *r);

/** @file
 * Decides whether this host takes new connections now. What its link cannot carry would wait in the network,
 * behind it everything else that the host says and hears. A connection that is refused at its begin costs
 * the link nothing, and its client comes back at once by another host. This acts within a fraction of a second and for
 * as long, rotation.h within seconds. No locks: one thread. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "http/traffic.h"

typedef struct
{
  int64_t link_bytes_s; /* what the link carries in one direction; 0 if not known: never closes */
  Traffic last;
  int64_t last_ms;
  int64_t rate; /* bytes a second in the busier direction, averaged over a short time */
  bool closed;
  int64_t since_ms; /* open or closed */
} Gate;

/** @param link_bytes_s 0 if not known. */
void gate_init (Gate *gate, int64_t link_bytes_s, int64_t now_ms);

/** Opens it for good. @return true. */
bool gate_open (Gate *gate);

/** Takes the traffic since the last call into account. Call about ten times a second.
 * @return true if new connections are taken. */
bool gate_update (Gate *gate, Traffic total, int64_t now_ms);

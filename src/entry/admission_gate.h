/** @file
 * Overload protection of this host's link: decides whether new connections are accepted at the
 * moment. Traffic beyond the link's capacity queues in the network and delays everything else that
 * the host sends and receives. A connection that is refused at its start costs the link nothing,
 * and its client reconnects to another host at once. The gate reacts within a fraction of a second
 * and closes for a second at most; the load balancer's rotation (rotation.h) reacts within seconds.
 * No locks: one thread. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "http/traffic.h"

typedef struct
{
  int64_t link_bytes_s; /* link capacity per direction; 0 if unknown: the gate never closes */
  Traffic last_total;
  int64_t updated_ms;
  int64_t rate_bytes_s; /* in the busier direction, averaged over a fraction of a second */
  bool closed;
  int64_t changed_ms; /* when it last opened or closed */
} AdmissionGate;

/** @param link_bytes_s 0 if unknown. */
void admission_gate_init (AdmissionGate *gate, int64_t link_bytes_s, int64_t now_ms);

/** Opens the gate regardless of the load, until the next admission_gate_update(). @return true. */
bool admission_gate_force_open (AdmissionGate *gate);

/** Counts the traffic since the last call. Call about ten times a second.
 * @return true if new connections are accepted. */
bool admission_gate_update (AdmissionGate *gate, Traffic total, int64_t now_ms);

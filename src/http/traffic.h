/** @file
 * Counts the bytes of clients' requests and of the responses to them, at both sides, as a measure of the load on
 * the host's network link that clients cause. Any thread. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/** Bytes that a message needs on the link in addition to its own: the headers of its TCP segment and of
 * the link-layer frame, and a share of an acknowledgement. */
#define PACKET_OVERHEAD_BYTES 80

void traffic_received (size_t bytes);
void traffic_sent (size_t bytes);

/** Byte totals since the start of the process. */
typedef struct
{
  int64_t received;
  int64_t sent;
} Traffic;

Traffic traffic_total (void);

/** @return the bytes between two totals, in the direction with more of them. */
int64_t traffic_busier_direction (Traffic now, Traffic before);

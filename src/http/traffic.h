/** @file
 * Counts the bytes of requests and responses that this process exchanges with clients and backend
 * servers, as a measure of the load of the host's network link. Any thread. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/** Estimated overhead of one packet on the link: the TCP, IP and link-layer headers and a share of an
 * acknowledgement. */
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

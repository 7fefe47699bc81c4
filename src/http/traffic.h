/** @file
 * Counts the bytes of requests and answers that this process exchanges with callers and servers. They
 * load the host's link. Any thread. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/** What a message costs on the link beyond its bytes: the headers of a TCP segment and of the frame
 * around it, and a share of an acknowledgement. */
#define PACKET_BYTES 80

void traffic_received (size_t bytes);
void traffic_sent (size_t bytes);

/** Bytes since the start of the process. */
typedef struct
{
  int64_t received;
  int64_t sent;
} Traffic;

Traffic traffic_total (void);

/** @return bytes between two totals in the direction that has more. */
int64_t traffic_busier (Traffic now, Traffic before);

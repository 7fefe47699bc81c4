/** @file
 * Which parts of the choice of a server are in use; each can be switched off by a setting under [placing]. */
#pragma once

#include <stdbool.h>

typedef struct
{
  bool shared_picture; /* what other hosts report of a server's load, and reports to them */
  bool pauses;         /* the pauses that a prompt puts into streams that run on its server */
  bool queues;         /* waiting requests by the server's own figure */
  bool spread;         /* a random one of two servers of nearly the same cost */
} PlacingParts;

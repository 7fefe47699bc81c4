/** @file
 * Servers of a service that fall over if they have to reject more than a few requests in a second, of all hosts together,
 * for want of room. While they say so, the hosts keep within the places of a server, without its queue: in a server's
 * order of hosts (host_list.h) as many as it has places use it, each with an equal part. So nothing needs to be rejected, and no
 * message is needed before a request is sent. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** What this host knows of a service. All zero: its servers are not brittle. */
typedef struct
{
  int max_rejections; /* that a server bears in a second */
  int64_t stated_ms;  /* newest response that said so; 0: none, or a newer one did not */
} Brittle;

/** A response of a server has come. @param max_rejections as it states; less than 0: it states nothing. */
void brittle_note (Brittle *brittle, int max_rejections, int64_t now_ms);

bool brittle_is_in_force (const Brittle *brittle, int64_t now_ms);

/** @param slots places of the server. @param rank of this host in its order of hosts; -1: unknown.
 * @return the requests that this host may have in flight there. */
int brittle_share (int slots, int hosts, int rank);

/** @return how long this host sends nothing to a server that has rejected a request of it: together the hosts that use it
 * stay within what it bears. */
int64_t brittle_pause_ms (const Brittle *brittle, int slots, int hosts);

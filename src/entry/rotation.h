/** @file
 * Decides whether this host is in the load balancer's rotation, that is, reports itself as ready for
 * new connections. The load balancer distributes connections unevenly: all connections of a client
 * go to the host that a hash ranks first for it, and one host of a data centre may get most of
 * them. Traffic beyond the capacity of a host's link queues in the network, where no host can see or
 * refuse it. A host whose link is loaded therefore leaves the rotation, and the load balancer sends
 * the client to the next host in hash order. Once that is a host with enough capacity, the
 * distribution is stable.
 *
 * If fewer than half of the hosts of a data centre are in the rotation, the load balancer uses all of
 * them again, and every client returns to its first host. The hosts therefore report to each other
 * whether they are out (rotation_peers.h), and at most half of them leave. If a further one has to
 * leave, the host that has been out for the longest time rejoins in its place. No locks: one
 * thread. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "http/traffic.h"

/** What is known about the other hosts of the data centre. */
typedef struct
{
  int hosts;              /* in the data centre, with this one; 0: unknown, this one stays in */
  int out;                /* other hosts that are out of the rotation */
  bool peer_exit_blocked; /* another host is loaded, but too many hosts are out for it to leave */
  bool out_longest;       /* no other host has been out for longer than this one */
  bool out_shortest;      /* no other host has been out for less time than this one */
} RotationPeersSummary;

typedef struct
{
  int64_t link_bytes_s; /* link capacity per direction; 0 if unknown: never leaves */
  Traffic last_total;
  int64_t updated_ms;
  int64_t rate_bytes_s; /* in the busier direction, averaged over about a second */
  bool exit_blocked;    /* is loaded, but too many hosts are out for it to leave */
  int64_t left_ms;      /* when it left the rotation; 0 while it is in */
  int64_t min_out_ms;   /* it stays out for this long, unless it rejoins in place of another host */
  int64_t rejoined_ms;  /* when it last rejoined */
} Rotation;

/** @param link_bytes_s 0 if unknown. */
void rotation_init (Rotation *r, int64_t link_bytes_s, int64_t now_ms);

/** Updates the traffic rate and lets the host leave or rejoin the rotation if that is due. Call about ten times a
 * second.
 * @param total traffic counted since the start.
 * @param refusing whether the host refuses new connections at the moment, see admission_gate.h.
 * @return true if the host is in the rotation. */
bool rotation_update (Rotation *r, Traffic total, bool refusing, const RotationPeersSummary *peers,
                      int64_t now_ms);

bool rotation_is_in (const Rotation *r);

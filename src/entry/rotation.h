/** @file
 * Decides whether this host asks the balancer for new connections. The balancer spreads connections
 * unevenly: it gives all of one client's to the host that a hash puts first, and one host of a data centre
 * may get most of them. What its link cannot carry waits in the network, where no host can see or refuse it. So
 * a host whose link is loaded leaves the rotation, and the balancer gives the client to the host that comes
 * next; once that is one with a link for it, all stay as they are.
 *
 * With fewer than half of its hosts in the rotation a data centre would be used as a whole, and every client would be back where
 * it began. So hosts tell each other who is out (rotation_peers.h). If one more wants to leave than may, the one that
 * has been out for longest gives its place: the load goes round. No locks: one thread. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "http/traffic.h"

/** What is known of the other hosts of the data centre. */
typedef struct
{
  int hosts;   /* of the data centre, this one included; 0: not known, this one stays in */
  int out;     /* other hosts that are out of the rotation */
  bool wanted; /* another host is loaded and may not leave */
  bool oldest; /* none of them has been out for longer than this host */
  bool newest; /* none of them has been out for a shorter time */
} RotationOthers;

typedef struct
{
  int64_t link_bytes_s; /* what the link carries in one direction; 0 if not known: never leaves */
  Traffic last;
  int64_t last_ms;
  int64_t rate;      /* bytes a second in the busier direction, averaged over AVERAGE_MS */
  bool wants;        /* to leave, and may not */
  int64_t left_ms;   /* when it left the rotation; 0 while in it */
  int64_t stay_ms;   /* for how long it stays away, at least */
  int64_t joined_ms; /* when it last came back */
} Rotation;

/** @param link_bytes_s 0 if not known. */
void rotation_init (Rotation *r, int64_t link_bytes_s, int64_t now_ms);

/** Takes the traffic since the last call into account. Call about ten times a second.
 * @param refuses whether the host refuses new connections at the moment, gate.h.
 * @return true if the host is in the rotation. */
bool rotation_update (Rotation *r, Traffic total, bool refuses, const RotationOthers *others,
                      int64_t now_ms);

bool rotation_is_in (const Rotation *r);

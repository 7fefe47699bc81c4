#include "peer/peer_stats.h"

#include <stdio.h>

#include "core/counter.h"

#define MAX_KINDS 64 /* greater than every field number of Envelope.body */

static const char *const DROP_REASONS[]
    = { "unknown_host",   "unreachable", "overflow",    "too_long",
        "unknown_sender", "misdirected", "out_of_range" };

/* These caches avoid a look-up by name per message. No lock is needed: the transport runs on one
 * thread. */
static Counter *bytes_counters[2][MAX_KINDS];
static Counter *message_counters[2][MAX_KINDS];
static Counter *drop_counters[N_PEER_DROP_REASONS];

const char *
peer_kind_name (Pond__Envelope__BodyCase kind)
{
  const ProtobufCFieldDescriptor *field
      = protobuf_c_message_descriptor_get_field (&pond__envelope__descriptor, (unsigned)kind);

  return field && kind >= POND__ENVELOPE__BODY_BALANCE_ASK ? field->name : "none";
}

static void
count_message (int received, Pond__Envelope__BodyCase kind, size_t bytes)
{
  static const char *const DIRECTIONS[] = { "sent", "received" };
  size_t k = (unsigned)kind < MAX_KINDS ? (unsigned)kind : 0;
  char labels[96];

  if (!bytes_counters[received][k])
    {
      snprintf (labels, sizeof labels, "direction=\"%s\",kind=\"%s\"", DIRECTIONS[received],
                peer_kind_name (kind));
      bytes_counters[received][k]
          = counter_get ("pond_peer_bytes_total", labels, "Bytes of peer frames.");
      message_counters[received][k]
          = counter_get ("pond_peer_messages_total", labels, "Messages between hosts.");
    }
  counter_add (bytes_counters[received][k], (int64_t)bytes);
  counter_add (message_counters[received][k], 1);
}

void
peer_stats_sent (PeerStats *stats, Pond__Envelope__BodyCase kind, size_t bytes)
{
  stats->sent_bytes += (int64_t)bytes;
  stats->sent_messages++;
  count_message (0, kind, bytes);
}

void
peer_stats_received (PeerStats *stats, Pond__Envelope__BodyCase kind, size_t bytes)
{
  stats->received_bytes += (int64_t)bytes;
  stats->received_messages++;
  count_message (1, kind, bytes);
}

void
peer_stats_dropped (PeerStats *stats, PeerDrop reason)
{
  char labels[64];

  stats->dropped[reason]++;
  if (!drop_counters[reason])
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"", DROP_REASONS[reason]);
      drop_counters[reason]
          = counter_get ("pond_peer_dropped_total", labels, "Peer messages dropped, by reason.");
    }
  counter_add (drop_counters[reason], 1);
}

void
peer_stats_bad_frame (PeerStats *stats)
{
  stats->bad_frames++;
  counter_add (
      counter_get ("pond_peer_bad_frames_total", "", "Malformed frames; each ends a connection."),
      1);
}

void
peer_stats_connect (PeerStats *stats, int ok)
{
  stats->connects++;
  if (!ok)
    stats->connect_failures++;
  counter_add (counter_get ("pond_peer_connects_total", ok ? "result=\"ok\"" : "result=\"failed\"",
                            "Attempts to connect to a peer."),
               1);
}

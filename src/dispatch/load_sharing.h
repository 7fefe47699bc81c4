/** @file
 * Decides when a host tells which other host of its data centre what it knows of servers' loads. Each sends only so
 * many bytes a second; the others take turns. In a small data centre all are told within a turn of a few hundred
 * milliseconds and each host tells only what servers have stated to itself. In a large one turns are longer, and hosts pass
 * on what they were told, so that news reaches all in a few steps. No clock; control loop only. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Servers in one message. */
#define LOAD_SHARING_MAX_SERVERS 16

typedef struct LoadSharing LoadSharing;

/** @param self name of this host. @return a talloc object under @p ctx, without hosts. */
LoadSharing *load_sharing_new (const void *ctx, const char *self);

/** Replaces the hosts to tell by copies of these names. A new one is told all that is current. */
void load_sharing_set_hosts (LoadSharing *sharing, const char *const *names, size_t n);

/** A message that is due. */
typedef struct
{
  const char *host;
  int64_t since_ms; /* what was learned since then is new to the host; 0: all */
  bool heard_too;   /* also what other hosts have told */
} LoadTurn;

/** @return false if nothing is to be sent for now. Otherwise it is the turn of @p turn.host, and load_sharing_sent() must
 * follow if it is told anything. */
bool load_sharing_next (LoadSharing *sharing, int64_t now_ms, LoadTurn *turn);

/** The host whose turn it is was told the loads of @p n_servers. */
void load_sharing_sent (LoadSharing *sharing, size_t n_servers);

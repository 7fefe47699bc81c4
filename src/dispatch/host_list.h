/** @file
 * The hosts of the fleet as this host knows them, and the order in which they may use a server that cannot
 * serve all of them. Hosts that know the same hosts agree on the order without communicating. Lock
 * "dispatch". */
#pragma once

#include <stddef.h>
#include <stdint.h>

/** A host of the fleet. */
typedef struct
{
  const char *name;
  const char *data_centre;
  const char *region; /* NULL: unknown */
} ListedHost;

/** What the order of hosts depends on. */
typedef struct
{
  uint64_t hash; /* of the server's id */
  const char *data_centre;
  const char *region; /* NULL: unknown */
} HostListServer;

typedef struct HostList HostList;

/** @param self the name of this host. @return a talloc object under @p ctx, with no hosts. */
HostList *host_list_new (const void *ctx, const char *self);

/** Replaces the hosts by copies of these. */
void host_list_set (HostList *list, const ListedHost *hosts, size_t n);

/** @return the number of hosts. */
int host_list_count (const HostList *list);

/** @return a number that differs after each change of the hosts; above 0. */
uint32_t host_list_version (const HostList *list);

/** Hosts of the server's data centre come first, then those of its region, then all others; among these, the order
 * is by rendezvous hashing.
 * @return the number of hosts before this one, or -1 if this host is not in the list. */
int host_list_rank (const HostList *list, const HostListServer *server);

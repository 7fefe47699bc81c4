/** @file
 * Selects the coordinator of each account: the host that obtains grants from the store on behalf of all hosts. Hosts
 * agree without exchanging messages, by rendezvous hashing of the account over the hosts: hosts with the same list
 * of hosts select the same one. No lock; control loop. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct Coordinators Coordinators;

typedef struct
{
  const char *name;
  uint64_t incarnation;
} CoordinatorCandidate;

/** @param self name of this host. @return a talloc object under @p ctx without candidates. Until the first
 * coordinators_set_candidates() no host is a coordinator; otherwise a host that starts would obtain grants for
 * accounts that belong to other coordinators. */
Coordinators *coordinators_new (const void *ctx, const char *self);

/** Replaces the candidates. This host is always one of them. A host that has restarted is no longer skipped. */
void coordinators_set_candidates (Coordinators *coordinators, const CoordinatorCandidate *hosts,
                                  size_t n);

/** @return whether the candidates have been set. */
bool coordinators_has_candidates (const Coordinators *coordinators);

/** Skips another host until @p until_ms, because it did not respond or is about to stop. */
void coordinators_skip (Coordinators *coordinators, const char *host, int64_t until_ms);

/** Excludes this host from now on, because it is about to stop. */
void coordinators_exclude_self (Coordinators *coordinators);

/** Calls @p fn for each candidate but this host. */
void coordinators_each_peer (const Coordinators *coordinators,
                             void (*fn) (void *data, const char *host), void *data);

/** @return the name of the account's coordinator, which may be this host. @p rank 0 selects the
 * host with the highest score, 1 the next one, and so on; skipped hosts are left out. NULL if there are
 * too few. Valid until the candidates change. */
const char *coordinators_find (const Coordinators *coordinators, const char *account, unsigned rank,
                               int64_t now_ms);

/** @return whether @p host is this host. */
bool coordinators_is_this_host (const Coordinators *coordinators, const char *host);

/** @return whether this host has the highest score for the account even among skipped hosts. All hosts that do not skip
 * it then select it as the coordinator. */
bool coordinators_is_preferred (const Coordinators *coordinators, const char *account);

/** @return whether this host is the account's coordinator at @p now_ms, with skipped hosts left out. */
bool coordinators_is_acting (const Coordinators *coordinators, const char *account, int64_t now_ms);

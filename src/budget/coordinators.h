/** @file
 * Which hosts keep the tokens of an account for all others. Hosts agree without talking: an account
 * hashes to the same hosts on all of them that know the same hosts. No lock; control loop. */
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

/** @param self name of this host. @return a talloc object under @p ctx without hosts: until the first
 * coordinators_set_candidates() nobody is a keeper, or a host that starts would draw for accounts that others keep. */
Coordinators *coordinators_new (const void *ctx, const char *self);

/** Replaces the known hosts; this one always counts. A new incarnation is no longer passed over. */
void coordinators_set_candidates (Coordinators *keepers, const CoordinatorCandidate *hosts,
                                  size_t n);

/** @return whether the hosts are known. */
bool coordinators_has_candidates (const Coordinators *keepers);

/** A host did not answer: it is passed over until @p until_ms. */
void coordinators_skip (Coordinators *keepers, const char *host, int64_t until_ms);

/** This host is about to stop: from now on it is never a keeper. */
void coordinators_exclude_self (Coordinators *keepers);

/** Calls @p fn for each host but this one. */
void coordinators_each_peer (const Coordinators *keepers, void (*fn) (void *data, const char *host),
                             void *data);

/** @return the keeper of the account, which may be this host. With @p rank above 0 the one that comes
 * next, or NULL if there is none. */
const char *coordinators_find (const Coordinators *keepers, const char *account, unsigned rank,
                               int64_t now_ms);

/** @return whether @p host is this host. */
bool coordinators_is_this_host (const Coordinators *keepers, const char *host);

/** @return whether this host is the account's keeper for all hosts, also for those that reach one that this
 * host passes over. */
bool coordinators_is_preferred (const Coordinators *keepers, const char *account);

/** @return whether this host is the account's keeper. */
bool coordinators_is_acting (const Coordinators *keepers, const char *account, int64_t now_ms);

/** @file
 * The software versions of one service at which streams that are still open may have begun. It is a row of the store,
 * shared by all hosts. Pure data; no lock. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch/server_version.h"

/** Of a name as dispatch/server_version.h stores it. Servers whose version is not printable ASCII are not used for
 * streams that may be resumed. */
#define VERSION_NAME_BYTES SERVER_VERSION_BYTES

#define VERSION_SET_MAX SERVER_VERSIONS_MAX

/** A host that has not read the row for this long begins no streams that may be resumed. */
#define VERSION_LEASE_MS (int64_t)600000

/** The longest time from the first send of a stream to its last resumption that is planned for. */
#define STREAM_OPEN_MAX_MS (int64_t)60000

/** A version whose servers are gone stays in the row for this long: a host that read the row just before may begin
 * streams there until its lease ends, and those streams are open some time longer. A transaction may be applied late. */
#define VERSION_HOLD_MS (VERSION_LEASE_MS + STREAM_OPEN_MAX_MS + (int64_t)60000)

typedef struct
{
  char name[VERSION_NAME_BYTES];
  int64_t
      gone_ms; /* the store's time when its servers were found to be gone; 0: streams may begin there */
} ListedVersion;

typedef struct
{
  ListedVersion versions[VERSION_SET_MAX];
  size_t n;
  int64_t era; /* of the store in which the row was written last; see store/store_era.h */
  /* Versions that are missing may have been lost in a restore of the store until this time of the store. */
  int64_t unsure_until_ms;
} VersionSet;

/** @return false if the value is not that of a valid row. */
bool version_set_decode (VersionSet *set, const char *value, size_t len);

/** @return a talloc string under @p ctx. */
char *version_set_encode (const void *ctx, const VersionSet *set);

/** @return NULL if it is not in the set. */
ListedVersion *version_set_find (VersionSet *set, const char *name);

/** @return whether streams may begin at servers of the version. */
bool version_set_allows (const VersionSet *set, const char *name);

/** Allows the version. @return false if the set is full or the name invalid. */
bool version_set_allow (VersionSet *set, const char *name);

/** @return the version at which every open stream began, or NULL if there may be several or none is known. */
const char *version_set_only (const VersionSet *set, int64_t store_now_ms);

/** Removes the versions at which no open stream can have begun any more. @return whether the set has changed. */
bool version_set_drop_expired (VersionSet *set, int64_t store_now_ms);

/** Adds the versions of @p other that are missing. @return whether the set has changed. */
bool version_set_add_missing (VersionSet *set, const VersionSet *other);

/** @return whether both say the same of versions, whatever their eras. */
bool version_set_same (const VersionSet *a, const VersionSet *b);

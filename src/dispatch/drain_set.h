/** @file
 * Server instances that have announced that they are draining. An announcement applies to one
 * instance, not to the next one under the same id, whatever the store shows: a record read from the
 * store may be older than the announcement. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct DrainSet DrainSet;

/** One run of a server, from its start to its end. */
typedef struct
{
  const char *id;
  const char *address;
  int64_t started_ms; /* as in ServerRecord */
} ServerInstance;

/** @return a talloc object under @p ctx. */
DrainSet *drain_set_new (const void *ctx);

/** Adds an instance, in place of an earlier one of the same server. @return false if it was already in
 * the set. */
bool drain_set_add (DrainSet *set, const ServerInstance *instance, int64_t now_ms);

/** @return whether this instance has announced that it is draining. */
bool drain_set_contains (const DrainSet *set, const ServerInstance *instance);

/** Removes instances that must have ended long ago. */
void drain_set_expire (DrainSet *set, int64_t now_ms);

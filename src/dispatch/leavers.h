/** @file
 * Starts of servers that have said that they leave. What a server has said holds until another start of it,
 * whatever the store shows meanwhile: an entry may be older. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct Leavers Leavers;

/** One start of a server. */
typedef struct
{
  const char *id;
  const char *address;
  int64_t born_ms; /* ServerRecord */
} ServerStart;

/** @return a talloc object under @p ctx. */
Leavers *leavers_new (const void *ctx);

/** Notes that a start leaves. @return false if that was known. */
bool leavers_note (Leavers *leavers, const ServerStart *start, int64_t now_ms);

/** @return whether this start has said that it leaves. */
bool leavers_has (const Leavers *leavers, const ServerStart *start);

/** Forgets starts that must have ended long ago. */
void leavers_expire (Leavers *leavers, int64_t now_ms);

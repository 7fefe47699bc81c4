/** @file
 * The paths that callers use. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "core/err.h"

typedef enum
{
  TARGET_MODEL,  /* /v1/chat/completions */
  TARGET_SERVICE /* /v1/pools/<pool>/<path> */
} TargetKind;

typedef struct
{
  TargetKind kind;
  char pool[64];
  const char *path; /* services: what goes to the server, from "/" on, with the query */
} Target;

/** @return false with ERR_UNKNOWN_PATH, ERR_UNKNOWN_POOL or ERR_BAD_REQUEST. */
bool target_parse (const char *method, const char *text, Target *target, Err *err);

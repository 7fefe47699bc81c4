/** @file
 * Parser for the targets of client requests. */
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
  const char *path; /* for services: path and query to send to the server, starting with "/" */
} RequestTarget;

/** Parses a path with query; target->path points into @p text. @return false with ERR_UNKNOWN_PATH,
 * ERR_UNKNOWN_POOL or ERR_BAD_REQUEST. */
bool request_target_parse (const char *method, const char *text, RequestTarget *target, Err *err);

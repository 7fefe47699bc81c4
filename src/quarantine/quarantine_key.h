/** @file
 * What a request has in common with other requests, and may be the cause of a server's end. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  QUARANTINE_PROMPT_PART, /* a part of the prompt, by itself */
  QUARANTINE_REQUEST,     /* hash of all of a request that is the same if it comes again */
  QUARANTINE_N_KINDS
} QuarantineKind;

typedef struct
{
  QuarantineKind kind;
  uint64_t id;
} QuarantineKey;

static inline bool
quarantine_key_equal (QuarantineKey a, QuarantineKey b)
{
  return a.kind == b.kind && a.id == b.id;
}

/** @file
 * The body of a model request: what the router needs of it, and the body that goes to the engine. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "core/err.h"
#include "core/tokens.h"
#include "dispatch/dispatch.h"

typedef struct
{
  char *model;
  char *forward; /* the body for the engine: with max_tokens, priority and usage asked for */
  size_t forward_len;
  bool stream;
  bool wants_usage;     /* the caller asked for the usage event of a stream */
  Tokens prompt_tokens; /* upper bound: one per byte of the body */
  Tokens max_tokens;
  PromptPart parts[DISPATCH_MAX_PARTS];
  size_t n_parts;
} ModelBody;

/** Parses a chat completion request. @return a talloc object under @p ctx, or NULL with
 * ERR_BAD_REQUEST. */
ModelBody *model_body_parse (const void *ctx, const char *body, size_t len, int priority, Err *err);

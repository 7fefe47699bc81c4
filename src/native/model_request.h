/** @file
 * The body of a model request: the fields that the router needs, and the body to forward to the
 * engine. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "core/err.h"
#include "core/tokens.h"
#include "dispatch/dispatch.h"

typedef struct
{
  char *model;
  char *forward_body; /* the body for the engine, with max_tokens, priority and include_usage set */
  size_t forward_body_len;
  bool stream;
  bool include_usage;   /* the client requested the usage event of its stream */
  Tokens prompt_tokens; /* upper bound: one token per byte of the body */
  Tokens max_tokens;
  PromptPart parts[DISPATCH_MAX_PARTS];
  size_t n_parts;
} ModelRequest;

/** Parses a chat completion request. @param priority for the engine; 0 is the most urgent. @return a
 * talloc object under @p ctx, or NULL with ERR_BAD_REQUEST. */
ModelRequest *model_request_parse (const void *ctx, const char *body, size_t len, int priority,
                                   Err *err);

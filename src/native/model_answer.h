/** @file
 * What the router reads from a model engine's answers. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "core/tokens.h"

typedef struct
{
  bool valid;      /* a JSON object */
  bool id_matches; /* its id is the attempt's */
  bool has_token;  /* it carries output */
  bool has_choices;
  Tokens used; /* prompt and completion by the engine's count; -1 if not stated */
} ModelAnswer;

/** Reads one event of a stream, or a whole answer. */
ModelAnswer model_answer_read (const char *json, size_t len, const char *id);

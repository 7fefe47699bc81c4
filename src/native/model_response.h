/** @file
 * Parser for the responses of inference engines. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "core/tokens.h"

typedef struct
{
  bool valid;      /* it is a JSON object */
  bool id_matches; /* its id is the given one */
  bool has_output; /* the delta of a choice has a non-empty member other than its role */
  bool has_choices;
  Tokens used; /* prompt and completion tokens as counted by the engine; -1 if not stated */
} ModelResponse;

/** Parses one event of a stream, or a complete response. @param id the expected id. */
ModelResponse model_response_parse (const char *json, size_t len, const char *id);

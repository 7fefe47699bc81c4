/** @file
 * Finds the end of a JSON value without parsing it, so that a long text can be parsed piece by piece. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/** State of the search for the end of one value. Zero at the value's first byte. */
typedef struct
{
  unsigned depth; /* open objects and arrays */
  bool in_string;
  bool escaped; /* the last byte was a backslash of a string */
  bool done;    /* the end was found */
} JsonSkip;

/** Continues the search in the next @p len bytes. Checks neither that brackets match nor what lies between them:
 * that is left to the parser of the pieces.
 * @return the number of bytes that belong to the value; all of them if s->done is still false. */
size_t json_skip (JsonSkip *s, const char *text, size_t len);

/** @return the number of bytes of white space at the start of @p text. */
size_t json_skip_space (const char *text, size_t len);

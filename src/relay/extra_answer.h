/** @file
 * Finds a second response in the body of one that has neither a length nor chunks. A faulty server may answer twice; with a length or chunks
 * the HTTP client leaves the second answer out, but here it would become a part of the first one's body. */
#pragma once

#include <stddef.h>

typedef enum
{
  EXTRA_ANSWER_NONE,
  EXTRA_ANSWER_FOUND,   /* the head of a response begins there */
  EXTRA_ANSWER_POSSIBLE /* a status line begins there, and the bytes end before the end of its head */
} ExtraAnswer;

/** @param id_header name of the header by which servers say which request they answer: only a head with it counts.
 * @param at set to where it begins. */
ExtraAnswer extra_answer_find (const char *bytes, size_t len, const char *id_header, size_t *at);

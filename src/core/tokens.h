/** @file
 * Token amounts. All budget arithmetic uses this integer type and is checked for overflow. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef int64_t Tokens;

/** Adds two amounts. @return false on overflow, with @p sum unchanged. */
static inline bool
tokens_add (Tokens a, Tokens b, Tokens *sum)
{
  Tokens r;

  if (__builtin_add_overflow (a, b, &r))
    return false;
  *sum = r;
  return true;
}

/** @return the sum of two amounts, saturated at the limits of the type on overflow. */
static inline Tokens
tokens_add_saturated (Tokens a, Tokens b)
{
  Tokens r;

  if (__builtin_add_overflow (a, b, &r))
    return a > 0 ? INT64_MAX : INT64_MIN;
  return r;
}

static inline Tokens
tokens_min (Tokens a, Tokens b)
{
  return a < b ? a : b;
}

static inline Tokens
tokens_max (Tokens a, Tokens b)
{
  return a > b ? a : b;
}

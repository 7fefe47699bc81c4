/** @file
 * Whole numbers in JSON that another program has written. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct
{
  int64_t min;
  int64_t max;
} IntegerRange;

/** @return false, with @p n unchanged, if @p value is not a whole number within @p range. A real without a fraction
 * counts as a whole number. */
bool json_integer_read (const json_t *value, IntegerRange range, int64_t *n);

/** @return the number without its fraction, or the end of @p range beyond which it lies; @p fallback if @p value is
 * missing or not a number. */
int64_t json_integer_limited (const json_t *value, IntegerRange range, int64_t fallback);

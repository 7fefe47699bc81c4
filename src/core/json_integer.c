#include "core/json_integer.h"

int64_t
json_integer_limited (const json_t *value, IntegerRange range, int64_t fallback)
{
  if (!json_is_number (value))
    return fallback;
  if (json_is_integer (value))
    {
      int64_t n = json_integer_value (value);

      return n < range.min ? range.min : n > range.max ? range.max : n;
    }
  /* The conversion of a real beyond the range of the type is undefined. The ends themselves may not be representable
   * as reals, hence "or equal". */
  if (json_real_value (value) <= (double)range.min)
    return range.min;
  if (json_real_value (value) >= (double)range.max)
    return range.max;
  return (int64_t)json_real_value (value);
}

bool
json_integer_read (const json_t *value, IntegerRange range, int64_t *n)
{
  int64_t number = json_integer_limited (value, range, range.min);

  if (!json_is_number (value))
    return false;
  if (json_is_integer (value) ? number != json_integer_value (value)
                              : (double)number != json_real_value (value))
    return false;
  *n = number;
  return true;
}

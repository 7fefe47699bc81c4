#include "budget/ceiling.h"

Tokens
ceiling_at (const Ceiling *c, int64_t age_ms)
{
  Tokens grown;

  if (age_ms < CEILING_GROWTH_DELAY_MS)
    return c->base;
  if (c->growth_per_s == CEILING_UNLIMITED)
    return c->max;
  if (__builtin_mul_overflow (c->growth_per_s, age_ms - CEILING_GROWTH_DELAY_MS, &grown))
    return c->max;
  return tokens_min (tokens_add_saturated (c->base, grown / 1000), c->max);
}

bool
ceiling_needs_consent (const Ceiling *c)
{
  return c->growth_per_s == CEILING_UNLIMITED && c->max != CEILING_UNLIMITED && c->max > c->base;
}

Ceiling
ceiling_without_consent (const Ceiling *c)
{
  if (!ceiling_needs_consent (c))
    return *c;
  return (Ceiling){ c->base, (c->max - c->base) / (CEILING_SLOW_GROWTH_MS / 1000), c->max };
}

Ceiling
ceiling_min (const Ceiling *a, const Ceiling *b)
{
  return (Ceiling){ tokens_min (a->base, b->base), tokens_min (a->growth_per_s, b->growth_per_s),
                    tokens_min (a->max, b->max) };
}

json_t *
ceiling_to_json (const Ceiling *c)
{
  return json_pack ("[I,I,I]", (json_int_t)c->base, (json_int_t)c->growth_per_s,
                    (json_int_t)c->max);
}

bool
ceiling_from_json (const json_t *json, Ceiling *c)
{
  json_int_t base;
  json_int_t growth_per_s;
  json_int_t max;

  if (json_unpack ((json_t *)json, "[I,I,I!]", &base, &growth_per_s, &max) != 0)
    return false;
  *c = (Ceiling){ base, growth_per_s, max };
  return base > -CEILING_UNLIMITED && growth_per_s >= 0 && max >= base;
}

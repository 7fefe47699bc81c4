#include "budget/ceiling.h"

Tokens
ceiling_at (const Ceiling *c, int64_t age_ms)
{
  Tokens grown;

  if (age_ms < CEILING_GROWTH_DELAY_MS)
    return c->tokens;
  if (c->per_s == CEILING_UNLIMITED)
    return c->most;
  if (__builtin_mul_overflow (c->per_s, age_ms - CEILING_GROWTH_DELAY_MS, &grown))
    return c->most;
  return tokens_min (tokens_add_saturated (c->tokens, grown / 1000), c->most);
}

Ceiling
ceiling_min (const Ceiling *a, const Ceiling *b)
{
  return (Ceiling){ tokens_min (a->tokens, b->tokens), tokens_min (a->per_s, b->per_s),
                    tokens_min (a->most, b->most) };
}

json_t *
ceiling_to_json (const Ceiling *c)
{
  return json_pack ("[I,I,I]", (json_int_t)c->tokens, (json_int_t)c->per_s, (json_int_t)c->most);
}

bool
ceiling_from_json (const json_t *json, Ceiling *c)
{
  json_int_t tokens;
  json_int_t per_s;
  json_int_t most;

  if (json_unpack ((json_t *)json, "[I,I,I!]", &tokens, &per_s, &most) != 0)
    return false;
  *c = (Ceiling){ tokens, per_s, most };
  return tokens >= 0 && per_s >= 0 && most >= tokens;
}

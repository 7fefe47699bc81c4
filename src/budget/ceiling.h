/** @file
 * One ceiling: what a host has published that it uses at most of its grants for an account. It holds for
 * CEILING_GROWTH_DELAY_MS. Without a newer one it then grows with the time, so that a
 * host that is cut off from the store can go on, and a new incarnation still knows what the old one
 * cannot have used. */
#pragma once

#include <jansson.h>

#include "core/tokens.h"

/** Without a newer ceiling for this long the published one grows. A restart takes less. */
#define CEILING_GROWTH_DELAY_MS 2200

/** No limit of a ceiling that grows. */
#define CEILING_UNLIMITED INT64_MAX

typedef struct
{
  Tokens tokens; /* while it holds */
  Tokens per_s;  /* that it grows by once it no longer holds */
  Tokens most;   /* that it grows to */
} Ceiling;

/** An account without grants: nothing is published of it, and nothing follows from that later. */
#define CEILING_NONE ((Ceiling){ 0, CEILING_UNLIMITED, CEILING_UNLIMITED })

/** @return what may be in use @p age_ms after the publication. */
Tokens ceiling_at (const Ceiling *ceiling, int64_t age_ms);

/** @return a ceiling that is nowhere above either one. */
Ceiling ceiling_min (const Ceiling *a, const Ceiling *b);

json_t *ceiling_to_json (const Ceiling *ceiling);

/** @return false if @p json is no ceiling. */
bool ceiling_from_json (const json_t *json, Ceiling *ceiling);

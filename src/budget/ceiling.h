/** @file
 * A usage ceiling: the published upper bound on what a host uses of its own grants for an account. The bound is
 * constant for CEILING_GROWTH_DELAY_MS after publication. If no newer ceiling replaces it, it then grows with time:
 * a host that cannot reach the store can keep serving requests, and the next incarnation of the host can still
 * compute how much the previous one cannot have used. */
#pragma once

#include <stdbool.h>

#include <jansson.h>

#include "core/tokens.h"

/** Time after publication at which a ceiling starts to grow. Longer than the restart of a host takes. */
#define CEILING_GROWTH_DELAY_MS 2200

/** Without consent a ceiling grows to its maximum within this time: a host that is down for a few seconds loses
 * little of it, and one that reaches neither the store nor its witness still serves some requests. */
#define CEILING_SLOW_GROWTH_MS 30000

/** Value of growth_per_s or max that sets no bound. */
#define CEILING_UNLIMITED INT64_MAX

typedef struct
{
  Tokens base; /* bound until growth starts; negative: that much of what others granted is left */
  Tokens growth_per_s; /* CEILING_UNLIMITED: rises to max at once */
  Tokens max;          /* growth stops here */
} Ceiling;

/** The ceiling of an account without grants. It is not published: an account that is missing from a publication has
 * used nothing before ceilings start to grow, and has no bound after that. */
#define CEILING_NONE ((Ceiling){ 0, CEILING_UNLIMITED, CEILING_UNLIMITED })

/** @return the bound on tokens in use, @p age_ms after publication. */
Tokens ceiling_at (const Ceiling *ceiling, int64_t age_ms);

/** @return the bound of an account without any use if the witness has not consented to growth (growth_consent.h): it
 * reaches the maximum CEILING_SLOW_GROWTH_MS after growth starts. Other ceilings are returned unchanged. */
Ceiling ceiling_without_consent (const Ceiling *ceiling);

/** @return whether ceiling_without_consent() differs. */
bool ceiling_needs_consent (const Ceiling *ceiling);

/** @return a ceiling that does not exceed @p a or @p b at any age. */
Ceiling ceiling_min (const Ceiling *a, const Ceiling *b);

/** @return a new reference, owned by the caller. */
json_t *ceiling_to_json (const Ceiling *ceiling);

/** @return false if @p json is not a valid ceiling; @p ceiling may then have been changed. */
bool ceiling_from_json (const json_t *json, Ceiling *ceiling);

#include "budget/ceiling_previous.h"

#include <stdio.h>
#include <string.h>

/* Added to the age of the previous incarnation's ceilings, for rounding and for clocks whose rates differ by up to
 * 4 %. */
#define CLOCK_MARGIN_MS      100
#define CLOCK_MARGIN_DIVISOR 25

/* A name that is too long is none of ours. */
static void
load_witness (CeilingPrevious *p, const json_t *json)
{
  const char *host = json_string_value (json_object_get (json, "witness"));

  p->publication = (uint64_t)json_integer_value (json_object_get (json, "publication"));
  if (!host || p->publication == 0 || strlen (host) >= sizeof p->witness.host)
    return;
  snprintf (p->witness.host, sizeof p->witness.host, "%s", host);
  p->witness.incarnation
      = (uint64_t)json_integer_value (json_object_get (json, "witness_incarnation"));
  if (p->age_ms >= 0 && p->witness.host[0] && !ceiling_previous_is_fresh (p))
    p->consent = CONSENT_ASKED;
}

void
ceiling_previous_load (CeilingPrevious *p, const CeilingPreviousRow *row)
{
  json_t *json = json_loadb (row->text ? row->text : "", row->len, 0, NULL);
  int64_t written_ms = json_integer_value (json_object_get (json, "store_time_ms"));
  int64_t age = row->store_time_ms - written_ms;

  p->incarnation = (uint64_t)json_integer_value (json_object_get (json, "incarnation"));
  /* A row of another era may be older than the ceilings that the previous incarnation used. */
  if (json_integer_value (json_object_get (json, "era")) != row->era)
    age = -1;
  p->ceilings = json_incref (json_object_get (json, "ceilings"));
  if (written_ms > 0 && age >= 0 && p->incarnation != row->own_incarnation)
    p->age_ms = age + CLOCK_MARGIN_MS + age / CLOCK_MARGIN_DIVISOR;
  load_witness (p, json);
  json_decref (json);
}

void
ceiling_previous_clear (CeilingPrevious *p)
{
  json_decref (p->ceilings);
  *p = CEILING_PREVIOUS_INIT;
}

void
ceiling_previous_set_consent (CeilingPrevious *p, const WitnessId *witness, uint64_t publication)
{
  if (p->consent != CONSENT_ASKED || strcmp (witness->host, p->witness.host) != 0)
    return;
  if (witness->incarnation != p->witness.incarnation)
    p->consent = CONSENT_UNKNOWN;
  else
    p->consent = publication >= p->publication ? CONSENT_GIVEN : CONSENT_NOT_GIVEN;
}

void
ceiling_previous_give_up (CeilingPrevious *p)
{
  if (p->consent == CONSENT_ASKED)
    p->consent = CONSENT_UNKNOWN;
}

bool
ceiling_previous_is_pending (const CeilingPrevious *p, const char *account)
{
  Ceiling ceiling;

  return p->consent == CONSENT_ASKED
         && ceiling_from_json (json_object_get (p->ceilings, account), &ceiling)
         && ceiling_needs_consent (&ceiling);
}

bool
ceiling_previous_has (const CeilingPrevious *p, const char *account)
{
  return p->age_ms >= 0 && json_object_get (p->ceilings, account);
}

bool
ceiling_previous_is_fresh (const CeilingPrevious *p)
{
  return p->age_ms >= 0 && p->age_ms < CEILING_GROWTH_DELAY_MS;
}

static Tokens
bound (const CeilingPrevious *p, const Ceiling *published)
{
  Ceiling ceiling
      = p->consent == CONSENT_NOT_GIVEN ? ceiling_without_consent (published) : *published;

  return ceiling_at (&ceiling, p->age_ms);
}

Tokens
ceiling_previous_max (const CeilingPrevious *p, uint64_t incarnation, const char *account)
{
  Ceiling ceiling;

  if (p->age_ms < 0 || incarnation != p->incarnation)
    return -1;
  if (!ceiling_from_json (json_object_get (p->ceilings, account), &ceiling))
    return ceiling_previous_is_fresh (p) && !json_object_get (p->ceilings, account) ? 0 : -1;
  return tokens_max (bound (p, &ceiling), 0);
}

Tokens
ceiling_previous_held (const CeilingPrevious *p, const char *account)
{
  Ceiling ceiling;

  if (p->age_ms < 0 || !ceiling_from_json (json_object_get (p->ceilings, account), &ceiling))
    return 0;
  return -tokens_min (bound (p, &ceiling), 0);
}

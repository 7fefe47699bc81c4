/** @file
 * The ceilings that the previous incarnation of this host published last, and what it can have used by them. */
#pragma once

#include "budget/ceiling.h"
#include "budget/growth_consent.h"
#include "core/tokens.h"

typedef enum
{
  CONSENT_NOT_NAMED, /* the publication names no witness: ceilings grew as published */
  CONSENT_ASKED,     /* the witness has not replied yet */
  CONSENT_UNKNOWN,   /* the witness has started again, or did not reply: as if it had consented */
  CONSENT_GIVEN,
  CONSENT_NOT_GIVEN
} PreviousConsent;

typedef struct
{
  json_t *ceilings; /* by account; owned */
  uint64_t incarnation;
  /* Upper bound on the age of the ceilings at the start of this incarnation; -1: unknown. */
  int64_t age_ms;
  WitnessId witness;
  uint64_t publication;
  PreviousConsent consent;
} CeilingPrevious;

#define CEILING_PREVIOUS_INIT ((CeilingPrevious){ .age_ms = -1 })

typedef struct
{
  const char *text; /* the row */
  size_t len;
  int64_t store_time_ms; /* of the reply with the row */
  int64_t era;           /* of the store */
  uint64_t own_incarnation;
} CeilingPreviousRow;

/** Reads the row. */
void ceiling_previous_load (CeilingPrevious *previous, const CeilingPreviousRow *row);

void ceiling_previous_clear (CeilingPrevious *previous);

/** The witness has consented to growth after publication @p publication of the previous incarnation, or to none of them
 * if 0. */
void ceiling_previous_set_consent (CeilingPrevious *previous, const WitnessId *witness,
                                   uint64_t publication);

/** The witness does not reply. */
void ceiling_previous_give_up (CeilingPrevious *previous);

/** @return whether the bound of the account depends on a reply of the witness that is still awaited. */
bool ceiling_previous_is_pending (const CeilingPrevious *previous, const char *account);

/** @return whether a ceiling of known age was published for the account. */
bool ceiling_previous_has (const CeilingPrevious *previous, const char *account);

/** @return whether no ceiling has grown yet. */
bool ceiling_previous_is_fresh (const CeilingPrevious *previous);

/** @return tokens that the previous incarnation certainly held beyond its own grants, from transfers, when it ended. */
Tokens ceiling_previous_held (const CeilingPrevious *previous, const char *account);

/** @return an upper bound on what the previous incarnation has used of its grants. -1: none is known, for example
 * because @p incarnation did not write the row; all its grants then count as used. */
Tokens ceiling_previous_max (const CeilingPrevious *previous, uint64_t incarnation,
                             const char *account);

/** @file
 * Which of two growths applies to the ceilings that a host has published for accounts without any use. Guards unused
 * balances against losses of power of single hosts: without it a host that was down for longer than
 * CEILING_GROWTH_DELAY_MS might have used its whole grant of each such account, a fifth of the limit.
 *
 * A publication names another host as its witness. Ceilings of unused accounts then rise to the whole grant only if the
 * witness has consented after the publication, and slowly otherwise (ceiling_without_consent()). The next incarnation
 * asks the witness. Stateless but for the struct: no message, clock or lock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Longer names of hosts are not used as witnesses. */
#define WITNESS_NAME_BYTES 128

typedef struct
{
  char host[WITNESS_NAME_BYTES]; /* empty: none */
  uint64_t incarnation;
} WitnessId;

typedef struct
{
  WitnessId witness;    /* named in the last publication sent */
  bool is_certain;      /* every publication that the store may have names this witness */
  uint64_t publication; /* number of the last one sent */
  uint64_t consented;   /* the last one that the witness has consented to */
} GrowthConsent;

#define GROWTH_CONSENT_INIT ((GrowthConsent){ .is_certain = true })

/** Records a publication that is about to be sent. @p witness is NULL for none. */
void growth_consent_sent (GrowthConsent *consent, const WitnessId *witness);

/** The last publication has committed. */
void growth_consent_committed (GrowthConsent *consent);

/** The host @p witness has consented to growth after the publication. */
void growth_consent_received (GrowthConsent *consent, const WitnessId *witness,
                              uint64_t publication);

/** @return whether the ceilings grow as published, rather than slowly. */
bool growth_consent_is_given (const GrowthConsent *consent);

#include "budget/growth_consent.h"

#include <string.h>

static bool
is_same (const WitnessId *a, const WitnessId *b)
{
  return a->incarnation == b->incarnation && !strcmp (a->host, b->host);
}

/* While the result of a publication is unknown, the store may have an earlier one that names another witness, which the
 * next incarnation would ask. */
void
growth_consent_sent (GrowthConsent *c, const WitnessId *witness)
{
  static const WitnessId NONE = { 0 };
  const WitnessId *named = witness ? witness : &NONE;

  c->publication++;
  if (is_same (&c->witness, named))
    return;
  c->witness = *named;
  c->is_certain = false;
  c->consented = 0;
}

void
growth_consent_committed (GrowthConsent *c)
{
  c->is_certain = true;
}

void
growth_consent_received (GrowthConsent *c, const WitnessId *witness, uint64_t publication)
{
  if (is_same (&c->witness, witness) && publication > c->consented)
    c->consented = publication;
}

bool
growth_consent_is_given (const GrowthConsent *c)
{
  return c->is_certain && (!c->witness.host[0] || c->consented >= c->publication);
}

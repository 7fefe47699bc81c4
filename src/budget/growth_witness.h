/** @file
 * Exchanges messages about the growth of ceilings (growth_consent.h): selects this host's witness among the other hosts,
 * obtains its consent, asks the witness of the previous incarnation, and is the witness of other hosts. A lost message
 * only delays: the caller asks again. Control loop. */
#pragma once

#include "budget/coordinators.h"
#include "budget/growth_consent.h"
#include "core/timers.h"
#include "peer/peer_transport.h"

typedef struct GrowthWitness GrowthWitness;

typedef struct
{
  const char *host;
  uint64_t incarnation;
  PeerTransport *peers; /* NULL: this host is the only one, and has no witness */
  const Coordinators *coordinators;
  /** @p witness states the last publication of @p incarnation that it has consented to; 0: none. */
  void (*replied) (void *data, const WitnessId *witness, uint64_t incarnation,
                   uint64_t publication);
  void *data;
} GrowthWitnessOptions;

/** @return a talloc object under @p ctx. */
GrowthWitness *growth_witness_new (const void *ctx, const GrowthWitnessOptions *options);

/** Checks that the witness responds, and selects another one if it does not. Call it regularly while a witness is
 * needed. */
void growth_witness_step (GrowthWitness *witness, int64_t now_ms);

/** @return this host's witness, or NULL if none has responded lately. */
const WitnessId *growth_witness_current (const GrowthWitness *witness);

/** Asks the witness to consent to growth after the publication. */
void growth_witness_request (GrowthWitness *witness, const WitnessId *id, uint64_t publication);

/** Asks the witness for the last publication of this host's @p incarnation that it has consented to. */
void growth_witness_query (GrowthWitness *witness, const WitnessId *id, uint64_t incarnation);

/** Handles a message. @return false if it does not belong to this module. */
bool growth_witness_on_message (GrowthWitness *witness, const Pond__Envelope *envelope);

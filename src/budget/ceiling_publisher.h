/** @file
 * Publishes the usage ceilings (ceiling.h) of all accounts on this host in one row of the store. From the last row
 * of the previous incarnation, a new incarnation computes how many grants were certainly not used, and reclaims them.
 *
 * This is safe only if the monotonic clocks of the store and of the hosts run at the same rate within the margin in
 * ceiling_publisher.c, and if at most one process of a host runs at a time. Control loop. */
#pragma once

#include "budget/ceiling.h"
#include "budget/ceiling_previous.h"
#include "budget/growth_consent.h"
#include "core/rng.h"
#include "core/timers.h"
#include "core/tokens.h"
#include "store/store.h"

typedef struct CeilingPublisher CeilingPublisher;

/** Receives the next ceiling of one account. */
typedef void (*CeilingFn) (void *data, const char *account, const Ceiling *ceiling);

typedef struct
{
  /** Calls @p fn with the next ceiling of each account with grants. From then on the receiver keeps to the lower of
   * this and the effective ceiling of each account. */
  void (*collect) (void *data, CeilingFn fn, void *fn_data);
  /** The ceilings of the previous incarnation have been read. */
  void (*ready) (void *data);
  /** @p committed: the collected ceilings have been published and are effective. Otherwise the publication was refused,
   * or was given up although it may still commit. */
  void (*published) (void *data, bool committed);
  /** @return the host that is to be named as witness of unused accounts; NULL for none. */
  const WitnessId *(*witness) (void *data);
} CeilingPublisherEvents;

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
  const char *host;
  uint64_t incarnation;
  const CeilingPublisherEvents *events;
  void *data;
} CeilingPublisherOptions;

/** Reads the ceilings of the previous incarnation, then publishes at intervals. @return a talloc object under
 * @p ctx. */
CeilingPublisher *ceiling_publisher_new (const void *ctx, const CeilingPublisherOptions *options);

/** Publishes as soon as possible, because a request needs a higher ceiling. */
void ceiling_publisher_publish_soon (CeilingPublisher *publisher);

/** Sets the number of hosts, which determines the publication interval. */
void ceiling_publisher_set_hosts (CeilingPublisher *publisher, int hosts);

/** @return true once the ceilings of the previous incarnation have been read. */
bool ceiling_publisher_is_ready (const CeilingPublisher *publisher);

/** @return the ceilings of the previous incarnation. The caller asks the witness that they name. */
CeilingPrevious *ceiling_publisher_previous (CeilingPublisher *publisher);

/** See ceiling_previous_max(), ceiling_previous_has() and ceiling_previous_is_pending(). */
Tokens ceiling_publisher_previous_max (const CeilingPublisher *publisher, uint64_t incarnation,
                                       const char *account);
bool ceiling_publisher_has_previous (const CeilingPublisher *publisher, const char *account);
bool ceiling_publisher_is_previous_pending (const CeilingPublisher *publisher, const char *account);

/** @return the bound that a published ceiling of this host sets at @p now_ms, or CEILING_UNLIMITED if nothing has
 * been published yet. @p without_consent applies instead of @p ceiling while growth needs a consent that has not been
 * given. Any thread. */
Tokens ceiling_publisher_effective (const CeilingPublisher *publisher, const Ceiling *ceiling,
                                    const Ceiling *without_consent, int64_t now_ms);

/** @return whether a ceiling of the last publication grows in full only with consent. */
bool ceiling_publisher_wants_witness (const CeilingPublisher *publisher);

/** @return the witness and publication for which consent should be requested now; NULL if none is needed. */
const GrowthConsent *ceiling_publisher_needs_consent (const CeilingPublisher *publisher,
                                                      int64_t now_ms);

/** The witness has consented to growth after the publication. */
void ceiling_publisher_consent (CeilingPublisher *publisher, const WitnessId *witness,
                                uint64_t publication);

/** @return the time at which the published ceilings start to grow if no newer ones replace them. Any thread. */
int64_t ceiling_publisher_growth_start_ms (const CeilingPublisher *publisher);

/** @return whether no publication can start yet, or one has had no known result for longer than a lost reply and the
 * read after it take. */
bool ceiling_publisher_is_stalled (const CeilingPublisher *publisher, int64_t now_ms);

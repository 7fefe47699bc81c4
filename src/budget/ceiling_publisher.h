/** @file
 * What this host publishes of its own grants: for each account a ceiling of what it uses of them, ceiling.h.
 * A new incarnation knows by the last ones what the old one cannot have used, and takes it back.
 *
 * The argument needs the steady clocks of store and hosts to run at the same rate, and no more than one
 * process of a host at a time. Control loop. */
#pragma once

#include "budget/ceiling.h"
#include "core/rng.h"
#include "core/timers.h"
#include "core/tokens.h"
#include "store/store.h"

typedef struct CeilingPublisher CeilingPublisher;

/** Takes one account's next ceiling. */
typedef void (*CeilingFn) (void *data, const char *account, const Ceiling *ceiling);

typedef struct
{
  /** Calls @p fn for each account with grants, and notes the ceilings as on their way. */
  void (*collect) (void *data, CeilingFn fn, void *fn_data);
  /** It is known what the last incarnation published. */
  void (*ready) (void *data);
  /** What was collected is published, or surely not. */
  void (*published) (void *data, bool done);
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

/** Reads what the last incarnation published, then publishes at intervals. @return a talloc object under
 * @p ctx. */
CeilingPublisher *ceiling_publisher_new (const void *ctx, const CeilingPublisherOptions *options);

/** Publishes soon, because a request needs a higher ceiling. */
void ceiling_publisher_publish_soon (CeilingPublisher *ceilings);

void ceiling_publisher_set_hosts (CeilingPublisher *ceilings, int hosts);

/** @return true once it is known what the last incarnation published. */
bool ceiling_publisher_is_ready (const CeilingPublisher *ceilings);

/** @return what the last incarnation can have used at most, or -1 if nothing can be concluded: then
 * everything that it was granted counts as used. */
Tokens ceiling_publisher_previous_max (const CeilingPublisher *ceilings, uint64_t incarnation,
                                       const char *account);

/** @return whether the last incarnation published a ceiling of the account that may be trusted. */
bool ceiling_publisher_has_previous (const CeilingPublisher *ceilings, const char *account);

/** @return what may be in use now under a ceiling that this host has published, or CEILING_UNLIMITED as
 * long as it has published none. Any thread. */
Tokens ceiling_publisher_effective (const CeilingPublisher *ceilings, const Ceiling *ceiling,
                                    int64_t now_ms);

/** @return the time from which on the ceilings grow if no newer ones are published. Any thread. */
int64_t ceiling_publisher_growth_start_ms (const CeilingPublisher *ceilings);

/** @return whether a publication has been without an answer for longer than the store usually takes. */
bool ceiling_publisher_is_stalled (const CeilingPublisher *ceilings, int64_t now_ms);

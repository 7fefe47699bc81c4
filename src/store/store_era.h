/** @file
 * The era (restore generation) of the store. It increases by one each time the store is restored from a backup,
 * which may be some seconds old. Writes made after the backup are lost, and their version numbers are assigned
 * again, so versions of different eras cannot simply be compared. Control loop only. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"

typedef struct
{
  int64_t current;  /* the store's number plus one; 0: no reply has had one yet */
  int64_t since_ms; /* when a reply first had the current era, by the loop's clock */
  List listeners;
  bool has_listeners; /* the list is initialised */
} StoreEra;

/** Notified of a restore before any reply of the new era is delivered. Must stay valid while subscribed. */
typedef struct
{
  ListNode node;
  void (*restored) (void *data, int64_t era);
  void *data;
} StoreEraListener;

/** Listeners are notified in the order of subscription. list_remove() of the node unsubscribes. */
void store_era_subscribe (StoreEra *era, StoreEraListener *listener);

/** Records the era of a reply, as returned by store_era_parse(), and notifies the listeners if an earlier era
 * was known and this one is higher. */
void store_era_observe (StoreEra *era, int64_t reply_era, int64_t now_ms);

/** @return the era in the text of a header plus one, or 0 after a log line if the text is not a valid number. */
int64_t store_era_parse (const char *text);

/** @return whether a reply may be used: neither the reply nor its call is from an older era.
 * @param reply_era 0 if the reply has none. @param call_era the era that was current when the call started; 0 if
 * none was known then. */
bool store_era_accepts (const StoreEra *era, int64_t reply_era, int64_t call_era);

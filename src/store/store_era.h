/** @file
 * The store's era. It rises by one each time the store comes back from a copy that is some seconds old: what was
 * written since the copy is gone, and its versions are given out again. A version of one era is never compared with
 * one of another. Control loop. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"

typedef struct
{
  int64_t now;      /* one more than the store states; 0: it states none */
  int64_t since_ms; /* when it was first heard, by the loop's clock */
  List listeners;
  bool has_listeners; /* the list is initialised */
} StoreEra;

/** Is told that the store went back, before any answer of the new era. Lives as long as the store. */
typedef struct
{
  ListNode node;
  void (*went_back) (void *data, int64_t era);
  void *data;
} StoreEraListener;

/** Listeners are told in the order in which they were added. */
void store_era_listen (StoreEra *era, StoreEraListener *listener);

/** Takes over the era of an answer, as store_era_parse() returns it; tells the listeners if it has risen. */
void store_era_note (StoreEra *era, int64_t stated, int64_t now_ms);

/** @return the era in the text of a header, one more than it states, or 0 after a log line if it is no number of
 * eras. */
int64_t store_era_parse (const char *text);

/** @return whether an answer may be used: it is of this era, and so was its call (@p begun: the era then). */
bool store_era_holds (const StoreEra *era, int64_t stated, int64_t begun);

#include "store/store_era.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

#include "core/log.h"

void
store_era_subscribe (StoreEra *e, StoreEraListener *listener)
{
  if (!e->has_listeners)
    list_init (&e->listeners);
  e->has_listeners = true;
  list_append (&e->listeners, &listener->node);
}

void
store_era_observe (StoreEra *e, int64_t reply_era, int64_t now_ms)
{
  int64_t previous = e->current;

  if (reply_era <= e->current)
    return;
  e->current = reply_era;
  e->since_ms = now_ms;
  if (previous == 0)
    return;
  log_event (LOG_LEVEL_WARNING, "store", "went_back", "era=%" PRId64 " before=%" PRId64, e->current,
             previous);
  for (ListNode *n = e->has_listeners ? list_first (&e->listeners) : NULL; n;
       n = list_next (&e->listeners, n))
    {
      StoreEraListener *listener = LIST_ENTRY (n, StoreEraListener, node);

      listener->restored (listener->data, e->current);
    }
}

int64_t
store_era_parse (const char *text)
{
  char *end = NULL;
  long long era;

  errno = 0;
  era = strtoll (text, &end, 10);
  if (end != text && !*end && errno == 0 && era >= 0 && era < INT64_MAX)
    return era + 1;
  log_event (LOG_LEVEL_WARNING, "store", "era_ignored", "value=\"%.40s\"", text);
  return 0;
}

bool
store_era_accepts (const StoreEra *e, int64_t reply_era, int64_t call_era)
{
  if (reply_era > 0 && reply_era < e->current)
    return false;
  return call_era == 0 || call_era == e->current;
}

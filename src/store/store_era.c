#include "store/store_era.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

#include "core/log.h"

void
store_era_listen (StoreEra *e, StoreEraListener *listener)
{
  if (!e->has_listeners)
    list_init (&e->listeners);
  e->has_listeners = true;
  list_append (&e->listeners, &listener->node);
}

void
store_era_note (StoreEra *e, int64_t stated, int64_t now_ms)
{
  int64_t before = e->now;

  if (stated <= e->now)
    return;
  e->now = stated;
  e->since_ms = now_ms;
  if (before == 0)
    return;
  log_event (LOG_LEVEL_WARNING, "store", "went_back", "era=%" PRId64 " before=%" PRId64, e->now,
             before);
  for (ListNode *n = e->has_listeners ? list_first (&e->listeners) : NULL; n;
       n = list_next (&e->listeners, n))
    {
      StoreEraListener *listener = LIST_ENTRY (n, StoreEraListener, node);

      listener->went_back (listener->data, e->now);
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
store_era_holds (const StoreEra *e, int64_t stated, int64_t begun)
{
  if (stated > 0 && stated < e->now)
    return false;
  return begun == 0 || begun == e->now;
}

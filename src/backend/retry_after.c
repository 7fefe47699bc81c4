#include "backend/retry_after.h"

#include <math.h>
#include <stdlib.h>

#include "core/log.h"

int64_t
retry_after_read (BackendCall *call)
{
  const char *text = backend_header (call, "Retry-After");
  char *end = NULL;
  double ms = text ? 1000 * strtod (text, &end) : 0;

  if (!text)
    return 0;
  if (end == text || *end || !isfinite (ms) || ms <= 0)
    {
      log_event (LOG_LEVEL_NOTICE, "backend", "retry_after_ignored", "value=\"%.40s\"", text);
      return 0;
    }
  if (ms <= RETRY_AFTER_MAX_MS)
    return (int64_t)ceil (ms);
  log_event (LOG_LEVEL_NOTICE, "backend", "retry_after_bounded", "value=\"%.40s\"", text);
  return RETRY_AFTER_MAX_MS;
}

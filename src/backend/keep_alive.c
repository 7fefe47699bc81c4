#include "backend/keep_alive.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Longer times have no further effect on connection reuse. */
#define MAX_TIMEOUT_S 3600

static int64_t
parse_timeout (const char *header)
{
  const char *at = header ? strcasestr (header, "timeout=") : NULL;
  long seconds = at ? strtol (at + strlen ("timeout="), NULL, 10) : 0;

  if (seconds <= 0)
    return 0;
  return (seconds < MAX_TIMEOUT_S ? seconds : MAX_TIMEOUT_S) * 1000;
}

KeepAlive
keep_alive_read (BackendCall *call)
{
  const char *connection = backend_header (call, "Connection");

  return (KeepAlive){ .timeout_ms = parse_timeout (backend_header (call, "Keep-Alive")),
                      .closes_connection = connection && strcasestr (connection, "close") };
}

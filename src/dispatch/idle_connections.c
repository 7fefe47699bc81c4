#include "dispatch/idle_connections.h"

/* Lower bound, also used without an announced keep-alive time-out. A server may close a connection
 * that has been idle for longer while a request is on its way, and a request that must not run
 * twice would then be lost. */
#define MIN_LIMIT_MS 2000

/* Subtracted from the announced time-out, for the transit time of the request and for servers that
 * count whole seconds. */
#define KEEP_ALIVE_MARGIN_MS 2000

#define MAX_LIMIT_MS 8000

int64_t
idle_connections_limit_ms (const IdleConnections *c)
{
  int64_t ms = c->keep_alive_ms - KEEP_ALIVE_MARGIN_MS;

  if (ms < MIN_LIMIT_MS)
    ms = MIN_LIMIT_MS;
  return ms < MAX_LIMIT_MS ? ms : MAX_LIMIT_MS;
}

bool
idle_connections_available (const IdleConnections *c, int64_t now_ms)
{
  return c->count > 0 && now_ms - c->last_idle_ms < idle_connections_limit_ms (c);
}

void
idle_connections_take (IdleConnections *c, int64_t now_ms)
{
  if (idle_connections_available (c, now_ms))
    c->count--;
  else
    c->count = 0;
}

void
idle_connections_add (IdleConnections *c, int64_t now_ms)
{
  if (!idle_connections_available (c, now_ms))
    c->count = 0;
  c->count++;
  c->last_idle_ms = now_ms;
}

void
idle_connections_set_keep_alive (IdleConnections *c, int64_t keep_alive_ms)
{
  c->keep_alive_ms = keep_alive_ms;
}

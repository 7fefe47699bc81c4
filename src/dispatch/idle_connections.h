/** @file
 * Estimates this host's idle connections to one backend server; the HTTP client owns the
 * connections themselves. It shows which servers a request can reach without a new connection;
 * a new one takes a connection slot of the server and may be refused. No state but the struct; lock
 * "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int count;
  int64_t last_idle_ms;  /* when the last one became idle */
  int64_t keep_alive_ms; /* keep-alive time-out that the server announced; 0: none */
} IdleConnections;

/** @return how long a connection may have been idle and still be reused. */
int64_t idle_connections_limit_ms (const IdleConnections *connections);

/** @return whether a connection can be reused. */
bool idle_connections_available (const IdleConnections *connections, int64_t now_ms);

/** A request is sent: it reuses an idle connection if there is one that is not too old. */
void idle_connections_take (IdleConnections *connections, int64_t now_ms);

/** A connection has become idle after a complete response. */
void idle_connections_add (IdleConnections *connections, int64_t now_ms);

/** The server has announced its keep-alive time-out. */
void idle_connections_set_keep_alive (IdleConnections *connections, int64_t keep_alive_ms);

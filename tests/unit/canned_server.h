/** @file
 * A TCP server on its own thread that sends the same bytes as the response on every connection. */
#pragma once

#include <pthread.h>

typedef struct
{
  int listener;
  const char *response; /* NULL: closes the connection without a response */
  pthread_t thread;
  _Atomic int requests;
} CannedServer;

/** @param response sent unchanged; must stay valid until canned_server_stop(). NULL closes without a response.
 * @return the address, a talloc string under @p ctx. */
char *canned_server_start (void *ctx, CannedServer *server, const char *response);
void canned_server_stop (CannedServer *server);

/** @return an address that refuses connections. It stays bound until @p ctx is freed, so that no other
 * process can use it. */
char *closed_address (void *ctx);

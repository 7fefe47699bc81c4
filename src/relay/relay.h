/** @file
 * The state machine of one client request, free of sockets: reserve budget, choose a server, send, pass
 * the answer on, settle. Every call is on the worker's thread. */
#pragma once

#include "relay/buffer_quota.h"
#include "backend/backend.h"
#include "budget/budgets.h"
#include "core/timers.h"
#include "dispatch/dispatch.h"
#include "relay/dialect.h"
#include "relay/relay_request.h"

typedef struct Relay Relay;

/** Where the answer goes. The entry implements it over HTTP; tests record it. */
typedef struct
{
  /** A whole answer. */
  void (*respond) (void *data, int status, const RelayHeader *headers, size_t n_headers,
                   const char *body, size_t len);
  /** Starts a streamed answer. */
  void (*begin) (void *data, int status, const RelayHeader *headers, size_t n_headers);
  /** @return false to hold back until relay_client_writable(); the bytes are taken all the same. */
  bool (*write) (void *data, const char *bytes, size_t len);
  /** Ends a streamed answer that is complete. */
  void (*end) (void *data);
  /** Breaks a streamed answer off, so that it cannot be taken for complete. */
  void (*abort) (void *data);
  /** The relay is about to be freed: drop the pointer to it. */
  void (*released) (void *data);
} RelayClientOps;

/** What a relay needs from the rest of the host. */
typedef struct
{
  Timers *timers;
  Poster poster; /* to the worker's own loop */
  Backend *backend;
  Dispatch *dispatch;
  Budgets *budgets;
  Dialect *dialect;
  size_t max_response_bytes;   /* bytes of an answer that is not streamed */
  BufferQuota *response_quota; /* of the worker */
  bool charge_failed;          /* whatever may have run is charged, not only what the client got */
} RelayDeps;

/** Starts a relay, which frees itself after released. @p request and what it points to must live in
 * @p memory, which the relay takes over.
 * @return the relay, or NULL if it has been answered already. */
Relay *relay_new (const RelayDeps *deps, void *memory, const RelayRequest *request,
                  int64_t received_ms, const RelayClientOps *client, void *client_data);

/** The client went away: no more calls to RelayClientOps; the work is cancelled. */
void relay_client_gone (Relay *relay);

/** The client's buffer is empty again after write returned false. */
void relay_client_writable (Relay *relay);

/** Answers a request that does not get as far as a relay. */
void relay_refuse (const RelayDeps *deps, const char *request_id, const Err *err,
                   const RelayClientOps *client, void *client_data);

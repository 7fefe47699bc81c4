/** @file
 * The state machine of one client request, independent of sockets: reserve budget, choose a server, send the
 * request, forward the response, settle the reservation. Every call is on the worker's thread. */
#pragma once

#include "backend/backend.h"
#include "budget/budgets.h"
#include "core/timers.h"
#include "dispatch/dispatch.h"
#include "overload/overload.h"
#include "quarantine/quarantine.h"
#include "relay/dialect.h"
#include "relay/relay_request.h"
#include "relay/response_room.h"
#include "streams/streams.h"

typedef struct Relay Relay;

/** The connection to the client: implemented over HTTP in production, recorded in tests. */
typedef struct
{
  /** Sends a complete response. */
  void (*respond) (void *data, int status, const RelayHeader *headers, size_t n_headers,
                   const char *body, size_t len);
  /** Starts a streamed response. */
  void (*begin) (void *data, int status, const RelayHeader *headers, size_t n_headers);
  /** Sends part of a streamed response. The bytes are accepted in any case.
   * @return false if no more should be written until relay_client_writable(). */
  bool (*write) (void *data, const char *bytes, size_t len);
  /** Ends a streamed response that is complete. */
  void (*end) (void *data);
  /** Aborts a streamed response, so that the client can't take it for complete. */
  void (*abort) (void *data);
  /** The relay is about to be freed; drop the pointer to it. */
  void (*released) (void *data);
  /** Takes a talloc object over, to be freed once the client has taken the response, or has left. May be NULL. */
  void (*keep) (void *data, void *object);
} RelayClientOps;

/** The objects and settings of its worker and host that a relay uses. */
typedef struct
{
  Timers *timers;
  Executor executor; /* posts to the worker's own loop */
  Backend *backend;
  Dispatch *dispatch;
  Quarantine *quarantine;
  Overload *overload; /* NULL: every request is admitted */
  Streams *
      streams; /* NULL: what begins a stream is not recorded, and taken up streams go to any server */
  Budgets *budgets;
  Dialect *dialect;
  size_t max_response_bytes;   /* limit of a response that is not streamed */
  ResponseRoom *response_room; /* shared by the requests of the worker */
  bool charge_failed;          /* charge failed requests too, if they may have run */
} RelayDeps;

/** Starts a relay, which frees itself after the released callback. @p request and what it points to must
 * live as long as the relay; the relay takes over the talloc object @p memory for this.
 * @return the relay, or NULL if the response has been sent already. */
Relay *relay_new (const RelayDeps *deps, void *memory, const RelayRequest *request,
                  int64_t received_ms, const RelayClientOps *client, void *client_data);

/** The client has disconnected: cancels the request and frees the relay. No function of RelayClientOps is
 * called any more, not even released. */
void relay_client_gone (Relay *relay);

/** The client's send buffer has been drained after write returned false. */
void relay_client_writable (Relay *relay);

/** Sends the error response to a request that was rejected before a relay was started. */
void relay_refuse (const RelayDeps *deps, const char *request_id, const Err *err,
                   const RelayClientOps *client, void *client_data);

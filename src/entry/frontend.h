/** @file
 * The HTTP frontend for clients: worker threads, each with an HTTP server, an HTTP client and the
 * relays of its requests. */
#pragma once

#include "catalog/current_catalog.h"
#include "reach/reach.h"
#include "relay/relay.h"

typedef struct Frontend Frontend;

typedef struct
{
  const char *listen;       /* "IP:port" */
  unsigned workers;         /* a single one runs on the control loop */
  unsigned max_connections; /* of all workers together */
  size_t memory_bytes;      /* that this process may use */
  size_t max_header_bytes;
  size_t max_body_bytes;
  int64_t read_timeout_ms;
  int64_t idle_timeout_ms;
  int64_t connect_timeout_ms; /* to backend servers */
  size_t max_response_bytes;  /* limit of a response that is not streamed */
  bool charge_failed;         /* charge every request that may have run */
  Loop *control_loop;
  CurrentCatalog *catalog;
  Dispatch *dispatch;
  Overload *overload;
  Quarantine *quarantine;
  Streams *streams;
  Budgets *budgets;
  Dialect *dialect;
  Reach *reach;
} FrontendOptions;

/** Opens the port. @return a talloc object under @p ctx, or NULL after logging the error. */
Frontend *frontend_new (const void *ctx, const FrontendOptions *options);

/** @return the number of requests that have been received and have not ended. */
size_t frontend_open_requests (const Frontend *frontend);

/** With @p on, each response from now on closes its connection. */
void frontend_close_after_responses (Frontend *frontend, bool on);

/** With @p on, refuses new connections from now on; their clients reconnect to other hosts. */
void frontend_refuse_connections (Frontend *frontend, bool on);

/** Refuses requests that are received from now on; earlier ones continue. Any thread. */
void frontend_refuse_requests (Frontend *frontend);

/** Replaces the time-outs of the options, after a configuration change. */
void frontend_set_timeouts (Frontend *frontend, int64_t read_timeout_ms, int64_t idle_timeout_ms);

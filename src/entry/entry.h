/** @file
 * The entry for callers: worker threads, each with an HTTP server, an HTTP client and the relays of its
 * requests. */
#pragma once

#include "catalog/current_catalog.h"
#include "relay/relay.h"

typedef struct Entry Entry;

typedef struct
{
  const char *listen; /* "IP:port" */
  unsigned workers;   /* with one, it works on the control loop */
  unsigned max_connections;
  size_t max_header;
  size_t max_body;
  int64_t read_timeout_ms;
  int64_t idle_timeout_ms;
  int64_t connect_timeout_ms;
  size_t max_answer;
  bool charges_failed; /* RelayDeps */
  Loop *control;
  CurrentCatalog *catalog;
  Dispatch *dispatch;
  Budgets *budgets;
  Dialect *dialect;
} EntryOptions;

/** Opens the port. @return a talloc object under @p ctx, or NULL after a log line. */
Entry *entry_new (const void *ctx, const EntryOptions *options);

/** @return requests that have begun and are not answered. */
size_t entry_open_requests (const Entry *entry);

/** Has each answer end its connection from now on, or no longer. */
void entry_close_after_answers (Entry *entry, bool on);

/** Refuses new connections from now on, or no longer; their clients come back elsewhere. */
void entry_refuse_connections (Entry *entry, bool on);

/** Refuses new requests from now on; those that have begun go on. Any thread. */
void entry_refuse_new (Entry *entry);

/** Takes over the limits of a configuration. */
void entry_set_timeouts (Entry *entry, int64_t read_timeout_ms, int64_t idle_timeout_ms);

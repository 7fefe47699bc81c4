/** @file
 * Test fixture of one relay: the client's side is recorded, the servers' side is controlled by the test through
 * a fake backend. It uses the API dialect of the platform (platform_dialect()) and virtual time. */
#pragma once

#include "budget_fixture.h"
#include "fakes/fake_backend.h"
#include "relay/relay.h"

/** Token limit of the account. */
#define RELAY_FIXTURE_BUDGET 100000

typedef struct
{
  BudgetFixture *budgets;
  FakeBackend *backend;
  Dispatch *dispatch;
  Quarantine *quarantine;
  const Catalog *catalog;
  const CatalogService *service;
  RelayDeps deps;
  RelayRequest request;         /* may be changed before relay_fixture_start() */
  const char *required_version; /* set by the test: only servers of it may be asked; NULL: of any */
  Relay *relay;                 /* NULL once it has finished */

  bool order_unknown; /* set by the test: as in ServerRecord, of the records that are published */

  /* What the client received. */
  int n_responses; /* complete responses and started streams */
  int status;
  char *body;
  char *headers; /* "Name: value" lines */
  bool ended;    /* a stream was ended normally */
  bool aborted;
  bool blocked; /* set by the test: write reports a full send buffer */
  void *kept;   /* until the client has taken its response: the test frees it; NULL: nothing */
} RelayFixture;

/** Sets up three servers of one service and a request of @p kind with 100 prompt and 50 output tokens. */
RelayFixture *relay_fixture_new (CallKind kind);
void relay_fixture_free (RelayFixture *f);

/** Announces the server "server-N", or its changed record; @p version may be NULL. */
void relay_fixture_publish (RelayFixture *f, int server, const char *version, int64_t started_ms,
                            bool draining);

/** Starts the request and advances the virtual time by 100 ms. */
void relay_fixture_start (RelayFixture *f);

/** Simulates that the client disconnects. */
void relay_fixture_disconnect_client (RelayFixture *f);

/** Advances the virtual time. */
void relay_fixture_run (RelayFixture *f, int64_t ms);

/** @return the backend call that was started last. */
FakeBackendCall *relay_fixture_last_call (const RelayFixture *f);

/** Sends the head of a valid server response to the request on the last call. */
void relay_fixture_send_head (RelayFixture *f, int status);

/** @return whether a new request can reserve @p tokens of the account. The reservation is settled with 0. */
bool relay_fixture_can_reserve (RelayFixture *f, Tokens tokens);

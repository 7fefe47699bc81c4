/** @file
 * One relay between a caller whose answer is recorded and servers that a test plays, with the users'
 * interface, under virtual time. */
#pragma once

#include "budget_fixture.h"
#include "fakes/fake_backend.h"
#include "relay/relay.h"

#define RELAY_WORLD_BUDGET 100000

typedef struct
{
  BudgetFixture *budgets;
  FakeBackend *backend;
  Dispatch *dispatch;
  const Catalog *catalog;
  const CatalogService *service;
  RelayDeps deps;
  AnswerPool pool;
  RelayRequest request; /* change it before relay_world_start() */
  Relay *relay;         /* NULL once it is over */

  /* What the caller got. */
  int answers; /* whole ones, and begun streams */
  int status;
  char *body;
  char *headers; /* lines */
  bool ended;    /* a stream was ended as complete */
  bool aborted;
  bool blocked; /* the caller takes no more bytes for now */
} RelayWorld;

/** Three servers of one service; a request of @p kind for 100 tokens of prompt and 50 of output. */
RelayWorld *relay_world_new (CallKind kind);
void relay_world_free (RelayWorld *w);
void relay_world_start (RelayWorld *w);

/** The caller goes away. */
void relay_world_leave (RelayWorld *w);

void relay_world_run (RelayWorld *w, int64_t ms);

/** @return the call that was started last. */
FakeBackendCall *relay_world_call (const RelayWorld *w);

/** Plays the head of a server's answer to this request. */
void relay_world_head (RelayWorld *w, int status);

/** @return tokens of the account that neither a request uses nor is spent, as a new claim finds them. */
bool relay_world_can_claim (RelayWorld *w, Tokens tokens);

/** @file
 * The dispatch of several hosts for the servers of one service, and a model of inference engines
 * that process prompts one after the other, under virtual time. */
#pragma once

#include "catalog/catalog.h"
#include "core/rng.h"
#include "dispatch/dispatch.h"

#define DISPATCH_FIXTURE_MAX_HOSTS   4
#define DISPATCH_FIXTURE_MAX_SERVERS 8

typedef struct
{
  char id[16];
  double idle_from_ms;       /* when it will have processed all prompts sent to it */
  uint64_t cached_parts[64]; /* ids of shared prompt parts */
  int n_cached_parts;
  int64_t prefilled_tokens;
  int64_t repeated_prefill_tokens; /* of shared parts that another server had cached */
  int requests;
} DispatchFixtureServer;

typedef struct
{
  const Catalog *catalog;
  const CatalogService *engine_service;
  const CatalogService *plain_service;
  Dispatch *hosts[DISPATCH_FIXTURE_MAX_HOSTS];
  int n_hosts;
  DispatchFixtureServer servers[DISPATCH_FIXTURE_MAX_SERVERS];
  int n_servers;
  Rng rng;
  int64_t now_ms;
} DispatchFixture;

DispatchFixture *dispatch_fixture_new (int hosts, int servers, const char *policy);
void dispatch_fixture_free (DispatchFixture *fx);

/** Announces a server, or its changed record, to all hosts. */
void dispatch_fixture_publish (DispatchFixture *fx, int server, bool draining);

/** Tells all hosts that a server's record was removed, as dispatch_server_removed() does. */
void dispatch_fixture_remove (DispatchFixture *fx, int server, bool confirmed);

/** Makes a query for a prompt: 100 tokens that all sessions share, @p shared that the prompts of @p session share, and
 * @p own. Session 0: the prompt has only its own tokens. */
void dispatch_fixture_query (DispatchFixture *fx, DispatchQuery *q, PromptPart parts[3],
                             uint64_t session, Tokens shared, Tokens own);

/** Sends a prompt from a host and lets the chosen server process it. @return milliseconds to the
 * first event, or -1 if the request was refused. */
double dispatch_fixture_send (DispatchFixture *fx, int host, uint64_t session, Tokens shared,
                              Tokens own);

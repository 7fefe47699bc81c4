/** @file
 * Several hosts' views of one service's servers, and a model of engines that read prompts one after the
 * other, under virtual time. */
#pragma once

#include "catalog/catalog.h"
#include "core/rng.h"
#include "dispatch/dispatch.h"

#define FIXTURE_MAX_HOSTS   4
#define FIXTURE_MAX_SERVERS 8

typedef struct
{
  char id[16];
  double free_at_ms; /* when it has read all prompts that it has */
  uint64_t held[64]; /* shared parts that it has read */
  int n_held;
  int64_t tokens_read;
  int64_t tokens_read_again;
  int requests;
} FixtureServer;

typedef struct
{
  const Catalog *catalog;
  const CatalogService *engine;
  const CatalogService *plain;
  Dispatch *hosts[FIXTURE_MAX_HOSTS];
  int n_hosts;
  FixtureServer servers[FIXTURE_MAX_SERVERS];
  int n_servers;
  Rng rng;
  int64_t now_ms;
} DispatchFixture;

DispatchFixture *dispatch_fixture_new (int hosts, int servers, const char *policy);
void dispatch_fixture_free (DispatchFixture *w);

/** Publishes a server to all hosts. */
void dispatch_fixture_publish (DispatchFixture *w, int server, bool draining);
void dispatch_fixture_remove (DispatchFixture *w, int server, bool confirmed);

/** @return a query for a prompt with shared parts of a session; 0 for none. */
void dispatch_fixture_query (DispatchFixture *w, DispatchQuery *q, PromptPart parts[3],
                             uint64_t session, Tokens shared, Tokens own);

/** Sends a prompt from a host and has the server read it. @return milliseconds to its first event, or -1
 * if it was refused. */
double dispatch_fixture_send (DispatchFixture *w, int host, uint64_t session, Tokens shared,
                              Tokens own);

/** @file
 * Several hosts' views of one service's servers, and a model of engines that read prompts one after the
 * other, under virtual time. */
#pragma once

#include "catalog/catalog.h"
#include "core/rng.h"
#include "dispatch/dispatch.h"

#define WORLD_HOSTS   4
#define WORLD_SERVERS 8

typedef struct
{
  char id[16];
  double free_at_ms; /* when it has read all prompts that it has */
  uint64_t held[64]; /* shared parts that it has read */
  int n_held;
  int64_t tokens_read;
  int64_t tokens_read_again;
  int requests;
} WorldServer;

typedef struct
{
  const Catalog *catalog;
  const CatalogService *engine;
  const CatalogService *plain;
  Dispatch *hosts[WORLD_HOSTS];
  int n_hosts;
  WorldServer servers[WORLD_SERVERS];
  int n_servers;
  Rng rng;
  int64_t now_ms;
} DispatchWorld;

DispatchWorld *dispatch_world_new (int hosts, int servers, const char *policy);
void dispatch_world_free (DispatchWorld *w);

/** Publishes a server to all hosts. */
void dispatch_world_server (DispatchWorld *w, int server, bool leaving);
void dispatch_world_remove (DispatchWorld *w, int server, bool steady);

/** @return a query for a prompt with shared parts of a session; 0 for none. */
void dispatch_world_query (DispatchWorld *w, DispatchQuery *q, PromptPart parts[3],
                           uint64_t session, Tokens shared, Tokens own);

/** Sends a prompt from a host and has the server read it. @return milliseconds to its first event, or -1
 * if it was refused. */
double dispatch_world_send (DispatchWorld *w, int host, uint64_t session, Tokens shared,
                            Tokens own);

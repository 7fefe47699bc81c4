/** @file
 * The parts of the dispatch: dispatch.c (the choice, set-up), servers.c (what is known of servers),
 * flights.c (requests on their way). */
#pragma once

#include <pthread.h>

#include <glib.h>

#include "core/rng.h"
#include "dispatch/cost.h"
#include "dispatch/dispatch.h"
#include "dispatch/leavers.h"
#include "dispatch/prefix_map.h"
#include "dispatch/server.h"

typedef struct
{
  char *name;
  List servers;
  RetryPool retries;
  ServicePace pace;
} Pool;

struct Dispatch
{
  pthread_mutex_t lock; /* "dispatch" */
  DispatchOptions options;
  Rng rng;
  GHashTable *pools;   /* by service */
  GHashTable *servers; /* by id */
  PrefixMap *prefixes;
  Leavers *leavers;
  int hosts;
};

struct Flight
{
  Dispatch *dispatch;
  Server *server;
  Pool *pool;
  int64_t sent_ms;
  Tokens unread; /* counted in the server's prompt_tokens until the first event */
  double expected_ms;
  bool first;
  bool closes; /* its connection ends with the answer */
  bool is_engine;
};

/* All of these under the lock. */

/* servers.c */
Pool *pool_get (Dispatch *d, const char *service);
void free_if_unused (Server *s);
/* @return whether that is news. */
bool mark_leaving (Dispatch *d, Server *s, const char *source, int64_t now_ms);

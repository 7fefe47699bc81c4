#include "dispatch/load_sharing.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

/* A host may spend 3 KB a second on control, sent and received together. It receives as much as it sends on average;
 * a fifth is left for budgets, limits and the rest. */
#define BYTES_PER_S 1200

/* What may have collected while a host had nothing to send: a turn of a small data centre. */
#define MAX_SAVED_BYTES 600

/* A frame with the names of two hosts, and one server in it. */
#define MESSAGE_BYTES 60
#define SERVER_BYTES  10

/* No host is told more often. Figures change with each request; more messages would cost more processor time than
 * a newer figure is worth. */
#define MIN_INTERVAL_MS 200

/* Up to so many others, BYTES_PER_S allows a turn a second and more. */
#define MAX_DIRECT_HOSTS 16

typedef struct
{
  char *name;
  uint64_t order;
  int64_t told_ms; /* 0: never */
} ToldHost;

struct LoadSharing
{
  uint64_t seed;
  ToldHost *hosts;
  size_t n;
  size_t next; /* whose turn it is */
  int64_t bytes;
  int64_t counted_ms; /* until then bytes were added; 0: never */
};

LoadSharing *
load_sharing_new (const void *ctx, const char *self)
{
  LoadSharing *sh = talloc_zero (ctx, LoadSharing);

  sh->seed = XXH64 (self, strlen (self), 0);
  return sh;
}

static int64_t
told_ms_of (const LoadSharing *sh, const char *name)
{
  for (size_t i = 0; i < sh->n; i++)
    if (!strcmp (sh->hosts[i].name, name))
      return sh->hosts[i].told_ms;
  return 0;
}

static int
compare_order (const void *a, const void *b)
{
  const ToldHost *x = a;
  const ToldHost *y = b;

  return (x->order > y->order) - (x->order < y->order);
}

/* The turns of each host are in an order of its own: if all told the same one after the other, news would spread by steps
 * that repeat each other. */
void
load_sharing_set_hosts (LoadSharing *sh, const char *const *names, size_t n)
{
  ToldHost *hosts = talloc_zero_array (sh, ToldHost, n + 1);

  for (size_t i = 0; i < n; i++)
    hosts[i]
        = (ToldHost){ talloc_strdup (hosts, names[i]),
                      XXH64 (names[i], strlen (names[i]), sh->seed), told_ms_of (sh, names[i]) };
  qsort (hosts, n, sizeof *hosts, compare_order);
  talloc_free (sh->hosts);
  sh->hosts = hosts;
  sh->n = n;
  sh->next = n > 0 ? sh->next % n : 0;
}

static void
add_bytes (LoadSharing *sh, int64_t now_ms)
{
  int64_t elapsed = sh->counted_ms ? now_ms - sh->counted_ms : 1000;

  if (elapsed <= 0)
    return;
  sh->counted_ms = now_ms;
  if (elapsed > 1000)
    elapsed = 1000;
  sh->bytes += BYTES_PER_S * elapsed / 1000;
  if (sh->bytes > MAX_SAVED_BYTES)
    sh->bytes = MAX_SAVED_BYTES;
}

bool
load_sharing_next (LoadSharing *sh, int64_t now_ms, LoadTurn *turn)
{
  ToldHost *host;

  add_bytes (sh, now_ms);
  if (sh->n == 0 || sh->bytes <= 0)
    return false;
  host = &sh->hosts[sh->next];
  if (host->told_ms && now_ms - host->told_ms < MIN_INTERVAL_MS)
    return false;
  *turn = (LoadTurn){ host->name, host->told_ms, sh->n > MAX_DIRECT_HOSTS };
  host->told_ms = now_ms;
  sh->next = (sh->next + 1) % sh->n;
  return true;
}

void
load_sharing_sent (LoadSharing *sh, size_t n_servers)
{
  sh->bytes -= MESSAGE_BYTES + SERVER_BYTES * (int64_t)n_servers;
}

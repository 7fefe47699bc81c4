/* Internals of the reach: reach.c (servers, routes), reach_helpers.c (which other host helps), reach_probes.c (checks of servers over
 * helpers, and direct trials). The caller of these functions holds the lock. */
#pragma once

#include <pthread.h>

#include <glib.h>

#include "core/counter.h"
#include "reach/reach.h"

/* Between two direct probes, of any servers, while the last one failed. */
#define TRIAL_INTERVAL_MS 400

/* Helpers that are asked for a server in one check. */
#define MAX_HELPERS_ASKED 8

typedef enum
{
  CHECK_NONE,
  CHECK_WANTED,
  CHECK_RUNNING
} CheckState;

typedef struct
{
  char address[REACH_ADDRESS_BYTES];
  int64_t used_ms;
  int64_t failed_ms;  /* first direct connection that failed; 0: none since one that succeeded */
  bool cut_off;       /* a helper has connected after a direct connection had failed */
  int64_t cut_off_ms; /* when that was last seen */
  char helper[REACH_ADDRESS_BYTES]; /* address of that helper */
  int64_t down_until_ms;            /* helpers could not connect either */
  /* The check over helpers that a failed direct connection gives rise to. */
  CheckState check;
  uint64_t asked[MAX_HELPERS_ASKED];   /* hashes of the names of the helpers that were asked */
  uint64_t in_vain[MAX_HELPERS_ASKED]; /* hashes of the data centres of those that have tried */
  size_t n_asked;
  size_t n_in_vain;
} KnownServer;

typedef struct
{
  char *name;
  char *address;
  char *region; /* NULL: unknown */
  ReachDistance distance;
  uint64_t name_hash;
  uint64_t data_centre_hash;
  size_t data_centre; /* index of the first helper of the same one */
  int failures;       /* in a row */
  int64_t skip_until_ms;
  size_t n_skipped; /* of its data centre, if it is the first one; of the latest choice */
} Helper;

struct Reach
{
  pthread_mutex_t lock; /* "reach" */
  ReachOptions options;
  char *host;
  GHashTable *servers; /* KnownServer by address */
  Helper *helpers;
  size_t n_helpers;
  size_t n_cut_off;
  size_t n_wanted;  /* checks */
  int64_t heard_ms; /* last answer of any server on a direct connection; 0: never */
  /* First failed direct connection of the servers that are cut off; 0: none is. */
  int64_t cut_since_ms;
  int64_t next_trial_ms;
  int trials_succeeded; /* in a row */
  uint64_t trials;
  Counter *lost;
  Counter *regained;
  Counter *over_helpers;
  Counter *helper_failures;
  Counter *cut_off_gauge;
};

/* reach.c */
KnownServer *reach_server (Reach *r, const char *address, int64_t now);
void reach_clear_cut_off (Reach *r, KnownServer *s, const char *evidence);
void reach_mark_cut_off (Reach *r, KnownServer *s, const char *helper, int64_t now);
ReachRoute reach_direct_route (const char *address);

/* Forgets servers that nobody has asked for long. */
void reach_forget_unused (Reach *r);

/* reach_helpers.c */
Helper *reach_find_helper (Reach *r, const char *address);
/* Fills in the helper of a route of a request, in one of @p regions. @return false if there is none. */
bool reach_set_helper (Reach *r, const KnownServer *s, const RegionSet *regions, ReachRoute *route,
                       int64_t now);
/* The same of a check, which carries no request: in any region, and one that was not asked yet. */
bool reach_set_check_helper (Reach *r, const KnownServer *s, ReachRoute *route, int64_t now);
void reach_note_helper (Reach *r, const char *address, ReachResult result, int64_t now);

/* reach_probes.c */
/* @return true if a check is wanted now that was not before. */
bool reach_want_check (Reach *r, KnownServer *s, int64_t now);

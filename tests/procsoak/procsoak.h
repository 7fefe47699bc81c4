/** @file
 * Real processes under faults: hosts, and the stand-ins of the store, of engines and of a booking service, with
 * proxies between them. What callers and servers see is checked. One thread. */
#pragma once

#include <sys/types.h>

#include <glib.h>

#include "core/rng.h"
#include "http/client.h"
#include "proxy.h"

#define SOAK_ENGINES   2
#define SOAK_SERVICES  2 /* a booking that is sent again goes to the other one */
#define SOAK_SERVERS   (SOAK_ENGINES + SOAK_SERVICES)
#define SOAK_MAX_HOSTS 40

/** The account's limit for each second of the run: it is used up in the last part, so that refusals are played. */
#define SOAK_LIMIT_PER_S 1500

/* Of callers of engines, whose account runs out, and of callers of services. */
#define SOAK_MODEL_KEY   "demo-key"
#define SOAK_SERVICE_KEY "service-key"

/** How long a caller waits for its answer, as it tells the host. */
#define SOAK_DEADLINE_MS 4000

typedef struct
{
  pid_t pid; /* 0: not running */
  int generation;
  bool stopping; /* was asked to drain */
  bool frozen;
  int64_t killed_ms; /* of the last end without a drain */
  int64_t frozen_ms; /* when it was last frozen, or thawed */
  int64_t started_ms;
  int64_t stop_ms;
  int64_t store_ms; /* when the store was last disturbed for it */
  int64_t version;  /* of the configuration, as last told by this generation */
} SoakHost;

typedef struct
{
  uint64_t seed;
  int port;
  int n_hosts;
  int64_t run_ms;
  double rate; /* requests a second */
  const char *bin;
} SoakOptions;

typedef struct
{
  SoakOptions options;
  Loop *loop;
  Timers *timers;
  HttpClient *client;
  Rng rng;
  char *work; /* directory */
  SoakHost hosts[SOAK_MAX_HOSTS];
  pid_t standins[SOAK_SERVERS + 1]; /* the store, engines, services */
  Proxy *store_proxies[SOAK_MAX_HOSTS];
  Proxy *server_proxies[SOAK_SERVERS]; /* engines, then services */
  int64_t ticket;                      /* the newest that was accepted */
  pid_t ticket_pid;                    /* of the command that applies the next one, or 0 */
  int stop_next;                       /* the engine whose stop that one plans, or -1 */
  int stopped;                         /* the engine whose planned stop is accepted, or -1 */
  bool quiet;                          /* no more faults */
  bool ending;
  GHashTable *bookings; /* key to Booking */
  GHashTable *not_run;  /* ids of requests that were said not to have run */
  int open;             /* requests without an end */
  int faults;
  int requests;
  int served;
  int violations;
} Soak;

/** What a caller was told of a booking. */
typedef enum
{
  BOOKING_UNKNOWN,
  BOOKING_DONE,
  BOOKING_NOT_RUN
} Booking;

int64_t soak_now_ms (const Soak *s);

/** Counts and prints a violation, with what the hosts logged of @p id ("" for none). */
void soak_violation (Soak *s, const char *invariant, const char *id, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));

/* processes.c */
bool processes_start (Soak *s);
void processes_start_host (Soak *s, int i);
/** Notes processes that have ended. */
void processes_reap (Soak *s);
void processes_signal (Soak *s, int host, int signal);
/** Starts the command line that applies the next ticket. @p stopped: an engine to plan a stop for, or -1. */
void processes_apply_ticket (Soak *s, int stopped);
void processes_end (Soak *s);
int soak_port (const Soak *s, int offset);

/* callers.c */
void callers_start (Soak *s);

/* faults.c */
void faults_start (Soak *s);
void faults_heal (Soak *s);

/* checks.c */
void checks_start (Soak *s);
/** Asks the stand-ins what ran, and compares. @p done is called at the end. */
void checks_final (Soak *s, LoopFn done, void *data);

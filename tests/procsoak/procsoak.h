/** @file
 * Soak test with real processes: hosts and stand-ins for the store, the engines and the booking services, connected
 * through proxies that inject network faults. Checks the responses that clients receive against the requests that
 * the servers executed. One thread. */
#pragma once

#include <sys/types.h>

#include <glib.h>

#include "core/rng.h"
#include "http/client.h"
#include "proxy.h"

#define SOAK_ENGINES   2
#define SOAK_SERVICES  2 /* a retried booking goes to the other server */
#define SOAK_SERVERS   (SOAK_ENGINES + SOAK_SERVICES)
#define SOAK_MAX_HOSTS 40

/** Token limit of the account for model requests, per second of fault injection. The budget is exhausted before the
 * run ends, so that refusals are tested too. */
#define SOAK_LIMIT_PER_S 1500

/* API key of the account for model requests, whose budget runs out during the run, and of the account for service
 * requests. */
#define SOAK_MODEL_KEY   "demo-key"
#define SOAK_SERVICE_KEY "service-key"

/** Deadline that clients send with each request. */
#define SOAK_DEADLINE_MS 4000

typedef struct
{
  pid_t pid;                 /* 0: not running */
  int generation;            /* number of starts */
  bool draining;             /* was sent SIGTERM */
  bool frozen;               /* by SIGSTOP */
  int64_t killed_ms;         /* when it last exited without a completed drain */
  int64_t freeze_changed_ms; /* when it was last frozen or thawed */
  int64_t started_ms;
  int64_t drain_started_ms;
  /** When a fault of the host's connection to the store last started or ended, or a fault of the store ended. */
  int64_t store_fault_ms;
  int64_t version; /* of the configuration, as last reported by this process */
} SoakHost;

typedef struct
{
  uint64_t seed;
  int port;
  int n_hosts;
  int64_t run_ms; /* duration of the fault injection */
  double rate;    /* requests per second */
  const char *bin;
} SoakOptions;

typedef struct
{
  SoakOptions options;
  Loop *loop;
  Timers *timers;
  HttpClient *client;
  Rng rng;
  char *work_dir; /* directory of settings, tickets and logs */
  SoakHost hosts[SOAK_MAX_HOSTS];
  pid_t standins[SOAK_SERVERS + 1]; /* the store, engines, services */
  Proxy *store_proxies[SOAK_MAX_HOSTS];
  Proxy *server_proxies[SOAK_SERVERS]; /* engines, then services */
  int64_t accepted_ticket; /* newest accepted ticket (numbered configuration); 0: none */
  pid_t ticket_pid;        /* of the command that applies the next ticket, or 0 */
  int pending_stop;        /* engine whose stop the next ticket plans, or -1 */
  int stopped_engine;      /* engine with an accepted planned stop, or -1 */
  bool faults_ended;       /* no new faults are injected */
  bool requests_ended;
  GHashTable *bookings;      /* idempotency key to BookingOutcome */
  GHashTable *not_run_ids;   /* ids of requests reported with the outcome "not_run" */
  int64_t delivered_tokens;  /* of prompts of which something was delivered, and delivered output */
  GHashTable *delivered_ids; /* ids of these requests */
  int open_requests;         /* requests without a final response */
  int faults;                /* attempts; one is skipped if its target is down or faulty */
  int requests;
  int completed; /* responses with status 200 */
  int violations;
} Soak;

/** Outcome of a booking as reported to the client. */
typedef enum
{
  BOOKING_UNKNOWN,
  BOOKING_DONE,
  BOOKING_NOT_RUN
} BookingOutcome;

int64_t soak_now_ms (const Soak *s);

/** Counts and prints a violation, with the log lines of the hosts that contain the request id @p id ("" for none). */
void soak_violation (Soak *s, const char *invariant, const char *id, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));

/* processes.c */
bool processes_start (Soak *s);
void processes_start_host (Soak *s, int i);
/** Collects processes that have exited, and checks that a host exited only when it was stopped. */
void processes_reap (Soak *s);
void processes_signal (Soak *s, int host, int signal);
/** Starts the command that applies the next ticket, unless one is running. @p stopped_engine: engine to plan a stop
 * for, or -1 for none. */
void processes_apply_ticket (Soak *s, int stopped_engine);
/** Kills all processes and waits for them. */
void processes_kill (Soak *s);
int soak_port (const Soak *s, int offset);

/* clients.c */
void clients_start (Soak *s);

/* faults.c */
void faults_start (Soak *s);
void faults_clear (Soak *s);

/* checks.c */
void checks_start (Soak *s);
/** Reads from the stand-ins which requests they executed, and compares them with the responses to clients. @p done is
 * called when all checks are complete. */
void checks_run_final (Soak *s, LoopFn done, void *data);

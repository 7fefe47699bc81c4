/* Soak test of real processes with injected faults. Guards against violations that only occur with real sockets,
 * signals and process crashes. Exits with 0 only if there was no violation. */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <talloc.h>

#include "core/log.h"
#include "procsoak.h"

#define MAX_PRINTED_VIOLATIONS 20
#define MAX_LOG_LINES          8

/* Time after the last fault in which running drains complete and hosts start again, and in which all hosts drain at
 * the end of the run. */
#define RECOVERY_MS      12000
#define START_TIMEOUT_MS 30000
#define LAST_REQUESTS_MS (SOAK_DEADLINE_MS + 4000)

int64_t
soak_now_ms (const Soak *s)
{
  return timers_now_ms (s->timers);
}

/* --- Violations -------------------------------------------------------------------------- */

static void
print_log_lines (const Soak *s, const char *id)
{
  int printed = 0;

  for (int i = 0; i < s->options.n_hosts; i++)
    {
      char path[256];
      char line[1024];
      FILE *f;

      snprintf (path, sizeof path, "%s/host-%d.out", s->work_dir, i);
      f = fopen (path, "r");
      while (f && printed < MAX_LOG_LINES && fgets (line, sizeof line, f))
        if (strstr (line, id))
          {
            printf ("  host-%d: %s", i, line);
            printed++;
          }
      if (f)
        fclose (f);
    }
}

void
soak_violation (Soak *s, const char *invariant, const char *id, const char *fmt, ...)
{
  va_list args;

  if (++s->violations > MAX_PRINTED_VIOLATIONS)
    return;
  printf ("violation: %s seed=%" PRIu64 " at %" PRId64 " ms id=%s: ", invariant, s->options.seed,
          soak_now_ms (s), id);
  va_start (args, fmt);
  vprintf (fmt, args);
  va_end (args);
  printf ("\n");
  if (id[0])
    print_log_lines (s, id);
  fflush (stdout);
}

/* --- Phases of a run --------------------------------------------------------------------- */

static void
stop (void *data)
{
  loop_stop (((Soak *)data)->loop);
}

static void
on_drained (void *data)
{
  Soak *s = data;

  processes_reap (s);
  for (int i = 0; i < s->options.n_hosts; i++)
    if (s->hosts[i].pid)
      soak_violation (s, "drain_ends_in_time", "", "host-%d", i);
  stop (s);
}

static void
on_checked (void *data)
{
  Soak *s = data;

  for (int i = 0; i < s->options.n_hosts; i++)
    processes_signal (s, i, SIGTERM);
  timers_start (s->timers, s, RECOVERY_MS, on_drained, s);
}

static void
on_requests_ended (void *data)
{
  Soak *s = data;

  if (s->open_requests > 0)
    soak_violation (s, "response_before_deadline", "", "%d requests have no response",
                    s->open_requests);
  checks_run_final (s, on_checked, s);
}

static void
on_recovered (void *data)
{
  Soak *s = data;

  for (int i = 0; i < s->options.n_hosts; i++)
    if (!s->hosts[i].pid || s->hosts[i].version != s->accepted_ticket)
      soak_violation (s, "hosts_recover", "", "host-%d: version %" PRId64 " of %" PRId64, i,
                      s->hosts[i].version, s->accepted_ticket);
  s->requests_ended = true;
  timers_start (s->timers, s, LAST_REQUESTS_MS, on_requests_ended, s);
}

static void
on_faults_end (void *data)
{
  Soak *s = data;

  faults_clear (s);
  timers_start (s->timers, s, RECOVERY_MS, on_recovered, s);
}

static void
wait_until_ready (void *data)
{
  Soak *s = data;
  bool ready = s->accepted_ticket >= 1;

  for (int i = 0; i < s->options.n_hosts; i++)
    ready &= s->hosts[i].version >= 1;
  if (!ready && soak_now_ms (s) - s->hosts[0].started_ms > START_TIMEOUT_MS)
    {
      soak_violation (s, "hosts_start", "", "not ready after %d ms", START_TIMEOUT_MS);
      stop (s);
      return;
    }
  if (!ready)
    {
      if (s->accepted_ticket == 0)
        processes_apply_ticket (s, -1);
      timers_start (s->timers, s, 300, wait_until_ready, s);
      return;
    }
  clients_start (s);
  faults_start (s);
  timers_start (s->timers, s, s->options.run_ms, on_faults_end, s);
}

static char *
make_work_dir (const void *ctx)
{
  GError *error = NULL;
  char *path = g_dir_make_tmp ("procsoak-XXXXXX", &error);
  char *copy;

  if (!path)
    {
      fprintf (stderr, "%s\n", error->message);
      exit (2);
    }
  copy = talloc_strdup (ctx, path);
  g_free (path);
  return copy;
}

static Soak *
soak_new (const SoakOptions *options)
{
  Soak *s = talloc_zero (NULL, Soak);
  s->options = *options;
  s->loop = loop_new (s);
  s->timers = loop_timers (s->loop);
  s->client = http_client_new (s, s->loop);
  s->work_dir = make_work_dir (s);
  s->pending_stop = s->stopped_engine = -1;
  s->bookings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->not_run_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->delivered_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  rng_seed (&s->rng, options->seed);
  return s;
}

static bool
read_options (int argc, char **argv, SoakOptions *o, gboolean *keep_logs)
{
  gint64 seed = 1;
  double minutes = 1;
  char *bin = NULL;
  const GOptionEntry entries[]
      = { { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed", "N" },
          { "minutes", 0, 0, G_OPTION_ARG_DOUBLE, &minutes,
            "Duration of fault injection in minutes", "M" },
          { "hosts", 0, 0, G_OPTION_ARG_INT, &o->n_hosts, "Number of hosts", "N" },
          { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &o->rate, "Requests per second", "R" },
          { "port", 0, 0, G_OPTION_ARG_INT, &o->port, "First port", "P" },
          { "bin", 0, 0, G_OPTION_ARG_STRING, &bin, "Build directory", "DIR" },
          { "keep", 0, 0, G_OPTION_ARG_NONE, keep_logs, "Print the log directory", NULL },
          { 0 } };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return false;
    }
  g_option_context_free (context);
  o->seed = (uint64_t)seed;
  o->run_ms = (int64_t)(minutes * 60000);
  o->bin = bin ? bin : "build/release";
  return o->n_hosts > 0 && o->n_hosts < SOAK_MAX_HOSTS;
}

int
main (int argc, char **argv)
{
  SoakOptions options = { .port = 27000, .n_hosts = 5, .rate = 50 };
  gboolean keep_logs = FALSE;
  int violations;
  Soak *s;

  if (!read_options (argc, argv, &options, &keep_logs))
    return 2;
  log_set_level (LOG_LEVEL_CRIT);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  s = soak_new (&options);
  if (!processes_start (s))
    {
      fprintf (stderr, "ports from %d on are in use\n", options.port);
      processes_kill (s);
      return 2;
    }
  checks_start (s);
  wait_until_ready (s);
  loop_run (s->loop);
  processes_kill (s);
  violations = s->violations;
  printf ("soak-processes: seed=%" PRIu64 " minutes=%.2f processes=%d faults=%d requests=%d "
          "served=%d violations=%d\n",
          options.seed, (double)options.run_ms / 60000, options.n_hosts + SOAK_SERVERS + 1,
          s->faults, s->requests, s->completed, violations);
  if (keep_logs || violations)
    printf ("logs: %s\n", s->work_dir);
  talloc_free (s);
  return violations ? 1 : 0;
}

/* Settings, start and exit of the processes of a run. */
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <talloc.h>

#include "procsoak.h"

#define STORE_PORT        0
#define ENGINE_PORT       10
#define SERVICE_PORT      20
#define SERVER_PROXY_PORT 30
#define STORE_PROXY_PORT  50
#define CLIENT_PORT       100
#define PEER_PORT         150
#define OPERATOR_PORT     200

extern char **environ;

static const char *const DATA_CENTRES[] = { "uppsala-a", "malmo-a", "umea-a" };
static const char *const REGIONS[] = { "svealand", "gotaland", "norrland" };

int
soak_port (const Soak *s, int offset)
{
  return s->options.port + offset;
}

static pid_t
spawn (const Soak *s, const char *name, char *const argv[])
{
  posix_spawn_file_actions_t files;
  char *out = talloc_asprintf (NULL, "%s/%s.out", s->work_dir, name);
  pid_t pid = 0;

  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_addopen (&files, 1, out, O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2 (&files, 1, 2);
  if (posix_spawn (&pid, argv[0], &files, NULL, argv, environ) != 0)
    pid = 0;
  posix_spawn_file_actions_destroy (&files);
  talloc_free (out);
  return pid;
}

static void
write_file (const char *path, const char *text)
{
  FILE *f = fopen (path, "w");

  if (!f || fputs (text, f) < 0 || fclose (f) != 0)
    {
      perror (path);
      exit (2);
    }
}

/* --- Settings and tickets ---------------------------------------------------------------- */

static char *
settings_path (const Soak *s, const void *ctx, int i)
{
  return talloc_asprintf (ctx, "%s/host-%d.toml", s->work_dir, i);
}

static void
write_settings (const Soak *s, int i, int store_port)
{
  void *tmp = talloc_new (NULL);
  char *text = talloc_asprintf (
      tmp,
      "[host]\nname = \"host-%d\"\ndata_centre = \"%s\"\nregion = \"%s\"\n"
      "[listen]\ncallers = \"127.0.0.1:%d\"\noperators = \"127.0.0.1:%d\"\npeers = "
      "\"127.0.0.1:%d\"\n"
      "[platform]\naddress = \"127.0.0.1:%d\"\n"
      "[drain]\ngrace_ms = 2500\ndeadline_ms = 9000\n",
      i, DATA_CENTRES[i % 3], REGIONS[i % 3], soak_port (s, CLIENT_PORT + i),
      soak_port (s, OPERATOR_PORT + i), soak_port (s, PEER_PORT + i), soak_port (s, store_port));

  for (int d = 0; d < 3; d++)
    text = talloc_asprintf_append (text, "[[data_centre]]\nname = \"%s\"\nregion = \"%s\"\n",
                                   DATA_CENTRES[d], REGIONS[d]);
  write_file (settings_path (s, tmp, i), text);
  talloc_free (tmp);
}

static char *
account_toml (const void *ctx, const char *name, const char *key, int64_t limit)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  char *text
      = talloc_asprintf (ctx,
                         "[[account]]\nname = \"%s\"\nkeys = [\"sha256:%s\"]\npriority = 5\n"
                         "[[budget]]\nname = \"%s\"\naccount = \"%s\"\nlimit = %" PRId64 "\n",
                         name, hash, name, name, limit);

  g_free (hash);
  return text;
}

static char *
first_ticket_toml (const Soak *s, const void *ctx)
{
  int64_t limit = s->options.run_ms / 1000 * SOAK_LIMIT_PER_S;
  char *text = talloc_asprintf (
      ctx, "ticket = 1\n%s%s[[pool]]\nname = \"modell-tjanst\"\nkind = \"model\"\n",
      account_toml (ctx, "klubbarna", SOAK_MODEL_KEY, limit),
      account_toml (ctx, "bokare", SOAK_SERVICE_KEY, 100000000));

  for (int i = 0; i < SOAK_ENGINES; i++)
    text = talloc_asprintf_append (
        text,
        "[[pool.server]]\nname = \"engine-%d\"\naddress = \"127.0.0.1:%d\"\n"
        "data_centre = \"%s\"\nregion = \"%s\"\nmax_in_flight = 64\n",
        i, soak_port (s, SERVER_PROXY_PORT + i), DATA_CENTRES[i], REGIONS[i]);
  text = talloc_strdup_append (text, "[[pool]]\nname = \"boknings-tjanst\"\nkind = \"service\"\n");
  for (int i = 0; i < SOAK_SERVICES; i++)
    text = talloc_asprintf_append (
        text,
        "[[pool.server]]\nname = \"service-%d\"\naddress = \"127.0.0.1:%d\"\n"
        "data_centre = \"%s\"\nregion = \"%s\"\nmax_in_flight = 64\n",
        i, soak_port (s, SERVER_PROXY_PORT + SOAK_ENGINES + i), DATA_CENTRES[i], REGIONS[i]);
  return talloc_strdup_append (
      text, "[[pool.call]]\nmethod = \"POST\"\npath_prefix = \"/bookings\"\nidempotent = "
            "false\nprice = 10\n"
            "[[pool.call]]\nmethod = \"GET\"\npath_prefix = \"/\"\nidempotent = true\nprice = 1\n");
}

/* Plans a stop of an engine. For -1 it replaces the planned stop by one that ended in the past. */
static char *
stop_ticket_toml (const void *ctx, int64_t number, int stopped_engine)
{
  return talloc_asprintf (
      ctx,
      "ticket = %" PRId64 "\n[[stop]]\nname = \"hall\"\nservers = [\"engine-%d\"]\n"
      "starts = 2020-01-01T00:00:00Z\nends = %s-01-01T00:00:00Z\n",
      number, stopped_engine < 0 ? 0 : stopped_engine, stopped_engine < 0 ? "2021" : "2099");
}

void
processes_apply_ticket (Soak *s, int stopped_engine)
{
  void *tmp = talloc_new (NULL);
  int64_t number = s->accepted_ticket + 1;
  char *path = talloc_asprintf (tmp, "%s/ticket-%" PRId64 ".toml", s->work_dir, number);
  char *binary = talloc_asprintf (tmp, "%s/sapphirepond", s->options.bin);
  char *const argv[]
      = { binary, "ticket", "apply", "--settings", settings_path (s, tmp, SOAK_MAX_HOSTS),
          path,   NULL };

  if (s->ticket_pid == 0)
    {
      write_file (path, number == 1 ? first_ticket_toml (s, tmp)
                                    : stop_ticket_toml (tmp, number, stopped_engine));
      s->pending_stop = stopped_engine;
      s->ticket_pid = spawn (s, "ticket", argv);
    }
  talloc_free (tmp);
}

/* --- Start ------------------------------------------------------------------------------- */

void
processes_start_host (Soak *s, int i)
{
  void *tmp = talloc_new (NULL);
  char *name = talloc_asprintf (tmp, "host-%d", i);
  char *binary = talloc_asprintf (tmp, "%s/sapphirepond", s->options.bin);
  char *const argv[] = { binary, "serve", "--settings", settings_path (s, tmp, i), NULL };
  SoakHost *h = &s->hosts[i];

  h->pid = spawn (s, name, argv);
  h->generation++;
  h->draining = false;
  h->frozen = false;
  h->version = 0;
  h->started_ms = soak_now_ms (s);
  talloc_free (tmp);
}

static pid_t
start_standin (const Soak *s, const char *program, int port)
{
  void *tmp = talloc_new (NULL);
  char *binary = talloc_asprintf (tmp, "%s/tests/standins/%s", s->options.bin, program);
  char *const argv[]
      = { binary, "--listen", talloc_asprintf (tmp, "127.0.0.1:%d", soak_port (s, port)), NULL };
  pid_t pid = spawn (s, program, argv);

  talloc_free (tmp);
  return pid;
}

bool
processes_start (Soak *s)
{
  bool ok = true;

  s->standins[0] = start_standin (s, "standin_store", STORE_PORT);
  for (int i = 0; i < SOAK_ENGINES; i++)
    s->standins[1 + i] = start_standin (s, "standin_engine", ENGINE_PORT + i);
  for (int i = 0; i < SOAK_SERVICES; i++)
    s->standins[1 + SOAK_ENGINES + i] = start_standin (s, "standin_service", SERVICE_PORT + i);
  for (int i = 0; i < SOAK_SERVERS; i++)
    {
      int target = i < SOAK_ENGINES ? ENGINE_PORT + i : SERVICE_PORT + i - SOAK_ENGINES;

      s->server_proxies[i]
          = proxy_new (s, s->loop, soak_port (s, SERVER_PROXY_PORT + i), soak_port (s, target));
      ok &= s->server_proxies[i] != NULL;
    }
  for (int i = 0; i < s->options.n_hosts; i++)
    {
      s->store_proxies[i]
          = proxy_new (s, s->loop, soak_port (s, STORE_PROXY_PORT + i), soak_port (s, STORE_PORT));
      ok &= s->store_proxies[i] != NULL;
      write_settings (s, i, STORE_PROXY_PORT + i);
      processes_start_host (s, i);
    }
  write_settings (s, SOAK_MAX_HOSTS, STORE_PORT);
  return ok;
}

/* --- Exits and signals ------------------------------------------------------------------- */

/* Exit code of a host whose drain was incomplete. It is allowed if store_fault_ms is not before the start of the drain,
 * because the host may have been unable to return its tokens. */
#define EXIT_INCOMPLETE 7

static void
on_host_exit (Soak *s, int i, int status)
{
  SoakHost *h = &s->hosts[i];
  bool killed = WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL;
  int code = WIFEXITED (status) ? WEXITSTATUS (status) : -1;
  bool drained
      = h->draining
        && (code == 0 || (code == EXIT_INCOMPLETE && h->store_fault_ms >= h->drain_started_ms));

  h->pid = 0;
  h->frozen = false;
  if (killed || !drained)
    h->killed_ms = soak_now_ms (s);
  if (!killed && !drained)
    soak_violation (s, "process_exits_only_when_stopped", "",
                    "host-%d status %x, seen %" PRId64
                    " ms after its start, draining since %" PRId64 " ms",
                    i, (unsigned)status, soak_now_ms (s) - h->started_ms,
                    h->draining ? soak_now_ms (s) - h->drain_started_ms : -1);
}

static void
on_ticket_exit (Soak *s, int status)
{
  s->ticket_pid = 0;
  if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
    return;
  s->accepted_ticket++;
  s->stopped_engine = s->pending_stop;
}

void
processes_reap (Soak *s)
{
  int status;
  pid_t pid;

  while ((pid = waitpid (-1, &status, WNOHANG)) > 0)
    {
      if (pid == s->ticket_pid)
        on_ticket_exit (s, status);
      for (int i = 0; i < s->options.n_hosts; i++)
        if (pid == s->hosts[i].pid)
          on_host_exit (s, i, status);
    }
}

void
processes_signal (Soak *s, int i, int signal)
{
  SoakHost *h = &s->hosts[i];

  if (h->pid == 0)
    return;
  kill (h->pid, signal);
  if (signal == SIGKILL)
    {
      int status;

      /* Reaped immediately, so that requests started from now on see that the host is down. */
      waitpid (h->pid, &status, 0);
      on_host_exit (s, i, status);
    }
  if (signal == SIGSTOP || signal == SIGCONT)
    {
      h->frozen = signal == SIGSTOP;
      h->freeze_changed_ms = soak_now_ms (s);
    }
  if (signal == SIGTERM && !h->draining)
    {
      h->draining = true;
      h->drain_started_ms = soak_now_ms (s);
    }
}

void
processes_kill (Soak *s)
{
  for (int i = 0; i < s->options.n_hosts; i++)
    if (s->hosts[i].pid)
      kill (s->hosts[i].pid, SIGKILL);
  for (int i = 0; i <= SOAK_SERVERS; i++)
    if (s->standins[i])
      kill (s->standins[i], SIGKILL);
  if (s->ticket_pid)
    kill (s->ticket_pid, SIGKILL);
  while (wait (NULL) > 0 || errno == EINTR)
    ;
}

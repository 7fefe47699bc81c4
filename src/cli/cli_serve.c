/* sapphirepond serve: runs the router process of a host. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include <curl/curl.h>
#include <glib.h>
#include <talloc.h>

#include "cli/args.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "core/log.h"
#include "core/loop.h"
#include "host/host.h"

/* Path of the settings file if --settings is not given. */
#define SETTINGS_ENV_VAR "SAPPHIREPOND_SETTINGS"

typedef struct
{
  const char *path;
  Host *host;
  const void *ctx;
} ServeContext;

static void
on_stop_signal (struct tevent_context *ev, struct tevent_signal *se, int signum, int count,
                void *info, void *data)
{
  (void)ev;
  (void)se;
  (void)signum;
  (void)count;
  (void)info;
  host_drain (((ServeContext *)data)->host);
}

static void
on_reload_signal (struct tevent_context *ev, struct tevent_signal *se, int signum, int count,
                  void *info, void *data)
{
  ServeContext *s = data;
  Problems *problems = problems_new (s->ctx, s->path);
  Settings *settings = settings_load (s->ctx, s->path, problems);

  (void)ev;
  (void)se;
  (void)signum;
  (void)count;
  (void)info;
  if (settings)
    host_reload (s->host, settings);
  else
    log_event (LOG_LEVEL_ERR, "host", "settings_invalid", "problems=%zu first=\"%s\"", problems->n,
               problems->n ? problems->list[0].text : "");
  talloc_free (problems);
}

/* Signals wait while the host starts and after it has stopped: their default is to end the process. Threads inherit the mask of
 * the time at which they start, so that only this one takes signals. */
static void
hold_signals (int how)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  pthread_sigmask (how, &set, NULL);
}

static int
serve (const void *ctx, const char *path, const Settings *settings)
{
  Loop *control = loop_new (ctx);
  ServeContext context = { .path = path, .ctx = ctx };
  int code;

  if (!control)
    return CLI_FAILED;
  log_set_level (settings->log_level);
  signal (SIGPIPE, SIG_IGN);
  context.host = host_new (ctx, control, settings);
  if (!context.host)
    return CLI_FAILED;
  tevent_add_signal (loop_tevent (control), control, SIGTERM, 0, on_stop_signal, &context);
  tevent_add_signal (loop_tevent (control), control, SIGINT, 0, on_stop_signal, &context);
  tevent_add_signal (loop_tevent (control), control, SIGHUP, 0, on_reload_signal, &context);
  hold_signals (SIG_UNBLOCK);
  loop_run (control);
  hold_signals (SIG_BLOCK);
  code = host_is_drained (context.host) ? CLI_OK : CLI_INCOMPLETE;
  talloc_free (context.host);
  return code;
}

static int
serve_file (const void *ctx, const char *path)
{
  Problems *problems = problems_new (ctx, path);
  Settings *settings;
  int code;

  hold_signals (SIG_BLOCK);
  settings = settings_load (ctx, path, problems);
  if (!settings)
    {
      fputs (problems_print (ctx, problems), stderr);
      return CLI_INVALID;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  code = serve (ctx, path, settings);
  curl_global_cleanup ();
  return code;
}

int
cli_serve (int argc, char **argv)
{
  char *path = NULL;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path, "Settings file (TOML)", "FILE" },
    G_OPTION_ENTRY_NULL,
  };
  const CliArgs args
      = { .command = "serve",
          .summary
          = "Runs the router process of a host. SIGTERM drains the host and ends the process.",
          .description = CLI_EXIT_CODES_HELP,
          .entries = entries };
  void *ctx;
  int code = CLI_OK;

  if (!cli_args_parse (&args, &argc, &argv, &code))
    return code;
  if (!path)
    path = g_strdup (g_getenv (SETTINGS_ENV_VAR));
  if (!path)
    {
      fprintf (stderr, "sapphirepond serve: --settings FILE is required\n");
      return CLI_USAGE;
    }
  ctx = talloc_new (NULL);
  code = serve_file (ctx, path);
  g_free (path);
  talloc_free (ctx);
  return code;
}

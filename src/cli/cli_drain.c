#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "cli/args.h"
#include "cli/cli_session.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "cli/host_states.h"
#include "core/address.h"
#include "core/loop.h"
#include "http/client.h"

#define CONNECT_TIMEOUT_MS 1000
#define ANSWER_TIMEOUT_MS  3000
#define POLL_MS            200
#define ANSWER_MAX_BYTES   (4 << 20) /* as in host_states.c */
/* A single refused connection may be a full accept queue. */
#define REFUSED_TO_BE_GONE 2
/* Bounds the wait for a host that is stuck rather than gone. */
#define SILENT_TO_GIVE_UP  10

typedef enum
{
  STEP_LOOK, /* before the drain: which process, and does it drain already */
  STEP_BEGIN,
  STEP_FOLLOW
} DrainStep;

typedef struct
{
  Loop *loop;
  HttpClient *client;
  void *memory; /* of exchanges and answers */
  const char *address;
  gboolean no_wait;
  DrainStep step;
  char *body;
  size_t len;
  char *incarnation; /* of the process that drains */
  char *last;        /* line printed last */
  int refused;
  int silent;
  int exit_code;
} DrainRun;

static void
end (DrainRun *d, int exit_code)
{
  d->exit_code = exit_code;
  loop_stop (d->loop);
}

static void
report (DrainRun *d, const HostState *state)
{
  char *line = talloc_asprintf (d->memory, "%s: phase %s, open requests %" PRId64, state->name,
                                state->phase, state->open_requests);

  if (d->last && !strcmp (d->last, line))
    {
      talloc_free (line);
      return;
    }
  talloc_free (d->last);
  d->last = line;
  puts (line);
  fflush (stdout);
}

static void ask (DrainRun *d, DrainStep step);

static void
ask_again (void *data)
{
  ask (data, STEP_FOLLOW);
}

static void
follow_later (DrainRun *d)
{
  if (d->no_wait)
    end (d, CLI_OK);
  else
    timers_start (loop_timers (d->loop), d->memory, POLL_MS, ask_again, d);
}

/* A drain that has begun is only followed: a second request would end it at once. */
static void
on_looked (DrainRun *d, const HostState *state)
{
  d->incarnation = talloc_steal (d->memory, state->incarnation);
  report (d, state);
  if (!strcmp (state->phase, "serving"))
    ask (d, STEP_BEGIN);
  else
    follow_later (d);
}

static void
on_followed (DrainRun *d, const HostState *state)
{
  d->refused = 0;
  d->silent = 0;
  if (strcmp (state->incarnation, d->incarnation) != 0)
    {
      printf ("%s: the process has ended; another one answers at %s\n", state->name, d->address);
      end (d, CLI_OK);
      return;
    }
  report (d, state);
  follow_later (d);
}

static void
on_state (DrainRun *d)
{
  HostState state = { 0 };

  if (!host_state_parse (d->memory, d->body, d->len, &state))
    {
      fprintf (stderr, "%s does not answer as a host\n", d->address);
      end (d, d->step == STEP_LOOK ? CLI_UNAVAILABLE : CLI_UNKNOWN);
    }
  else if (d->step == STEP_LOOK)
    on_looked (d, &state);
  else
    on_followed (d, &state);
}

static void
on_no_answer (DrainRun *d, HttpResult result)
{
  bool not_sent = result == HTTP_FAILED_CONNECT || result == HTTP_TIMED_OUT_CONNECT;

  if (d->step != STEP_FOLLOW)
    {
      bool not_run = d->step == STEP_LOOK || not_sent;

      fprintf (stderr, "%s does not answer%s\n", d->address,
               not_run ? "; no drain was begun" : "; the drain may have begun");
      end (d, not_run ? CLI_UNAVAILABLE : CLI_UNKNOWN);
      return;
    }
  if (result == HTTP_FAILED_CONNECT && ++d->refused >= REFUSED_TO_BE_GONE)
    {
      printf ("%s: no longer answers\n", d->address);
      end (d, CLI_OK);
      return;
    }
  if (result != HTTP_FAILED_CONNECT && ++d->silent >= SILENT_TO_GIVE_UP)
    {
      fprintf (stderr, "%s accepts connections or is out of reach, and does not answer\n",
               d->address);
      end (d, CLI_UNKNOWN);
      return;
    }
  follow_later (d);
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  DrainRun *d = data;

  (void)exchange;
  if (d->len + len > ANSWER_MAX_BYTES)
    return true;
  d->body = talloc_realloc (d->memory, d->body, char, d->len + len);
  memcpy (d->body + d->len, bytes, len);
  d->len += len;
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  DrainRun *d = data;
  int status = http_exchange_status (exchange);

  talloc_free (exchange);
  if (result != HTTP_COMPLETE)
    on_no_answer (d, result);
  else if (d->step != STEP_BEGIN)
    on_state (d);
  else if (status == 202)
    {
      puts ("the drain has begun");
      fflush (stdout);
      follow_later (d);
    }
  else
    {
      fprintf (stderr, "%s refused the drain with status %d\n", d->address, status);
      end (d, CLI_REJECTED);
    }
}

static void
ask (DrainRun *d, DrainStep step)
{
  static const HttpEvents EVENTS = { .body = on_body, .done = on_done };
  bool begin = step == STEP_BEGIN;
  char *url = talloc_asprintf (d->memory, "http://%s/v1/%s", d->address, begin ? "drain" : "state");
  const HttpRequest request = { .method = begin ? "POST" : "GET",
                                .url = url,
                                .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                .timeout_ms = ANSWER_TIMEOUT_MS,
                                .own_connection = begin };

  d->step = step;
  TALLOC_FREE (d->body);
  d->len = 0;
  if (!http_client_start (d->client, d->memory, &request, &EVENTS, d))
    {
      fputs ("the request could not be set up\n", stderr);
      end (d, step == STEP_FOLLOW ? CLI_UNKNOWN : CLI_FAILED);
    }
  talloc_free (url);
}

static void
look (void *data)
{
  ask (data, STEP_LOOK);
}

static int
drain (DrainRun *d)
{
  d->exit_code = CLI_FAILED;
  d->loop = loop_new (NULL);
  d->client = d->loop ? http_client_new (NULL, d->loop) : NULL;
  d->memory = talloc_new (NULL);
  if (d->client)
    {
      timers_start (loop_timers (d->loop), d->memory, 0, look, d);
      loop_run (d->loop);
    }
  talloc_free (d->memory);
  talloc_free (d->client);
  talloc_free (d->loop);
  return d->exit_code;
}

static int
drain_host_of_settings (DrainRun *d, const char *path)
{
  int exit_code;
  Settings *settings = cli_settings_load (NULL, path, &exit_code);

  if (!settings)
    return exit_code;
  d->address = settings->listen_operators;
  exit_code = drain (d);
  talloc_free (settings);
  return exit_code;
}

int
cli_drain (int argc, char **argv)
{
  DrainRun d = { .exit_code = CLI_FAILED };
  gchar *settings = NULL;
  gchar *host = NULL;
  Address address;
  const GOptionEntry entries[] = {
    { "host", 0, 0, G_OPTION_ARG_STRING, &host, "Operator address of the host", "IP:PORT" },
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings, "Settings of the host", "FILE" },
    { "no-wait", 0, 0, G_OPTION_ARG_NONE, &d.no_wait, "Do not wait for the host's end", NULL },
    G_OPTION_ENTRY_NULL,
  };
  const CliArgs args
      = { .command = "drain",
          .arguments = "",
          .summary = "Takes a host out of service and reports the drain's phase until the host no "
                     "longer answers. A drain that\nhas begun is only followed. Whether it was "
                     "complete is told by the exit code of the host's process.",
          .entries = entries };

  if (cli_args (&args, &argc, &argv, &d.exit_code))
    {
      if (!host == !settings)
        {
          fputs ("either --host IP:PORT or --settings FILE is needed\n", stderr);
          d.exit_code = CLI_USAGE;
        }
      else if (host && !address_parse (host, &address))
        {
          fprintf (stderr, "\"%s\" is not an address IP:PORT\n", host);
          d.exit_code = CLI_USAGE;
        }
      else if (host)
        {
          d.address = host;
          d.exit_code = drain (&d);
        }
      else
        d.exit_code = drain_host_of_settings (&d, settings);
    }
  g_free (host);
  g_free (settings);
  return d.exit_code;
}

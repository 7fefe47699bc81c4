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

#define CONNECT_TIMEOUT_MS         1000
#define RESPONSE_TIMEOUT_MS        3000
#define POLL_INTERVAL_MS           200
#define MAX_RESPONSE_BYTES         (4 << 20) /* same as in host_states.c */
/* A single refused connection may be caused by a full accept queue. */
#define MAX_REFUSED_POLLS          2
/* Bounds the wait for a host that hangs instead of exiting. */
#define MAX_POLLS_WITHOUT_RESPONSE 10

typedef enum
{
  STEP_READ_STATE, /* reads the incarnation and whether the host is already draining */
  STEP_START_DRAIN,
  STEP_POLL
} DrainStep;

typedef struct
{
  Loop *loop;
  HttpClient *client;
  void *ctx; /* parent of exchanges, timers and response bodies */
  const char *address;
  gboolean no_wait;
  DrainStep step;
  bool has_no_summary; /* a host of an earlier version: its whole state is read */
  char *body;
  size_t len;
  char *incarnation; /* of the process that is draining */
  char *last_line;   /* last printed line; repeated lines are not printed */
  int n_refused;
  int n_without_response;
  int exit_code;
} DrainCommand;

static void
finish (DrainCommand *d, int exit_code)
{
  d->exit_code = exit_code;
  loop_stop (d->loop);
}

static void
print_state (DrainCommand *d, const HostState *state)
{
  char *line = talloc_asprintf (d->ctx, "%s: phase %s, open requests %" PRId64, state->name,
                                state->phase, state->open_requests);

  if (d->last_line && !strcmp (d->last_line, line))
    {
      talloc_free (line);
      return;
    }
  talloc_free (d->last_line);
  d->last_line = line;
  puts (line);
  fflush (stdout);
}

static void send_request (DrainCommand *d, DrainStep step);

static void
poll_state (void *data)
{
  send_request (data, STEP_POLL);
}

static void
schedule_poll (DrainCommand *d)
{
  if (d->no_wait)
    finish (d, CLI_OK);
  else
    timers_start (loop_timers (d->loop), d->ctx, POLL_INTERVAL_MS, poll_state, d);
}

/* A host that is already draining is only polled; another drain request would have no effect. */
static void
on_initial_state (DrainCommand *d, const HostState *state)
{
  d->incarnation = talloc_steal (d->ctx, state->incarnation);
  print_state (d, state);
  if (!strcmp (state->phase, "serving"))
    send_request (d, STEP_START_DRAIN);
  else
    schedule_poll (d);
}

static void
on_polled_state (DrainCommand *d, const HostState *state)
{
  d->n_refused = 0;
  d->n_without_response = 0;
  if (strcmp (state->incarnation, d->incarnation) != 0)
    {
      printf ("%s: the process has exited; a new process responds at %s\n", state->name,
              d->address);
      finish (d, CLI_OK);
      return;
    }
  print_state (d, state);
  schedule_poll (d);
}

static void
on_state (DrainCommand *d)
{
  HostState state = { 0 };

  if (!host_state_parse (d->ctx, d->body, d->len, &state))
    {
      fprintf (stderr, "%s did not return a valid host state\n", d->address);
      finish (d, d->step == STEP_READ_STATE ? CLI_UNAVAILABLE : CLI_OUTCOME_UNKNOWN);
    }
  else if (d->step == STEP_READ_STATE)
    on_initial_state (d, &state);
  else
    on_polled_state (d, &state);
}

static void
on_no_response (DrainCommand *d, HttpResult result)
{
  bool not_sent = result == HTTP_FAILED_CONNECT || result == HTTP_TIMED_OUT_CONNECT;

  if (d->step != STEP_POLL)
    {
      bool not_started = d->step == STEP_READ_STATE || not_sent;

      fprintf (stderr, "%s did not respond%s\n", d->address,
               not_started ? "; no drain was started" : "; the drain may have started");
      finish (d, not_started ? CLI_UNAVAILABLE : CLI_OUTCOME_UNKNOWN);
      return;
    }
  if (result == HTTP_FAILED_CONNECT && ++d->n_refused >= MAX_REFUSED_POLLS)
    {
      printf ("%s: no longer accepts connections\n", d->address);
      finish (d, CLI_OK);
      return;
    }
  if (result != HTTP_FAILED_CONNECT && ++d->n_without_response >= MAX_POLLS_WITHOUT_RESPONSE)
    {
      fprintf (stderr, "%s is unreachable or hangs: no response to repeated requests\n",
               d->address);
      finish (d, CLI_OUTCOME_UNKNOWN);
      return;
    }
  schedule_poll (d);
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  DrainCommand *d = data;

  (void)exchange;
  if (d->len + len > MAX_RESPONSE_BYTES)
    return true;
  d->body = talloc_realloc (d->ctx, d->body, char, d->len + len);
  memcpy (d->body + d->len, bytes, len);
  d->len += len;
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  DrainCommand *d = data;
  int status = http_exchange_status (exchange);

  talloc_free (exchange);
  if (result != HTTP_COMPLETE)
    on_no_response (d, result);
  else if (d->step != STEP_START_DRAIN && status == 404 && !d->has_no_summary)
    {
      d->has_no_summary = true;
      send_request (d, d->step);
    }
  else if (d->step != STEP_START_DRAIN)
    on_state (d);
  else if (status == 202)
    {
      puts ("drain started");
      fflush (stdout);
      schedule_poll (d);
    }
  else
    {
      fprintf (stderr, "%s rejected the drain request with status %d\n", d->address, status);
      finish (d, CLI_REJECTED);
    }
}

static void
send_request (DrainCommand *d, DrainStep step)
{
  static const HttpEvents EVENTS = { .body = on_body, .done = on_done };
  bool start_drain = step == STEP_START_DRAIN;
  const char *state = d->has_no_summary ? "state" : "summary";
  char *url
      = talloc_asprintf (d->ctx, "http://%s/v1/%s", d->address, start_drain ? "drain" : state);
  const HttpRequest request = { .method = start_drain ? "POST" : "GET",
                                .url = url,
                                .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                .timeout_ms = RESPONSE_TIMEOUT_MS,
                                .own_connection = start_drain };

  d->step = step;
  TALLOC_FREE (d->body);
  d->len = 0;
  if (!http_client_start (d->client, d->ctx, &request, &EVENTS, d))
    {
      fputs ("the HTTP request could not be started\n", stderr);
      finish (d, step == STEP_POLL ? CLI_OUTCOME_UNKNOWN : CLI_FAILED);
    }
  talloc_free (url);
}

static void
read_initial_state (void *data)
{
  send_request (data, STEP_READ_STATE);
}

static int
run_drain (DrainCommand *d)
{
  d->exit_code = CLI_FAILED;
  d->loop = loop_new (NULL);
  d->client = d->loop ? http_client_new (NULL, d->loop) : NULL;
  d->ctx = talloc_new (NULL);
  if (d->client)
    {
      timers_start (loop_timers (d->loop), d->ctx, 0, read_initial_state, d);
      loop_run (d->loop);
    }
  talloc_free (d->ctx);
  talloc_free (d->client);
  talloc_free (d->loop);
  return d->exit_code;
}

static int
drain_from_settings (DrainCommand *d, const char *path)
{
  int exit_code;
  Settings *settings = cli_settings_load (NULL, path, &exit_code);

  if (!settings)
    return exit_code;
  d->address = settings->listen_operators;
  exit_code = run_drain (d);
  talloc_free (settings);
  return exit_code;
}

int
cli_drain (int argc, char **argv)
{
  DrainCommand d = { .exit_code = CLI_FAILED };
  gchar *settings = NULL;
  gchar *host = NULL;
  Address address;
  const GOptionEntry entries[] = {
    { "host", 0, 0, G_OPTION_ARG_STRING, &host, "Operator address of the host", "IP:PORT" },
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings, "Settings file of the host", "FILE" },
    { "no-wait", 0, 0, G_OPTION_ARG_NONE, &d.no_wait, "Do not wait for the process to exit", NULL },
    G_OPTION_ENTRY_NULL,
  };
  const CliArgs args
      = { .command = "drain",
          .arguments = "",
          .summary
          = "Drains a host and reports the phase until its process has exited. If the host is "
            "already draining, the\ncommand only waits. The exit code of the host's "
            "process shows whether the drain was complete.",
          .entries = entries };

  if (cli_args_parse (&args, &argc, &argv, &d.exit_code))
    {
      if (!host == !settings)
        {
          fputs ("exactly one of --host IP:PORT and --settings FILE is required\n", stderr);
          d.exit_code = CLI_USAGE;
        }
      else if (host && !address_parse (host, &address))
        {
          fprintf (stderr, "\"%s\" is not a valid address (IP:PORT)\n", host);
          d.exit_code = CLI_USAGE;
        }
      else if (host)
        {
          d.address = host;
          d.exit_code = run_drain (&d);
        }
      else
        d.exit_code = drain_from_settings (&d, settings);
    }
  g_free (host);
  g_free (settings);
  return d.exit_code;
}

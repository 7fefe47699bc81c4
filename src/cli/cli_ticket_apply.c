#include <inttypes.h>
#include <stdio.h>

#include <jansson.h>
#include <talloc.h>

#include "cli/args.h"
#include "cli/cli_session.h"
#include "cli/cli_ticket.h"
#include "cli/exit_codes.h"

typedef struct
{
  CliSession *session;
  Ticket *ticket;
  gboolean json;
  int exit_code;
} ApplyCommand;

static int
exit_code_for (SubmitStatus status)
{
  switch (status)
    {
    case SUBMIT_ACCEPTED:
    case SUBMIT_ALREADY_ACCEPTED:
      return CLI_OK;
    case SUBMIT_REJECTED:
      return CLI_REJECTED;
    case SUBMIT_FAILED:
      return CLI_UNAVAILABLE;
    case SUBMIT_UNKNOWN:
      break;
    }
  return CLI_OUTCOME_UNKNOWN;
}

static void
print_json (const Ticket *t, const SubmitResult *r)
{
  json_t *json
      = json_pack ("{s:s,s:I,s:I,s:s?,s:I,s:s}", "status", submit_status_name (r->status), "ticket",
                   (json_int_t)t->number, "seq", (json_int_t)r->seq, "lost_on", r->object,
                   "lost_to", (json_int_t)r->other_ticket, "detail", r->err ? r->err->detail : "");

  json_dumpf (json, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (json);
}

static void
print_text (const Ticket *t, const SubmitResult *r)
{
  switch (r->status)
    {
    case SUBMIT_ACCEPTED:
      printf ("ticket %" PRIu64 " accepted with sequence number %" PRId64 "\n", t->number, r->seq);
      return;
    case SUBMIT_ALREADY_ACCEPTED:
      printf ("ticket %" PRIu64 " was accepted before\n", t->number);
      return;
    case SUBMIT_REJECTED:
      fprintf (stderr, "ticket %" PRIu64 " rejected: %s\n", t->number, r->err->detail);
      return;
    case SUBMIT_FAILED:
      fprintf (stderr, "ticket %" PRIu64 " not accepted: %s\n", t->number, r->err->detail);
      return;
    case SUBMIT_UNKNOWN:
      fprintf (stderr,
               "ticket %" PRIu64 " may have been accepted: %s Submit the same file again.\n",
               t->number, r->err->detail);
      return;
    }
}

static void
on_done (void *data, const SubmitResult *result)
{
  ApplyCommand *a = data;

  if (a->json)
    print_json (a->ticket, result);
  else
    print_text (a->ticket, result);
  a->exit_code = exit_code_for (result->status);
  loop_stop (a->session->loop);
}

/* The seed contains the time, so that simultaneous submissions retry after different delays. */
static int
submit (ApplyCommand *a)
{
  Rng rng;
  SubmitOptions options
      = { .timers = loop_timers (a->session->loop), .store = a->session->store, .rng = &rng };

  rng_seed (&rng, (uint64_t)loop_monotonic_us () ^ a->ticket->number);
  ticket_submit (a->session, &options, a->ticket, on_done, a);
  loop_run (a->session->loop);
  return a->exit_code;
}

/* With the platform interface, hosts take their configuration from the platform and read no tickets. */
static bool
reads_tickets (const CliSession *s)
{
  if (!s->settings->platform_interface)
    return true;
  fputs ("tickets are not available with callers.interface = \"platform\": the configuration comes "
         "from the platform\n",
         stderr);
  return false;
}

static int
apply (ApplyCommand *a, const char *path, const char *settings, bool dry_run)
{
  int exit_code = CLI_OK;
  void *ctx = talloc_new (NULL);

  a->ticket = cli_ticket_load (ctx, path);
  if (!a->ticket)
    exit_code = CLI_INVALID;
  else if (dry_run)
    printf ("ticket %" PRIu64 ": no errors, %zu objects\n", a->ticket->number,
            a->ticket->n_objects);
  else
    {
      a->session = cli_session_new (ctx, settings, &exit_code);
      if (a->session)
        exit_code = reads_tickets (a->session) ? submit (a) : CLI_REJECTED;
    }
  talloc_free (a->session);
  talloc_free (ctx);
  return exit_code;
}

int
cli_ticket_apply (int argc, char **argv)
{
  ApplyCommand a = { .exit_code = CLI_FAILED };
  gchar *settings = NULL;
  gboolean dry_run = FALSE;
  const GOptionEntry entries[] = {
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings,
      "Settings file with the platform's address", "FILE" },
    { "dry-run", 0, 0, G_OPTION_ARG_NONE, &dry_run, "Check the file without submitting it", NULL },
    { "json", 0, 0, G_OPTION_ARG_NONE, &a.json, "Print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  const CliArgs args
      = { .command = "ticket apply",
          .arguments = "FILE",
          .summary = "Submits a ticket. Submitting the same ticket again is safe: it "
                     "is accepted only once.",
          .entries = entries,
          .min_arguments = 1,
          .max_arguments = 1 };
  int exit_code;

  if (cli_args_parse (&args, &argc, &argv, &exit_code))
    exit_code = apply (&a, argv[1], settings, dry_run);
  g_free (settings);
  return exit_code;
}

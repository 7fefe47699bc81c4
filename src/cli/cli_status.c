#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "cli/args.h"
#include "cli/cli_session.h"
#include "cli/cli_ticket.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "cli/host_states.h"
#include "fleet/registry.h"
#include "ticket/ticket_objects.h"

#define MAX_HOST_ROWS 500

typedef struct
{
  CliSession *session;
  bool compare_versions; /* compares each host's version with the last ticket */
  TicketHead head;       /* the last accepted ticket */
  gboolean json;
  int exit_code;
} StatusCommand;

/* A host that has no configuration yet reports the phase "serving" but is not ready. */
static const char *
readiness (const HostState *h)
{
  if (h->ready)
    return "ready";
  return strcmp (h->phase, "serving") != 0 ? h->phase : "not ready";
}

static void
print_host (const StatusCommand *s, const HostState *h)
{
  if (!h->responded)
    {
      printf ("%-24s %-16s no response (%s)\n", h->name, h->data_centre, h->operator_address);
      return;
    }
  printf ("%-24s %-16s %-10s version %-8" PRId64 " open requests %" PRId64 "%s%s%s\n", h->name,
          h->data_centre, readiness (h), h->version, h->open_requests,
          s->compare_versions && h->version < s->head.seq ? ", out of date" : "",
          h->evacuated[0] ? ", evacuated " : "", h->evacuated);
}

static json_t *
host_json (const HostState *h)
{
  json_t *o = json_pack ("{s:s,s:s,s:s,s:b}", "host", h->name, "data_centre", h->data_centre,
                         "operators", h->operator_address, "heard", h->responded);
  json_t *details;

  if (!h->responded)
    return o;
  details = json_pack ("{s:s,s:b,s:s,s:I,s:I,s:s}", "incarnation", h->incarnation, "ready",
                       h->ready, "phase", h->phase, "version", (json_int_t)h->version,
                       "open_requests", (json_int_t)h->open_requests, "evacuated", h->evacuated);
  json_object_update (o, details);
  json_decref (details);
  return o;
}

static void
print_json (const StatusCommand *s, const HostState *hosts, size_t n, bool complete)
{
  json_t *list = json_array ();
  json_t *json;

  for (size_t i = 0; i < n; i++)
    json_array_append_new (list, host_json (&hosts[i]));
  json = json_pack ("{s:b,s:o}", "complete", complete, "hosts", list);
  if (s->compare_versions)
    {
      json_object_set_new (json, "seq", json_integer (s->head.seq));
      json_object_set_new (json, "ticket", json_integer (s->head.ticket));
    }
  json_dumpf (json, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (json);
}

static void
on_states (void *data, const HostState *hosts, size_t n)
{
  StatusCommand *s = data;
  bool complete = n > 0;

  for (size_t i = 0; i < n; i++)
    complete = complete && hosts[i].responded
               && (!s->compare_versions || hosts[i].version >= s->head.seq);
  if (s->json)
    print_json (s, hosts, n, complete);
  else
    {
      if (s->compare_versions)
        printf ("last ticket %" PRId64 ", sequence number %" PRId64 "\n", s->head.ticket,
                s->head.seq);
      for (size_t i = 0; i < n; i++)
        print_host (s, &hosts[i]);
      if (n == 0)
        puts ("no hosts are registered");
    }
  cli_session_end (s->session, &s->exit_code, complete ? CLI_OK : CLI_INCOMPLETE);
}

static void
on_hosts (void *data, const StoreReply *reply)
{
  StatusCommand *s = data;

  if (!cli_session_read_failed (s->session, &s->exit_code, reply))
    host_states_query (s->session, s->session->client, loop_timers (s->session->loop), reply->rows,
                       reply->n_rows, on_states, s);
}

static void
read_hosts (StatusCommand *s)
{
  StoreRange range = { .table = REGISTRY_TABLE, .partition = "", .limit = MAX_HOST_ROWS };

  store_range (s->session->store, s->session, &range, on_hosts, s);
}

static void
on_head (void *data, const StoreReply *reply)
{
  StatusCommand *s = data;

  if (cli_session_read_failed (s->session, &s->exit_code, reply))
    return;
  if (reply->n_rows > 0 && !strcmp (reply->rows[0].key.name, TICKET_HEAD_ROW))
    ticket_head_parse (reply->rows[0].value, reply->rows[0].len, &s->head);
  read_hosts (s);
}

static void
read_head (StatusCommand *s)
{
  StoreRange range
      = { .table = TICKET_TABLE, .partition = "", .from = TICKET_HEAD_ROW, .limit = 1 };

  store_range (s->session->store, s->session, &range, on_head, s);
}

static int
run (const CliArgs *base, bool compare_versions, int argc, char **argv)
{
  StatusCommand s = { .compare_versions = compare_versions, .exit_code = CLI_FAILED };
  gchar *settings = NULL;
  const GOptionEntry entries[] = {
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings,
      "Settings file with the platform's address", "FILE" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &s.json, "Print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  CliArgs args = *base;

  args.entries = entries;
  if (cli_args_parse (&args, &argc, &argv, &s.exit_code))
    {
      s.session = cli_session_new (NULL, settings, &s.exit_code);
      if (s.session)
        {
          if (compare_versions)
            read_head (&s);
          else
            read_hosts (&s);
          loop_run (s.session->loop);
          talloc_free (s.session);
        }
    }
  g_free (settings);
  return s.exit_code;
}

int
cli_status (int argc, char **argv)
{
  const CliArgs args = { .command = "status",
                         .arguments = "",
                         .summary = "Shows the state of every registered host." };

  return run (&args, false, argc, argv);
}

int
cli_ticket_status (int argc, char **argv)
{
  const CliArgs args = { .command = "ticket status",
                         .arguments = "",
                         .summary = "Shows which ticket each host has in force, and lists "
                                    "unresponsive hosts." };

  return run (&args, true, argc, argv);
}

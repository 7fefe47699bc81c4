#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "budget/budget_rows.h"
#include "cli/args.h"
#include "cli/cli_session.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"

#define MAX_ROWS 500 /* the account's row and one row per host */

typedef struct
{
  CliSession *session;
  const char *account;
  gboolean json;
  int exit_code;
} ShowCommand;

typedef struct
{
  BudgetRow row;
  bool found;
  Tokens spent;
  json_t *hosts;
} BudgetReport;

static void
add_host (BudgetReport *s, const StoreRow *stored)
{
  const char *name = stored->key.name + strlen (BUDGET_HOST_PREFIX);
  BudgetHostRow host;

  if (!budget_host_row_decode (stored, &host))
    {
      fprintf (stderr, "row \"%s\" cannot be decoded\n", stored->key.name);
      return;
    }
  s->spent += host.spent;
  json_array_append_new (s->hosts,
                         json_pack ("{s:s,s:I,s:I}", "host", name, "transactions",
                                    (json_int_t)host.seq, "spent", (json_int_t)host.spent));
}

static void
print_text (const ShowCommand *show, const BudgetReport *s)
{
  printf ("account %s: limit %" PRId64 ", granted %" PRId64 ", free %" PRId64
          ", spent as last reported %" PRId64 "\n",
          show->account, s->row.limit, s->row.granted, s->row.limit - s->row.granted, s->spent);
  for (size_t i = 0; i < json_array_size (s->hosts); i++)
    {
      const json_t *h = json_array_get (s->hosts, i);

      printf ("  %-24s spent %" JSON_INTEGER_FORMAT "\n",
              json_string_value (json_object_get (h, "host")),
              json_integer_value (json_object_get (h, "spent")));
    }
}

static void
print_json (const ShowCommand *show, const BudgetReport *s)
{
  json_t *json = json_pack ("{s:s,s:I,s:I,s:I,s:O}", "account", show->account, "limit",
                            (json_int_t)s->row.limit, "granted", (json_int_t)s->row.granted,
                            "spent", (json_int_t)s->spent, "hosts", s->hosts);

  json_dumpf (json, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (json);
}

static void
on_rows (void *data, const StoreReply *reply)
{
  ShowCommand *show = data;
  BudgetReport s = { .hosts = json_array () };

  if (!cli_session_read_failed (show->session, &show->exit_code, reply))
    {
      for (size_t i = 0; i < reply->n_rows; i++)
        if (!strcmp (reply->rows[i].key.name, BUDGET_ACCOUNT_ROW))
          s.found = budget_row_decode (&reply->rows[i], &s.row);
        else
          add_host (&s, &reply->rows[i]);
      if (!s.found)
        fprintf (stderr,
                 "account \"%s\" has no valid budget row; hosts create it with the first grant\n",
                 show->account);
      else if (show->json)
        print_json (show, &s);
      else
        print_text (show, &s);
      cli_session_end (show->session, &show->exit_code, s.found ? CLI_OK : CLI_REJECTED);
    }
  json_decref (s.hosts);
}

static int
cli_budget_show (int argc, char **argv)
{
  ShowCommand s = { .exit_code = CLI_FAILED };
  gchar *settings = NULL;
  const GOptionEntry entries[] = {
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings,
      "Settings file with the platform's address", "FILE" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &s.json, "Print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  const CliArgs args = { .command = "budget show",
                         .arguments = "ACCOUNT",
                         .summary = "Shows how many tokens of an account's budget are granted to "
                                    "hosts, and how many each host\nhad spent when it last wrote "
                                    "its row to the store.",
                         .entries = entries,
                         .min_arguments = 1,
                         .max_arguments = 1 };

  if (cli_args_parse (&args, &argc, &argv, &s.exit_code))
    {
      s.session = cli_session_new (NULL, settings, &s.exit_code);
      if (s.session)
        {
          StoreRange range = { .table = BUDGET_TABLE, .partition = argv[1], .limit = MAX_ROWS };

          s.account = argv[1];
          store_range (s.session->store, s.session, &range, on_rows, &s);
          loop_run (s.session->loop);
          talloc_free (s.session);
        }
    }
  g_free (settings);
  return s.exit_code;
}

int
cli_budget (int argc, char **argv)
{
  static const CliCommand COMMANDS[] = {
    { "show", "Show an account's budget, its grants and the spending of each host",
      cli_budget_show },
  };

  return cli_dispatch ("sapphirepond budget", COMMANDS, sizeof COMMANDS / sizeof COMMANDS[0], argc,
                       argv);
}

#include <stdio.h>

#include <jansson.h>
#include <talloc.h>

#include "cli/args.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "settings/toml_file.h"
#include "settings/settings.h"
#include "ticket/ticket.h"

typedef struct
{
  gboolean as_ticket;
  gboolean as_settings;
  gboolean json;
} CheckOptions;

/* Without an option, a file with the key "ticket" (the ticket number) is a ticket. */
static bool
is_ticket (const CheckOptions *options, const TomlNode *root)
{
  if (options->as_ticket || options->as_settings)
    return options->as_ticket;
  return toml_get (root, "ticket") != NULL;
}

/* @return the kind of the file: "ticket", "settings" or "unreadable". */
static const char *
check_file (const CheckOptions *options, const char *path, Problems *problems)
{
  size_t len;
  char *text = toml_file_read (problems, path, &len, problems);
  TomlNode *root = text ? toml_file_parse (problems, text, len, problems) : NULL;

  if (!root)
    return "unreadable";
  if (is_ticket (options, root))
    {
      ticket_from_toml (problems, root, problems);
      return "ticket";
    }
  settings_from_toml (problems, root, problems);
  return "settings";
}

static json_t *
result_json (const char *path, const char *kind, const Problems *p)
{
  json_t *errors = json_array ();

  for (size_t i = 0; i < p->n; i++)
    json_array_append_new (
        errors, json_pack ("{s:i,s:s}", "line", p->list[i].line, "message", p->list[i].text));
  return json_pack ("{s:s,s:s,s:b,s:o}", "file", path, "kind", kind, "ok", p->n == 0, "errors",
                    errors);
}

static void
print_text (const char *path, const char *kind, const Problems *p)
{
  char *errors = problems_print (NULL, p);

  if (p->n == 0)
    printf ("%s: %s, no errors\n", path, kind);
  fputs (errors, stderr);
  talloc_free (errors);
}

static int
check_all (const CheckOptions *options, int n, char **paths)
{
  json_t *results = json_array ();
  int exit_code = CLI_OK;

  for (int i = 0; i < n; i++)
    {
      Problems *p = problems_new (NULL, paths[i]);
      const char *kind = check_file (options, paths[i], p);

      if (p->n)
        exit_code = CLI_INVALID;
      if (options->json)
        json_array_append_new (results, result_json (paths[i], kind, p));
      else
        print_text (paths[i], kind, p);
      talloc_free (p);
    }
  if (options->json)
    {
      json_dumpf (results, stdout, JSON_INDENT (2));
      putchar ('\n');
    }
  json_decref (results);
  return exit_code;
}

int
cli_check (int argc, char **argv)
{
  CheckOptions options = { FALSE, FALSE, FALSE };
  const GOptionEntry entries[] = {
    { "ticket", 0, 0, G_OPTION_ARG_NONE, &options.as_ticket, "Check the files as tickets", NULL },
    { "settings", 0, 0, G_OPTION_ARG_NONE, &options.as_settings, "Check the files as settings",
      NULL },
    { "json", 0, 0, G_OPTION_ARG_NONE, &options.json, "Print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  const CliArgs args
      = { .command = "check",
          .arguments = "FILE...",
          .summary = "Checks settings and ticket files and reports all errors. A file "
                     "with the key \"ticket\" is\na ticket, any other file is a "
                     "settings file. \"-\" is standard input.",
          .entries = entries,
          .min_arguments = 1,
          .max_arguments = -1 };
  int exit_code;

  if (!cli_args_parse (&args, &argc, &argv, &exit_code))
    return exit_code;
  if (options.as_ticket && options.as_settings)
    {
      fputs ("sapphirepond check: --ticket and --settings are mutually exclusive\n", stderr);
      return CLI_USAGE;
    }
  return check_all (&options, argc - 1, argv + 1);
}

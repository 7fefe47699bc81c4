#include "cli/args.h"

#include <stdio.h>

#include "cli/exit_codes.h"
#include "cli/version.h"

const char CLI_EXIT_CODES_HELP[]
    = "Exit codes: 0 success, 1 internal error, 2 usage error, 3 invalid "
      "file, 4 rejected, 5 platform or\n"
      "host unavailable, 6 outcome unknown (the command can be repeated "
      "safely), 7 incomplete result.";

static GOptionContext *
context_new (const CliArgs *args, gboolean *show_version)
{
  GOptionContext *c = g_option_context_new (args->arguments);
  const GOptionEntry common[] = {
    { "version", 0, 0, G_OPTION_ARG_NONE, show_version, "Print the version", NULL },
    G_OPTION_ENTRY_NULL,
  };
  char *program = g_strdup_printf ("sapphirepond %s", args->command);

  g_set_prgname (program);
  g_free (program);
  g_option_context_set_summary (c, args->summary);
  g_option_context_set_description (c, args->description ? args->description : CLI_EXIT_CODES_HELP);
  g_option_context_add_main_entries (c, args->entries, NULL);
  g_option_context_add_main_entries (c, common, NULL);
  return c;
}

bool
cli_args_parse (const CliArgs *args, int *argc, char ***argv, int *exit_code)
{
  gboolean show_version = FALSE;
  GOptionContext *c = context_new (args, &show_version);
  GError *error = NULL;
  bool ok = g_option_context_parse (c, argc, argv, &error);

  g_option_context_free (c);
  *exit_code = ok ? CLI_OK : CLI_USAGE;
  if (!ok)
    {
      fprintf (stderr, "%s: %s\n", g_get_prgname (), error->message);
      g_error_free (error);
      return false;
    }
  if (show_version)
    {
      puts ("sapphirepond " POND_VERSION);
      return false;
    }
  if (*argc - 1 >= args->min_arguments
      && (args->max_arguments < 0 || *argc - 1 <= args->max_arguments))
    return true;
  fprintf (stderr, "%s: expected arguments: %s\n", g_get_prgname (), args->arguments);
  *exit_code = CLI_USAGE;
  return false;
}

#include "cli/commands.h"

#include <stdio.h>
#include <string.h>

#include "cli/exit_codes.h"
#include "cli/version.h"

const CliCommand CLI_COMMANDS[] = {
  { "serve", "Run the router process of a host", cli_serve },
  { "check", "Check settings and ticket files", cli_check },
  { "ticket", "Apply and show tickets, and show where they are in force", cli_ticket },
  { "status", "Show the state of all hosts", cli_status },
  { "drain", "Drain a host", cli_drain },
  { "budget", "Show budgets and their grants", cli_budget },
  { "load", "Generate load and measure latencies", cli_load },
  { "keys", "Hash an API key for a ticket", cli_keys },
};
const size_t CLI_N_COMMANDS = sizeof CLI_COMMANDS / sizeof CLI_COMMANDS[0];

static void
print_usage (FILE *out, const char *program, const CliCommand *commands, size_t n)
{
  fprintf (out, "Usage: %s COMMAND [OPTION...]\n\nCommands:\n", program);
  for (size_t i = 0; i < n; i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\n\"%s COMMAND --help\" shows the options of a command.\n", program);
}

int
cli_dispatch (const char *program, const CliCommand *commands, size_t n, int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "";

  if (!strcmp (name, "--help") || !strcmp (name, "-h"))
    {
      print_usage (stdout, program, commands, n);
      return CLI_OK;
    }
  if (!strcmp (name, "--version"))
    {
      puts ("sapphirepond " POND_VERSION);
      return CLI_OK;
    }
  for (size_t i = 0; i < n; i++)
    if (!strcmp (commands[i].name, name))
      return commands[i].run (argc - 1, argv + 1);
  if (name[0])
    fprintf (stderr, "%s: unknown command \"%s\"\n", program, name);
  print_usage (stderr, program, commands, n);
  return CLI_USAGE;
}

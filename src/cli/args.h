/** @file
 * Command line of one subcommand, parsed with GLib's option parser. */
#pragma once

#include <stdbool.h>

#include <glib.h>

typedef struct
{
  const char *command;         /* for example "ticket apply" */
  const char *arguments;       /* for example "FILE" */
  const char *summary;         /* one or two lines above the options */
  const char *description;     /* text below the options; NULL: CLI_EXIT_CODES_HELP */
  const GOptionEntry *entries; /* --help and --version are added */
  int min_arguments;
  int max_arguments; /* -1: unlimited */
} CliArgs;

/** Parses the options and removes them from @p argv. The remaining arguments are argv[1] to argv[*argc - 1].
 * @return false if the command must exit with *exit_code: after --version, or after printing a usage error. --help
 * exits the process with 0. */
bool cli_args_parse (const CliArgs *args, int *argc, char ***argv, int *exit_code);

/** Help text that lists the exit codes, for CliArgs.description. */
extern const char CLI_EXIT_CODES_HELP[];

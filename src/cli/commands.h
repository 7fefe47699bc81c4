/** @file
 * Table of subcommands and their entry points, `int cli_NAME (int argc, char **argv)`. argv[0] is the
 * name of the subcommand; the return value is a CliExit. */
#pragma once

#include <stddef.h>

typedef struct
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
} CliCommand;

extern const CliCommand CLI_COMMANDS[];
extern const size_t CLI_N_COMMANDS;

int cli_budget (int argc, char **argv);
int cli_check (int argc, char **argv);
int cli_drain (int argc, char **argv);
int cli_keys (int argc, char **argv);
int cli_load (int argc, char **argv);
int cli_serve (int argc, char **argv);
int cli_status (int argc, char **argv);
int cli_ticket (int argc, char **argv);

/** Runs the command that argv[1] names, or prints the list of @p commands for --help and for an unknown
 * name. @p program is the text before the command in usage lines. @return a CliExit. */
int cli_dispatch (const char *program, const CliCommand *commands, size_t n, int argc, char **argv);

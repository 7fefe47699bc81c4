/** @file
 * Runs a subcommand of the program within the test process. */
#pragma once

#include <stddef.h>

/** Runs `argv[0] argv[1] ...` and discards its output. @return the exit code. */
int cli_run_quietly (int argc, char **argv);

/** Like cli_run_quietly(), but stores standard output in @p output as a string, truncated to @p
 * size. */
int cli_run_output (int argc, char **argv, char *output, size_t size);

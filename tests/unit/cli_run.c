#include "cli_run.h"

#include <fcntl.h>
#include <stdio.h>
#include <sys/mman.h>
#include <unistd.h>

#include "cli/commands.h"

/* Runs the command with standard output redirected to @p stdout_fd and standard error discarded. */
static int
run_with_stdout (int stdout_fd, int argc, char **argv)
{
  int out = dup (STDOUT_FILENO);
  int err = dup (STDERR_FILENO);
  int null = open ("/dev/null", O_WRONLY | O_CLOEXEC);
  int exit_code;

  fflush (stdout);
  dup2 (stdout_fd, STDOUT_FILENO);
  dup2 (null, STDERR_FILENO);
  exit_code = cli_dispatch ("sapphirepond", CLI_COMMANDS, CLI_N_COMMANDS, argc, argv);
  fflush (stdout);
  dup2 (out, STDOUT_FILENO);
  dup2 (err, STDERR_FILENO);
  close (out);
  close (err);
  close (null);
  return exit_code;
}

int
cli_run_quietly (int argc, char **argv)
{
  int null = open ("/dev/null", O_WRONLY | O_CLOEXEC);
  int exit_code = run_with_stdout (null, argc, argv);

  close (null);
  return exit_code;
}

int
cli_run_output (int argc, char **argv, char *output, size_t size)
{
  int file = memfd_create ("output", MFD_CLOEXEC);
  int exit_code = run_with_stdout (file, argc, argv);
  ssize_t n = pread (file, output, size - 1, 0);

  output[n > 0 ? n : 0] = '\0';
  close (file);
  return exit_code;
}

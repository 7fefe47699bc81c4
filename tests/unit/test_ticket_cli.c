#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include <glib.h>
#include <talloc.h>

#include "cli/cli_ticket.h"
#include "cli/host_states.h"
#include "cli/exit_codes.h"
#include "cli_run.h"

#define MAX_ARGUMENTS 6

typedef struct
{
  const char *argv[MAX_ARGUMENTS];
  int exit_code;
} CommandRow;

static const CommandRow COMMANDS[] = {
  { { "sapphirepond" }, CLI_USAGE },
  { { "sapphirepond", "--help" }, CLI_OK },
  { { "sapphirepond", "--version" }, CLI_OK },
  { { "sapphirepond", "nothing" }, CLI_USAGE },
  { { "sapphirepond", "check" }, CLI_USAGE },
  { { "sapphirepond", "check", "--version" }, CLI_OK },
  { { "sapphirepond", "check", "--nothing" }, CLI_USAGE },
  { { "sapphirepond", "check", "--ticket", "--settings", "x" }, CLI_USAGE },
  { { "sapphirepond", "check", "/nonexistent/file" }, CLI_INVALID },
  { { "sapphirepond", "check", "examples/hringras/ticket-1.toml" }, CLI_OK },
  { { "sapphirepond", "check", "--json", "examples/hringras/hr-austur-1.toml" }, CLI_OK },
  { { "sapphirepond", "check", "--settings", "examples/hringras/ticket-1.toml" }, CLI_INVALID },
  { { "sapphirepond", "check", "--ticket", "examples/hringras/hr-austur-1.toml" }, CLI_INVALID },
  { { "sapphirepond", "ticket" }, CLI_USAGE },
  { { "sapphirepond", "ticket", "--help" }, CLI_OK },
  { { "sapphirepond", "ticket", "apply" }, CLI_USAGE },
  { { "sapphirepond", "ticket", "apply", "--dry-run", "examples/hringras/ticket-1.toml" }, CLI_OK },
  { { "sapphirepond", "ticket", "apply", "examples/hringras/ticket-1.toml" }, CLI_USAGE },
  { { "sapphirepond", "ticket", "apply", "examples/hringras/hr-austur-1.toml" }, CLI_INVALID },
  { { "sapphirepond", "ticket", "show", "examples/krattgarden/ticket-2.toml" }, CLI_OK },
  { { "sapphirepond", "ticket", "show", "7" }, CLI_INVALID },
  { { "sapphirepond", "ticket", "status" }, CLI_USAGE },
};

/* Guards against a change of the documented exit codes, which scripts rely on. */
static void
commands_have_the_documented_exit_codes (void)
{
  for (size_t i = 0; i < sizeof COMMANDS / sizeof COMMANDS[0]; i++)
    {
      char *argv[MAX_ARGUMENTS + 1] = { NULL };
      int argc = 0;
      int exit_code;

      while (argc < MAX_ARGUMENTS && COMMANDS[i].argv[argc])
        {
          argv[argc] = (char *)COMMANDS[i].argv[argc];
          argc++;
        }
      exit_code = cli_run_quietly (argc, argv);
      if (exit_code != COMMANDS[i].exit_code)
        fprintf (stderr, "row %zu: exit code %d\n", i, exit_code);
      CU_ASSERT_EQUAL (exit_code, COMMANDS[i].exit_code);
    }
}

/* Guards against accepting a malformed response, or one from another host, as the state of the host
 * that was asked. */
static void
only_a_response_of_the_host_itself_is_accepted (void)
{
  static const char *const WRONG[] = {
    "",
    "{}",
    "[]",
    "{\"host\":\"h2\",\"version\":5,\"ready\":true}",
    "{\"host\":\"h1\",\"version\":\"5\",\"ready\":true}",
  };
  static const char RIGHT[]
      = "{\"host\":\"h1\",\"version\":5,\"ready\":true,\"open_requests\":7,\"more\":1}";
  void *ctx = talloc_new (NULL);
  HostState state = { .name = "h1" };

  for (size_t i = 0; i < sizeof WRONG / sizeof WRONG[0]; i++)
    CU_ASSERT_FALSE (host_state_parse (ctx, WRONG[i], strlen (WRONG[i]), &state));
  CU_ASSERT_FALSE (state.responded);
  CU_ASSERT_TRUE (host_state_parse (ctx, RIGHT, strlen (RIGHT), &state));
  CU_ASSERT (state.responded && state.ready && state.version == 5 && state.open_requests == 7);
  talloc_free (ctx);
}

/* Runs the command "keys" with a key of @p len bytes on standard input. */
static int
run_keys (size_t len)
{
  char *argv[] = { "sapphirepond", "keys", NULL };
  char *key = g_strnfill (len, 'k');
  int input = memfd_create ("key", MFD_CLOEXEC);
  int before = dup (STDIN_FILENO);
  int exit_code;

  CU_ASSERT_EQUAL (write (input, key, len), (ssize_t)len);
  CU_ASSERT_EQUAL (write (input, "\n", 1), 1);
  lseek (input, 0, SEEK_SET);
  dup2 (input, STDIN_FILENO);
  clearerr (stdin);
  exit_code = cli_run_quietly (2, argv);
  while (getchar () != EOF)
    ;
  dup2 (before, STDIN_FILENO);
  close (before);
  close (input);
  g_free (key);
  return exit_code;
}

/* Guards against the hash of a key that was cut without notice: no client that sends the whole key would be accepted. */
static void
keys_of_any_accepted_length_are_hashed_whole (void)
{
  CU_ASSERT_EQUAL (run_keys (15), CLI_INVALID);
  CU_ASSERT_EQUAL (run_keys (16), CLI_OK);
  CU_ASSERT_EQUAL (run_keys (510), CLI_OK);
  CU_ASSERT_EQUAL (run_keys (511), CLI_INVALID);
  CU_ASSERT_EQUAL (run_keys (5000), CLI_INVALID);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "keys_of_any_accepted_length_are_hashed_whole",
      keys_of_any_accepted_length_are_hashed_whole },
    { "commands_have_the_documented_exit_codes", commands_have_the_documented_exit_codes },
    { "only_a_response_of_the_host_itself_is_accepted",
      only_a_response_of_the_host_itself_is_accepted },
  };

  return harness_run ("ticket_cli", CASES, sizeof CASES / sizeof CASES[0]);
}

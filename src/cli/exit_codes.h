/** @file
 * Exit codes of all subcommands. They are part of the interface to scripts. */
#pragma once

typedef enum
{
  CLI_OK = 0,              /* success */
  CLI_FAILED = 1,          /* internal error */
  CLI_USAGE = 2,           /* wrong options or arguments */
  CLI_INVALID = 3,         /* invalid settings file, ticket file or key */
  CLI_REJECTED = 4,        /* no effect: rejected, for example because of a conflicting ticket */
  CLI_UNAVAILABLE = 5,     /* no effect: the platform or the host did not respond */
  CLI_OUTCOME_UNKNOWN = 6, /* may have taken effect; repeating the command is safe */
  CLI_INCOMPLETE = 7       /* hosts did not respond or are out of date, or a drain was incomplete */
} CliExit;

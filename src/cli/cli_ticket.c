#include "cli/cli_ticket.h"

#include <stdio.h>

#include <talloc.h>

#include "cli/commands.h"

int
cli_ticket (int argc, char **argv)
{
  static const CliCommand COMMANDS[] = {
    { "apply", "Submit a ticket", cli_ticket_apply },
    { "show", "Show the objects of a ticket file", cli_ticket_show },
    { "status", "Show which hosts have the last ticket in force", cli_ticket_status },
  };

  return cli_dispatch ("sapphirepond ticket", COMMANDS, sizeof COMMANDS / sizeof COMMANDS[0], argc,
                       argv);
}

Ticket *
cli_ticket_load (const void *ctx, const char *path)
{
  Problems *p = problems_new (NULL, path);
  Ticket *t = ticket_load (ctx, path, p);

  fputs (problems_print (p, p), stderr);
  talloc_free (p);
  return t;
}

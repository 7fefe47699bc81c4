#include <locale.h>

#include "cli/commands.h"

int
main (int argc, char **argv)
{
  setlocale (LC_CTYPE, "");
  return cli_dispatch ("sapphirepond", CLI_COMMANDS, CLI_N_COMMANDS, argc, argv);
}

#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <termios.h>
#include <unistd.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "cli/args.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"

#define KEY_MAX_BYTES    510
#define KEY_BUFFER_BYTES (KEY_MAX_BYTES + 2) /* for the key, the line end and a zero byte */
/* Tickets hold an unsalted SHA-256 hash, so a shorter key could be found by brute force. */
#define KEY_MIN_BYTES    16

/* Reads one line with terminal echo off. @return its length, or -1; more than KEY_MAX_BYTES if it is longer. */
static int
read_key (char *key, size_t size)
{
  struct termios old;
  bool terminal = tcgetattr (STDIN_FILENO, &old) == 0;
  struct termios quiet = old;
  char *line;

  if (terminal)
    {
      fputs ("API key: ", stderr);
      quiet.c_lflag &= ~(tcflag_t)ECHO;
      tcsetattr (STDIN_FILENO, TCSAFLUSH, &quiet);
    }
  line = fgets (key, (int)size, stdin);
  if (terminal)
    {
      tcsetattr (STDIN_FILENO, TCSAFLUSH, &old);
      fputc ('\n', stderr);
    }
  if (!line)
    return -1;
  if (strlen (key) > KEY_MAX_BYTES && !strchr (key, '\n'))
    return KEY_MAX_BYTES + 1;
  key[strcspn (key, "\r\n")] = '\0';
  return (int)strlen (key);
}

static void
print_hash (const char *key, size_t len)
{
  unsigned char hash[SHA256_DIGEST_LENGTH];

  SHA256 ((const unsigned char *)key, len, hash);
  fputs ("sha256:", stdout);
  for (size_t i = 0; i < sizeof hash; i++)
    printf ("%02x", hash[i]);
  putchar ('\n');
}

int
cli_keys (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  const CliArgs args
      = { .command = "keys",
          .arguments = "",
          .summary = "Reads an API key from standard input and prints its hash in the "
                     "format of tickets.",
          .entries = entries };
  char key[KEY_BUFFER_BYTES];
  int exit_code;
  int len;
  bool valid;

  if (!cli_args_parse (&args, &argc, &argv, &exit_code))
    return exit_code;
  len = read_key (key, sizeof key);
  valid = len >= KEY_MIN_BYTES && len <= KEY_MAX_BYTES;
  if (valid)
    print_hash (key, (size_t)len);
  else
    fprintf (stderr, "sapphirepond keys: a key must have %d to %d bytes\n", KEY_MIN_BYTES,
             KEY_MAX_BYTES);
  OPENSSL_cleanse (key, sizeof key);
  return valid ? CLI_OK : CLI_INVALID;
}

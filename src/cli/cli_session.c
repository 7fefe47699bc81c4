#include "cli/cli_session.h"

#include <stdio.h>

#include <talloc.h>

#include "cli/exit_codes.h"
#include "platform/platform_store.h"

#define STORE_CALL_TIMEOUT_MS 3000

Settings *
cli_settings_load (const void *ctx, const char *path, int *exit_code)
{
  Problems *p = problems_new (NULL, path);
  Settings *s = settings_load (ctx, path, p);

  fputs (problems_print (p, p), stderr);
  talloc_free (p);
  *exit_code = s ? CLI_OK : CLI_INVALID;
  return s;
}

/* Frees each object before those that it uses: the store client uses the HTTP client, which uses the loop. */
static int
session_destroy (CliSession *s)
{
  talloc_free (s->store);
  talloc_free (s->client);
  talloc_free (s->loop);
  return 0;
}

static bool
session_init (CliSession *s)
{
  PlatformStoreOptions options = { .call_timeout_ms = STORE_CALL_TIMEOUT_MS };

  s->loop = loop_new (s);
  s->client = s->loop ? http_client_new (s, s->loop) : NULL;
  if (!s->client)
    return false;
  options.client = s->client;
  options.address = s->settings->platform_address;
  s->store = platform_store_new (s, &options);
  return s->store != NULL;
}

CliSession *
cli_session_new (const void *ctx, const char *settings_path, int *exit_code)
{
  CliSession *s;

  if (!settings_path)
    {
      fputs ("--settings FILE is required: it contains the address of the platform\n", stderr);
      *exit_code = CLI_USAGE;
      return NULL;
    }
  s = talloc_zero (ctx, CliSession);
  s->settings = cli_settings_load (s, settings_path, exit_code);
  if (s->settings && session_init (s))
    {
      talloc_set_destructor (s, session_destroy);
      return s;
    }
  if (s->settings)
    {
      fputs ("the platform client could not be created\n", stderr);
      *exit_code = CLI_FAILED;
    }
  talloc_free (s);
  return NULL;
}

void
cli_session_end (CliSession *s, int *result, int exit_code)
{
  *result = exit_code;
  loop_stop (s->loop);
}

bool
cli_session_read_failed (CliSession *s, int *result, const StoreReply *reply)
{
  if (reply->result == STORE_DONE)
    return false;
  fprintf (stderr, "reading from the platform failed: %s\n", reply->detail);
  cli_session_end (s, result, CLI_UNAVAILABLE);
  return true;
}

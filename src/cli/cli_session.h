/** @file
 * What a subcommand needs to talk to the store and to hosts. */
#pragma once

#include "core/loop.h"
#include "http/client.h"
#include "settings/settings.h"
#include "store/store.h"

typedef struct
{
  Settings *settings;
  Loop *loop;
  HttpClient *client;
  Store *store;
} CliSession;

/** Reads a settings file. @return a talloc object under @p ctx; NULL, after printing why, with
 * *exit_code. */
Settings *cli_settings_load (const void *ctx, const char *path, int *exit_code);

/** Reads the settings file and makes the rest. @return a talloc object under @p ctx; NULL, after
 * printing why, with *exit_code. */
CliSession *cli_session_new (const void *ctx, const char *settings_path, int *exit_code);

/** Ends the session's loop with an exit code, which goes to @p result. */
void cli_session_end (CliSession *session, int *result, int exit_code);

/** Ends the session with CLI_UNAVAILABLE after a message if a read of the store failed.
 * @return whether it did. */
bool cli_session_read_failed (CliSession *session, int *result, const StoreReply *reply);

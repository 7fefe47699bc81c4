/** @file
 * Settings, event loop, HTTP client and store client for subcommands that access the store or hosts. */
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

/** Reads a settings file and prints its errors. @return a talloc object under @p ctx, or NULL with
 * *exit_code set. */
Settings *cli_settings_load (const void *ctx, const char *path, int *exit_code);

/** Reads the settings file and creates the loop, the HTTP client and the store client. @return a talloc object under @p ctx, or
 * NULL after printing an error, with *exit_code set. */
CliSession *cli_session_new (const void *ctx, const char *settings_path, int *exit_code);

/** Stops the session's loop and stores @p exit_code in *result. */
void cli_session_end (CliSession *session, int *result, int exit_code);

/** If a read of the store failed, prints an error and ends the session with CLI_UNAVAILABLE.
 * @return true if the read failed. */
bool cli_session_read_failed (CliSession *session, int *result, const StoreReply *reply);

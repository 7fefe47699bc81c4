/** @file
 * Settings of `sapphirepond serve`, read once at the start. Everything that may change later is in
 * tickets. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/log.h"
#include "settings/problems.h"
#include "settings/toml_reader.h"

/** A data centre and the region that it is in. */
typedef struct
{
  const char *name;
  const char *region;
} SettingsDataCentre;

typedef struct
{
  const char *host_name;
  const char *data_centre;
  const char *region;
  const char *listen_callers;   /* "IP:port" */
  const char *listen_peers;     /* "" for none */
  const char *listen_readiness; /* "" for none */
  const char *listen_operators;
  const char *platform_address;
  int64_t platform_silence_ms; /* connections that are dead for this long must have been replaced */
  const char *placing;         /* "cost", "least", "two_choices" or "random" */
  bool platform_interface;     /* callers and servers speak the platform's interface, not ours */
  const SettingsDataCentre *data_centres;
  size_t n_data_centres;
  double retry_share; /* of a service's requests that all hosts may send again in a window */
  int64_t retry_window_ms;
  double retry_allowance; /* and this many more */
  bool charge_failed;     /* whatever may have run is charged, not only what the caller got */
  int threads;
  int64_t max_body_bytes;
  int64_t max_header_bytes;
  int64_t request_read_timeout_ms;
  int64_t max_streams;
  int64_t link_bytes_s; /* what the host's link carries in one direction; 0: not known */
  int64_t drain_grace_ms;
  int64_t drain_deadline_ms;
  LogLevel log_level;
} Settings;

/** Checks a parsed document and reads it. @return a talloc object under @p ctx, or NULL after adding
 * at least one error. */
Settings *settings_from_toml (const void *ctx, const TomlNode *root, Problems *problems);

/** As settings_from_toml() for text. */
Settings *settings_parse (const void *ctx, const char *text, size_t len, Problems *problems);

/** As settings_parse() for a file. */
Settings *settings_load (const void *ctx, const char *path, Problems *problems);

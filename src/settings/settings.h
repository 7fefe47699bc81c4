/** @file
 * Settings of `sapphirepond serve`, read at startup. The file is read again on SIGHUP, but changes of
 * settings that are used only at startup, such as addresses, need a restart. Routes, client accounts and
 * budgets come from tickets (change requests by operators), or from the platform if platform_interface is
 * set. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/log.h"
#include "dispatch/placing_parts.h"
#include "settings/problems.h"
#include "settings/toml_reader.h"

/** A data centre and its region. */
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
  const char *listen_clients;   /* "IP:port" */
  const char *listen_peers;     /* "": disabled */
  const char *listen_tunnels;   /* "": other hosts can't reach servers over this one */
  const char *listen_readiness; /* "": disabled */
  const char *listen_operators;
  const char *platform_address;
  int64_t platform_unresponsive_ms; /* target time to detect a dead platform connection */
  const char *balancing_policy;     /* "cost", "least", "two_choices" or "random" */
  PlacingParts placing;
  bool platform_interface; /* clients and servers use the platform's protocol, not the native one */
  const SettingsDataCentre *data_centres; /* give the region of each data centre of the fleet */
  size_t n_data_centres;
  double retry_share; /* maximum retries per window, as a fraction of a service's requests */
  int64_t retry_window_ms;
  double retry_allowance; /* retries of all hosts per window in addition to retry_share */
  double cold_overshoot;  /* of what cold servers bear, as in ColdTolerance; 0: no limit is kept */
  double cold_slack;      /* requests beyond that, in any second */
  bool charge_failed;     /* failed requests are charged too, if they may have run */
  int threads;            /* worker threads */
  int64_t max_body_bytes;
  int64_t memory_bytes; /* that the process may use */
  int64_t max_header_bytes;
  int64_t request_read_timeout_ms; /* also the idle timeout of client connections */
  int64_t max_streams;             /* maximum number of client connections */
  int64_t link_bytes_s;            /* bandwidth of the host's link in one direction; 0: unknown */
  int64_t drain_grace_ms;          /* minimum time for which a draining host stays registered */
  int64_t drain_deadline_ms;       /* maximum duration of a drain */
  LogLevel log_level;
} Settings;

/** Validates a parsed document and reads the settings. @return a talloc object under @p ctx, or NULL
 * after adding at least one error to @p problems. */
Settings *settings_from_toml (const void *ctx, const TomlNode *root, Problems *problems);

/** Like settings_from_toml(), but parses TOML text. */
Settings *settings_parse (const void *ctx, const char *text, size_t len, Problems *problems);

/** Like settings_parse(), but reads a file; "-" is standard input. */
Settings *settings_load (const void *ctx, const char *path, Problems *problems);

/** @file
 * One `sapphirepond serve` process: makes all parts and connects them. Main thread only. */
#pragma once

#include "core/loop.h"
#include "settings/settings.h"

typedef struct EntryHost EntryHost;

/** @return a talloc object under @p ctx, or NULL after a log line if a port cannot be opened. */
EntryHost *entry_host_new (const void *ctx, Loop *control, const Settings *settings);

/** Starts a drain that ends in loop_stop(). */
void entry_host_drain (EntryHost *host);

/** Takes over settings that may change while the process runs. */
void entry_host_reload (EntryHost *host, const Settings *settings);

/** @return true if the host has ended after a complete drain. */
bool entry_host_is_drained (const EntryHost *host);

/** @file
 * One `sapphirepond serve` process: makes all parts and connects them. Main thread only. */
#pragma once

#include "core/loop.h"
#include "settings/settings.h"

typedef struct Host Host;

/** @return a talloc object under @p ctx, or NULL after a log line if a port cannot be opened. */
Host *host_new (const void *ctx, Loop *control, const Settings *settings);

/** Starts a drain that ends in loop_stop(); later calls do nothing. */
void host_drain (Host *host);

/** Takes over settings that may change while the process runs; they must live as long as the host. */
void host_reload (Host *host, const Settings *settings);

/** @return true if the host has ended after a complete drain. */
bool host_is_drained (const Host *host);

/** @file
 * One `sapphirepond serve` process: creates all components and connects them. Main thread only. */
#pragma once

#include "core/loop.h"
#include "settings/settings.h"

typedef struct Host Host;

/** @return a talloc object under @p ctx, or NULL after a log line if a port cannot be opened. */
Host *host_new (const void *ctx, Loop *loop, const Settings *settings);

/** Starts a drain, which ends with loop_stop(). Later calls have no effect. */
void host_drain (Host *host);

/** Applies the settings that may change at run time. @p settings must outlive the host. */
void host_reload (Host *host, const Settings *settings);

/** @return true if the drain has ended, and all requests had ended and all tokens were returned by its deadline. */
bool host_is_drained (const Host *host);

/** @file
 * Configuration source that reads accounts, budgets, pools and backend servers from tickets. */
#pragma once

#include "fleet/config_source.h"

/** Starts to watch the ticket table. @return a talloc object under @p ctx. */
ConfigSource *ticket_source_new (const void *ctx, const ConfigSourceOptions *options);

/** @file
 * Configuration source that reads accounts, budgets, pools, their backend servers and planned stops from the
 * ticket table of the store. */
#pragma once

#include "fleet/config_source.h"

/** Starts to watch the ticket table. @return a talloc object under @p ctx. */
ConfigSource *ticket_source_new (const void *ctx, const ConfigSourceOptions *options);

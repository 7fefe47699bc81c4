/** @file
 * Configuration and backend servers as tickets set them. */
#pragma once

#include "fleet/config_source.h"

/** Starts to follow the tickets. @return a talloc object under @p ctx. */
ConfigSource *ticket_source_new (const void *ctx, const ConfigSourceOptions *options);

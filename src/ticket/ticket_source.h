/** @file
 * Configuration and backend servers as tickets set them. */
#pragma once

#include "fleet/source.h"

/** Starts to follow the tickets. @return a talloc object under @p ctx. */
Source *ticket_source_new (const void *ctx, const SourceOptions *options);

/** @file
 * Configuration source that reads accounts, budgets, pools and backend servers from tickets. */
#pragma once

#include "fleet/source.h"

/** Starts to watch the ticket table. @return a talloc object under @p ctx. */
Source *ticket_source_new (const void *ctx, const SourceOptions *options);

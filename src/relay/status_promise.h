/** @file
 * What a status tells a client of whether its request has run. To be asked before any status leaves, whoever gave it.
 * Stateless. */
#pragma once

#include <stdbool.h>

#include "core/err.h"

/** @return whether clients take the status as a promise: the request has not run and never will, so that it may be sent
 * again even if it must not run twice. */
bool status_promises_not_run (int status);

/** @return the status for an error of this host: @p status, or another one where that contradicts @p outcome. */
int status_for_error (int status, Outcome outcome);

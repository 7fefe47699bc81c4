/** @file
 * The JSON text of an error answer. */
#pragma once

#include "core/err.h"

/** {"error":{"kind","outcome","retryable","message","request_id"}}.
 * @return a talloc string under @p ctx. */
char *error_json (const void *ctx, const Err *err, Outcome outcome, const char *request_id);

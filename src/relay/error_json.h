/** @file
 * The JSON body of an error response. */
#pragma once

#include "core/err.h"

/** @return {"error":{"kind","outcome","retryable","message","request_id"}}, a talloc string under
 * @p ctx. */
char *error_json (const void *ctx, const Err *err, Outcome outcome, const char *request_id);

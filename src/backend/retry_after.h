/** @file
 * The time for which a server asks to receive no requests. */
#pragma once

#include "backend/backend.h"

/** Longer times are reduced to this one. */
#define RETRY_AFTER_MAX_MS 60000

/** Parses the header "Retry-After" of a response: a number of seconds, with fractions allowed.
 * @return milliseconds; 0 if the header is missing or not a number above 0. */
int64_t retry_after_read (BackendCall *call);

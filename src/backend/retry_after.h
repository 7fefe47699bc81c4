/** @file
 * How long a server asks to be left alone. */
#pragma once

#include "backend/backend.h"

/** Longer requests are cut to this. */
#define RETRY_AFTER_MAX_MS 60000

/** Reads the header "Retry-After" of an answer: seconds, fractions allowed.
 * @return milliseconds; 0 if it is missing or no number of seconds above 0. */
int64_t retry_after_read (BackendCall *call);

/** @file
 * Whether a header that a response may have once stands in it several times: its receivers would choose different ones. */
#pragma once

#include <stdbool.h>

#include "backend/backend.h"

/** To be called from headers on. */
bool header_is_repeated (BackendCall *call, const char *name);

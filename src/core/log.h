/** @file
 * The log of a process on standard output, docs/OPERATIONS.md: one line for each decision on a request
 * and for each change of what the process believes. Never log an API key or prompt text. */
#pragma once

#include <stdbool.h>

typedef enum
{
  LOG_LEVEL_CRIT = 2,
  LOG_LEVEL_ERR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
} LogLevel;

/** Drops lines less severe than @p level. The default is LOG_LEVEL_INFO. */
void log_set_level (LogLevel level);

bool log_is_enabled (LogLevel level);

/** Adds one logfmt line: "time=... level=... part=... event=..." and then
 * @p fmt, which gives "key=value" pairs with values that need it in double quotes. Lines wait in a
 * buffer until log_flush(); a line for which the buffer or the rate has no room is dropped, and the
 * number of dropped lines is logged later. Never blocks. Any thread. */
void log_event (LogLevel level, const char *part, const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Writes what a reader that keeps up can take now. Any thread. */
void log_flush (void);

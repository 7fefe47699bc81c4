/** @file
 * Log of the process on standard output, see docs/OPERATIONS.md: a line for each decision on a
 * request and for each change of state. API keys and prompt text must never be logged. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  LOG_LEVEL_CRIT = 2,
  LOG_LEVEL_ERR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
} LogLevel;

/** Disables lines less severe than @p level. The default is LOG_LEVEL_INFO. Any thread. */
void log_set_level (LogLevel level);

bool log_is_enabled (LogLevel level);

/** Appends a logfmt line, "time=... level=... part=... event=..." followed by @p fmt, to the
 * buffer. @p fmt gives "key=value" pairs; values that contain spaces must be in double quotes. The
 * buffer is written by log_flush(), or here if it is large. A line is dropped if the buffer is full
 * or, for levels less severe than LOG_LEVEL_WARNING, if the rate limit is exceeded; the number of dropped
 * lines is logged later. Never waits for standard output. Any thread. */
void log_event (LogLevel level, const char *component, const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Copies @p text, or as much of it as fits, in a form that needs no double quotes: blanks, quotes, equals signs and bytes
 * that are not printable ASCII are replaced. @param text NULL: copies "-". @return @p out. */
const char *log_word (char *out, size_t size, const char *text);

/** Writes as much of the buffer as standard output accepts without blocking. Any thread. */
void log_flush (void);

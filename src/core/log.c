#include "core/log.h"

#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES            1024
#define BUFFER_BYTES          65536
#define FLUSH_THRESHOLD_BYTES 16384
#define MAX_LINES_PER_SECOND  1000 /* of levels less severe than LOG_LEVEL_WARNING */
/* A pipe that polls as writable accepts this many bytes (PIPE_BUF) without blocking. */
#define MAX_WRITE_BYTES       4096

static struct
{
  pthread_mutex_t lock;
  char bytes[BUFFER_BYTES];
  size_t start;
  size_t len;
  int64_t rate_second; /* wall-clock second that lines_in_second counts */
  int lines_in_second;
  uint64_t dropped; /* lines dropped since the last line that reported them */
} buffer = { .lock = PTHREAD_MUTEX_INITIALIZER };

static _Atomic int max_level = LOG_LEVEL_INFO;

void
log_set_level (LogLevel level)
{
  atomic_store (&max_level, (int)level);
}

bool
log_is_enabled (LogLevel level)
{
  return (int)level <= atomic_load (&max_level);
}

static const char *const LEVEL_NAMES[]
    = { "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug" };

static void
write_buffered (void)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (buffer.start < buffer.len)
    {
      size_t n = buffer.len - buffer.start;
      ssize_t written;

      if (poll (&out, 1, 0) != 1 || !(out.revents & POLLOUT))
        return;
      written = write (STDOUT_FILENO, buffer.bytes + buffer.start,
                       n < MAX_WRITE_BYTES ? n : MAX_WRITE_BYTES);
      if (written <= 0)
        return;
      buffer.start += (size_t)written;
    }
  buffer.start = 0;
  buffer.len = 0;
}

static bool
ensure_space (size_t len)
{
  if (buffer.len + len <= BUFFER_BYTES)
    return true;
  write_buffered ();
  memmove (buffer.bytes, buffer.bytes + buffer.start, buffer.len - buffer.start);
  buffer.len -= buffer.start;
  buffer.start = 0;
  return buffer.len + len <= BUFFER_BYTES;
}

static bool
is_within_rate (LogLevel level, int64_t rate_second)
{
  if (buffer.rate_second != rate_second)
    {
      buffer.rate_second = rate_second;
      buffer.lines_in_second = 0;
    }
  if (level <= LOG_LEVEL_WARNING)
    return true;
  return buffer.lines_in_second++ < MAX_LINES_PER_SECOND;
}

static void
append_line (const char *line, size_t len)
{
  memcpy (buffer.bytes + buffer.len, line, len);
  buffer.len += len;
}

static void
append_dropped_count (const struct timespec *ts)
{
  char line[128];
  int n
      = snprintf (line, sizeof line,
                  "time=%" PRId64 ".%03ld level=warning part=log event=dropped lines=%" PRIu64 "\n",
                  (int64_t)ts->tv_sec, ts->tv_nsec / 1000000, buffer.dropped);

  if (!ensure_space ((size_t)n))
    return;
  buffer.dropped = 0;
  append_line (line, (size_t)n);
}

void
log_event (LogLevel level, const char *component, const char *event, const char *fmt, ...)
{
  char line[LINE_BYTES];
  struct timespec ts;
  va_list ap;
  int n;
  int m;

  if (!log_is_enabled (level))
    return;
  clock_gettime (CLOCK_REALTIME, &ts);
  n = snprintf (line, sizeof line, "time=%" PRId64 ".%03ld level=%s part=%s event=%s ",
                (int64_t)ts.tv_sec, ts.tv_nsec / 1000000, LEVEL_NAMES[level], component, event);
  va_start (ap, fmt);
  m = vsnprintf (line + n, sizeof line - (size_t)n - 1, fmt, ap);
  va_end (ap);
  n += m;
  if (n > LINE_BYTES - 2)
    n = LINE_BYTES - 2;
  /* Control characters are replaced, so that a value from outside cannot forge another line. */
  for (int i = 0; i < n; i++)
    if ((unsigned char)line[i] < ' ')
      line[i] = '?';
  line[n++] = '\n';
  pthread_mutex_lock (&buffer.lock);
  if (!is_within_rate (level, ts.tv_sec) || !ensure_space ((size_t)n))
    buffer.dropped++;
  else
    {
      if (buffer.dropped > 0)
        append_dropped_count (&ts);
      if (ensure_space ((size_t)n))
        append_line (line, (size_t)n);
    }
  if (buffer.len > FLUSH_THRESHOLD_BYTES)
    write_buffered ();
  pthread_mutex_unlock (&buffer.lock);
}

const char *
log_word (char *out, size_t size, const char *text)
{
  size_t n = 0;

  for (const char *p = text ? text : "-"; *p && n + 1 < size; p++)
    out[n++] = *p > ' ' && *p <= '~' && *p != '"' && *p != '=' ? *p : '?';
  out[n] = '\0';
  return out;
}

void
log_flush (void)
{
  pthread_mutex_lock (&buffer.lock);
  write_buffered ();
  pthread_mutex_unlock (&buffer.lock);
}

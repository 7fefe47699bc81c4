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

#define LINE_BYTES       1024
#define BUFFER_BYTES     65536
#define FLUSH_ABOVE      16384
#define LINES_PER_SECOND 1000 /* of levels below LOG_LEVEL_WARNING */
/* A pipe that is ready takes this much without blocking. */
#define WRITE_BYTES      4096

static struct
{
  pthread_mutex_t lock;
  char bytes[BUFFER_BYTES];
  size_t at;
  size_t len;
  int64_t second;
  int lines;
  uint64_t dropped;
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
drain (void)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (buffer.at < buffer.len)
    {
      size_t n = buffer.len - buffer.at;
      ssize_t written;

      if (poll (&out, 1, 0) != 1 || !(out.revents & POLLOUT))
        return;
      written = write (STDOUT_FILENO, buffer.bytes + buffer.at, n < WRITE_BYTES ? n : WRITE_BYTES);
      if (written <= 0)
        return;
      buffer.at += (size_t)written;
    }
  buffer.at = 0;
  buffer.len = 0;
}

static bool
make_room (size_t len)
{
  if (buffer.len + len <= BUFFER_BYTES)
    return true;
  drain ();
  memmove (buffer.bytes, buffer.bytes + buffer.at, buffer.len - buffer.at);
  buffer.len -= buffer.at;
  buffer.at = 0;
  return buffer.len + len <= BUFFER_BYTES;
}

static bool
within_rate (LogLevel level, int64_t second)
{
  if (buffer.second != second)
    {
      buffer.second = second;
      buffer.lines = 0;
    }
  if (level <= LOG_LEVEL_WARNING)
    return true;
  return buffer.lines++ < LINES_PER_SECOND;
}

static void
append (const char *line, size_t len)
{
  memcpy (buffer.bytes + buffer.len, line, len);
  buffer.len += len;
}

static void
append_dropped (const struct timespec *ts)
{
  char line[128];
  int n
      = snprintf (line, sizeof line,
                  "time=%" PRId64 ".%03ld level=warning part=log event=dropped lines=%" PRIu64 "\n",
                  (int64_t)ts->tv_sec, ts->tv_nsec / 1000000, buffer.dropped);

  if (!make_room ((size_t)n))
    return;
  buffer.dropped = 0;
  append (line, (size_t)n);
}

void
log_event (LogLevel level, const char *part, const char *event, const char *fmt, ...)
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
                (int64_t)ts.tv_sec, ts.tv_nsec / 1000000, LEVEL_NAMES[level], part, event);
  va_start (ap, fmt);
  m = vsnprintf (line + n, sizeof line - (size_t)n - 1, fmt, ap);
  va_end (ap);
  n += m;
  if (n > LINE_BYTES - 2)
    n = LINE_BYTES - 2;
  /* A value from outside must not be able to forge a second line. */
  for (int i = 0; i < n; i++)
    if ((unsigned char)line[i] < ' ')
      line[i] = '?';
  line[n++] = '\n';
  pthread_mutex_lock (&buffer.lock);
  if (!within_rate (level, ts.tv_sec) || !make_room ((size_t)n))
    buffer.dropped++;
  else
    {
      if (buffer.dropped > 0)
        append_dropped (&ts);
      if (make_room ((size_t)n))
        append (line, (size_t)n);
    }
  if (buffer.len > FLUSH_ABOVE)
    drain ();
  pthread_mutex_unlock (&buffer.lock);
}

void
log_flush (void)
{
  pthread_mutex_lock (&buffer.lock);
  drain ();
  pthread_mutex_unlock (&buffer.lock);
}

#include "host/host_impl.h"

static void
on_wake (void *data)
{
  Host *h = data;

  if (h->stream_rows)
    stream_rows_wake (h->stream_rows);
}

/* A client takes up a stream. Any thread. */
static void
wake (void *data)
{
  Host *h = data;

  executor_post (loop_executor (h->loop), on_wake, h);
}

void
host_make_streams (Host *h)
{
  StreamsOptions options = { .wake = wake, .data = h, .seed = h->incarnation };

  h->streams = streams_new (h, &options);
}

void
host_keep_stream_rows (Host *h)
{
  StreamRowsOptions options = { .store = h->store,
                                .timers = loop_timers (h->loop),
                                .rng = &h->rng,
                                .streams = h->streams,
                                .host = h->settings->host_name,
                                .incarnation = h->incarnation };

  h->stream_rows = stream_rows_new (h, &options);
}

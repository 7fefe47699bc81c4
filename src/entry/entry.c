#include "entry/entry.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "backend/backend_http.h"
#include "core/log.h"
#include "entry/entry_call.h"
#include "http/server.h"

/* For all answers of a host that are read whole: a fifth of the memory of the smallest hosts. */
#define ANSWER_BYTES ((size_t)32 << 20)

typedef struct
{
  EntryShared shared;
  AnswerPool answers;
  Loop *loop;
  HttpClient *client;
  HttpServer *server;
  pthread_t thread;
  bool has_thread; /* else it works on the control loop */
} Worker;

struct Entry
{
  EntryOptions options;
  Worker **workers;
  unsigned n_workers;
};

static int
worker_destroy (Worker *w)
{
  TALLOC_FREE (w->server);
  return 0;
}

static Worker *
worker_new (Entry *entry, const char *listen)
{
  const EntryOptions *o = &entry->options;
  bool own_thread = o->workers > 1;
  Worker *w = talloc_zero (own_thread ? NULL : (void *)entry, Worker);
  HttpServerOptions server = { .listen = listen,
                               .max_body_bytes = o->max_body,
                               .max_header_bytes = o->max_header,
                               .read_timeout_ms = o->read_timeout_ms,
                               .idle_timeout_ms = o->idle_timeout_ms,
                               .max_connections = o->max_connections / o->workers + 1,
                               .timeout_body = entry_call_timeout_answer (),
                               .events = entry_call_events (),
                               .data = &w->shared };

  w->loop = own_thread ? loop_new (w) : o->control;
  w->client = http_client_new (w, w->loop);
  w->answers.most = ANSWER_BYTES / o->workers;
  w->shared.catalog = o->catalog;
  w->shared.deps = (RelayDeps){ .timers = loop_timers (w->loop),
                                .poster = loop_poster (w->loop),
                                .backend = backend_http_new (w, w->client, o->connect_timeout_ms),
                                .dispatch = o->dispatch,
                                .budgets = o->budgets,
                                .dialect = o->dialect,
                                .max_answer = o->max_answer,
                                .charges_failed = o->charges_failed,
                                .answers = &w->answers };
  w->server = http_server_new (w, w->loop, &server);
  talloc_set_destructor (w, worker_destroy);
  if (w->server)
    return w;
  talloc_free (w);
  return NULL;
}

static void *
run (void *data)
{
  loop_run (((Worker *)data)->loop);
  return NULL;
}

/* Requests learn that their callers have gone and cancel what they can. */
static void
close_server (void *data)
{
  Worker *w = data;

  TALLOC_FREE (w->server);
  loop_stop (w->loop);
}

static int
entry_destroy (Entry *entry)
{
  for (unsigned i = 0; i < entry->n_workers; i++)
    {
      Worker *w = entry->workers[i];

      if (w->has_thread)
        {
          loop_post (w->loop, close_server, w);
          pthread_join (w->thread, NULL);
        }
      talloc_free (w);
    }
  return 0;
}

/* The first worker may have chosen the port; the others share it. */
static bool
add_worker (Entry *entry, unsigned index)
{
  const char *listen = entry->options.listen;
  const char *colon = strrchr (listen, ':');
  char address[128];
  Worker *w;

  if (!colon)
    return false;
  snprintf (address, sizeof address, "%s", listen);
  if (index > 0)
    snprintf (address, sizeof address, "%.*s:%u", (int)(colon - listen), listen,
              http_server_port (entry->workers[0]->server));
  w = worker_new (entry, address);
  if (!w)
    return false;
  entry->workers[entry->n_workers++] = w;
  return true;
}

Entry *
entry_new (const void *ctx, const EntryOptions *options)
{
  Entry *entry = talloc_zero (ctx, Entry);

  entry->options = *options;
  entry->workers = talloc_zero_array (entry, Worker *, options->workers);
  talloc_set_destructor (entry, entry_destroy);
  for (unsigned i = 0; i < options->workers; i++)
    if (!add_worker (entry, i))
      {
        log_event (LOG_LEVEL_CRIT, "entry", "cannot_listen", "address=%s", options->listen);
        talloc_free (entry);
        return NULL;
      }
  for (unsigned i = 0; options->workers > 1 && i < entry->n_workers; i++)
    {
      Worker *w = entry->workers[i];

      w->has_thread = pthread_create (&w->thread, NULL, run, w) == 0;
      if (!w->has_thread)
        {
          log_event (LOG_LEVEL_CRIT, "entry", "cannot_start_thread", "worker=%u", i);
          talloc_free (entry);
          return NULL;
        }
    }
  return entry;
}

size_t
entry_open_requests (const Entry *entry)
{
  size_t n = 0;

  for (unsigned i = 0; i < entry->n_workers; i++)
    n += (size_t)atomic_load (&entry->workers[i]->shared.open);
  return n;
}

static void
close_after_answers (void *data)
{
  Worker *w = data;

  http_server_close_after_response (w->server, true);
}

static void
keep_after_answers (void *data)
{
  Worker *w = data;

  http_server_close_after_response (w->server, false);
}

void
entry_close_after_answers (Entry *entry, bool on)
{
  for (unsigned i = 0; i < entry->n_workers; i++)
    loop_post (entry->workers[i]->loop, on ? close_after_answers : keep_after_answers,
               entry->workers[i]);
}

static void
refuse_connections (void *data)
{
  Worker *w = data;

  http_server_refuse_connections (w->server, true);
}

static void
take_connections (void *data)
{
  Worker *w = data;

  http_server_refuse_connections (w->server, false);
}

void
entry_refuse_connections (Entry *entry, bool on)
{
  for (unsigned i = 0; i < entry->n_workers; i++)
    loop_post (entry->workers[i]->loop, on ? refuse_connections : take_connections,
               entry->workers[i]);
}

void
entry_refuse_new (Entry *entry)
{
  for (unsigned i = 0; i < entry->n_workers; i++)
    atomic_store (&entry->workers[i]->shared.refusing, true);
}

typedef struct
{
  Worker *worker;
  int64_t read_timeout_ms;
  int64_t idle_timeout_ms;
} Timeouts;

static void
set_timeouts (void *data)
{
  Timeouts *t = data;

  http_server_set_timeouts (t->worker->server, t->read_timeout_ms, t->idle_timeout_ms);
  talloc_free (t);
}

void
entry_set_timeouts (Entry *entry, int64_t read_timeout_ms, int64_t idle_timeout_ms)
{
  for (unsigned i = 0; i < entry->n_workers; i++)
    {
      Timeouts *t = talloc (NULL, Timeouts);

      *t = (Timeouts){ entry->workers[i], read_timeout_ms, idle_timeout_ms };
      loop_post (entry->workers[i]->loop, set_timeouts, t);
    }
}

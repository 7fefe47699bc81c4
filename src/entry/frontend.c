#include "entry/frontend.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "backend/backend_http.h"
#include "core/log.h"
#include "entry/frontend_call.h"
#include "http/server.h"

/* Part of the host's memory for the bodies of requests that it keeps at once. */
#define BODY_MEMORY_SHARE 0.3

/* Part of the host's memory for responses, until their clients have taken them. */
#define RESPONSE_MEMORY_SHARE 0.3

/* Part of that which the responses to one client account may take. */
#define ACCOUNT_RESPONSE_SHARE 0.5

/* Longer than the cuts and stops that a client's connection outlives. */
#define TAKE_TIMEOUT_MS 10000

typedef struct
{
  FrontendShared shared;
  ResponseRoom *response_room;
  BufferQuota body_quota;
  Loop *loop;
  HttpClient *client;
  HttpServer *server;
  pthread_t thread;
  bool has_own_thread; /* otherwise it runs on the control loop */
} Worker;

struct Frontend
{
  FrontendOptions options;
  Worker **workers;
  unsigned n_workers;
};

static int
worker_destroy (Worker *w)
{
  TALLOC_FREE (w->server);
  TALLOC_FREE (w->response_room);
  return 0;
}

static ResponseRoom *
room_new (Worker *w, const FrontendOptions *o)
{
  double bytes = RESPONSE_MEMORY_SHARE * (double)o->memory_bytes / o->workers;
  ResponseRoomOptions options = { .timers = loop_timers (w->loop),
                                  .limit_bytes = (size_t)bytes,
                                  .account_limit_bytes = (size_t)(ACCOUNT_RESPONSE_SHARE * bytes) };

  return response_room_new (w, &options);
}

static Worker *
worker_new (Frontend *frontend, const char *listen)
{
  const FrontendOptions *o = &frontend->options;
  bool own_thread = o->workers > 1;
  Worker *w = talloc_zero (own_thread ? NULL : (void *)frontend, Worker);
  BackendHttpOptions backend = { .connect_timeout_ms = o->connect_timeout_ms, .reach = o->reach };
  HttpServerOptions server = { .listen = listen,
                               .max_body_bytes = o->max_body_bytes,
                               .max_header_bytes = o->max_header_bytes,
                               .body_quota = &w->body_quota,
                               .read_timeout_ms = o->read_timeout_ms,
                               .idle_timeout_ms = o->idle_timeout_ms,
                               .take_timeout_ms = TAKE_TIMEOUT_MS,
                               .max_connections = o->max_connections / o->workers + 1,
                               .timeout_body = frontend_call_timeout_body (),
                               .events = frontend_call_events (),
                               .data = &w->shared };

  w->loop = own_thread ? loop_new (w) : o->control_loop;
  w->client = http_client_new (w, w->loop);
  backend.client = w->client;
  w->response_room = room_new (w, o);
  w->body_quota.limit_bytes = (size_t)(BODY_MEMORY_SHARE * (double)o->memory_bytes) / o->workers;
  w->shared.catalog = o->catalog;
  w->shared.deps = (RelayDeps){ .timers = loop_timers (w->loop),
                                .executor = loop_executor (w->loop),
                                .backend = backend_http_new (w, &backend),
                                .dispatch = o->dispatch,
                                .overload = o->overload,
                                .quarantine = o->quarantine,
                                .streams = o->streams,
                                .budgets = o->budgets,
                                .dialect = o->dialect,
                                .max_response_bytes = o->max_response_bytes,
                                .charge_failed = o->charge_failed,
                                .response_room = w->response_room };
  w->server = http_server_new (w, w->loop, &server);
  talloc_set_destructor (w, worker_destroy);
  if (w->server)
    return w;
  talloc_free (w);
  return NULL;
}

static void *
run_worker (void *data)
{
  loop_run (((Worker *)data)->loop);
  return NULL;
}

/* Freeing the server calls client_gone for the open requests, which then cancel their backend requests
 * where possible. */
static void
stop_worker (void *data)
{
  Worker *w = data;

  TALLOC_FREE (w->server);
  loop_stop (w->loop);
}

static int
frontend_destroy (Frontend *frontend)
{
  for (unsigned i = 0; i < frontend->n_workers; i++)
    {
      Worker *w = frontend->workers[i];

      if (w->has_own_thread)
        {
          loop_post (w->loop, stop_worker, w);
          pthread_join (w->thread, NULL);
        }
      talloc_free (w);
    }
  return 0;
}

/* With port 0 the first worker chooses the port; the other workers share it. */
static bool
add_worker (Frontend *frontend, unsigned index)
{
  const char *listen = frontend->options.listen;
  const char *colon = strrchr (listen, ':');
  char address[128];
  Worker *w;

  if (!colon)
    return false;
  snprintf (address, sizeof address, "%s", listen);
  if (index > 0)
    snprintf (address, sizeof address, "%.*s:%u", (int)(colon - listen), listen,
              http_server_port (frontend->workers[0]->server));
  w = worker_new (frontend, address);
  if (!w)
    return false;
  frontend->workers[frontend->n_workers++] = w;
  return true;
}

Frontend *
frontend_new (const void *ctx, const FrontendOptions *options)
{
  Frontend *frontend = talloc_zero (ctx, Frontend);

  frontend->options = *options;
  frontend->workers = talloc_zero_array (frontend, Worker *, options->workers);
  talloc_set_destructor (frontend, frontend_destroy);
  for (unsigned i = 0; i < options->workers; i++)
    if (!add_worker (frontend, i))
      {
        log_event (LOG_LEVEL_CRIT, "entry", "cannot_listen", "address=%s", options->listen);
        talloc_free (frontend);
        return NULL;
      }
  for (unsigned i = 0; options->workers > 1 && i < frontend->n_workers; i++)
    {
      Worker *w = frontend->workers[i];

      w->has_own_thread = pthread_create (&w->thread, NULL, run_worker, w) == 0;
      if (!w->has_own_thread)
        {
          log_event (LOG_LEVEL_CRIT, "entry", "cannot_start_thread", "worker=%u", i);
          talloc_free (frontend);
          return NULL;
        }
    }
  return frontend;
}

size_t
frontend_open_requests (const Frontend *frontend)
{
  size_t n = 0;

  for (unsigned i = 0; i < frontend->n_workers; i++)
    n += (size_t)atomic_load (&frontend->workers[i]->shared.open);
  return n;
}

static void
enable_close_after_responses (void *data)
{
  Worker *w = data;

  http_server_close_after_response (w->server, true);
}

static void
disable_close_after_responses (void *data)
{
  Worker *w = data;

  http_server_close_after_response (w->server, false);
}

void
frontend_close_after_responses (Frontend *frontend, bool on)
{
  for (unsigned i = 0; i < frontend->n_workers; i++)
    loop_post (frontend->workers[i]->loop,
               on ? enable_close_after_responses : disable_close_after_responses,
               frontend->workers[i]);
}

static void
refuse_connections (void *data)
{
  Worker *w = data;

  http_server_refuse_connections (w->server, true);
}

static void
accept_connections (void *data)
{
  Worker *w = data;

  http_server_refuse_connections (w->server, false);
}

void
frontend_refuse_connections (Frontend *frontend, bool on)
{
  for (unsigned i = 0; i < frontend->n_workers; i++)
    loop_post (frontend->workers[i]->loop, on ? refuse_connections : accept_connections,
               frontend->workers[i]);
}

void
frontend_refuse_requests (Frontend *frontend)
{
  for (unsigned i = 0; i < frontend->n_workers; i++)
    atomic_store (&frontend->workers[i]->shared.refusing, true);
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
frontend_set_timeouts (Frontend *frontend, int64_t read_timeout_ms, int64_t idle_timeout_ms)
{
  for (unsigned i = 0; i < frontend->n_workers; i++)
    {
      Timeouts *t = talloc (NULL, Timeouts);

      *t = (Timeouts){ frontend->workers[i], read_timeout_ms, idle_timeout_ms };
      loop_post (frontend->workers[i]->loop, set_timeouts, t);
    }
}

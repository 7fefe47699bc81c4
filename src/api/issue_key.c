#include "api/issue_key.h"

#include <string.h>

#include <talloc.h>

#include "api/access.h"
#include "relay/error_answer.h"
#include "core/counter.h"
#include "core/log.h"

/* A key on its way from the control loop. It belongs to no talloc tree because it goes from thread
 * to thread. */
typedef struct
{
  Worker *worker;
  HttpCall *call; /* worker only; NULL once the caller has gone */
  void *guard;    /* child of the call */
  char id[96];
  char *key;
} KeyRequest;

/* The caller went away before its key came. */
static int
call_gone (KeyRequest **guard)
{
  (*guard)->call = NULL;
  return 0;
}

static void
free_request (KeyRequest *k)
{
  Worker *worker = k->worker;

  talloc_free (k);
  worker_unref (worker);
}

static void
send_answer (HttpCall *call, int status, const char *id, const char *body)
{
  HttpHeader headers[] = { { "Content-Type", "application/json" }, { "X-Request-Id", id } };

  http_call_answer (call, status, headers, 2, body, strlen (body));
}

static void
deliver (void *data)
{
  KeyRequest *k = data;
  char *body;

  if (k->call)
    {
      talloc_set_destructor ((KeyRequest **)k->guard, NULL);
      body = talloc_asprintf (k, "{\"key\":\"%s\"}", k->key);
      send_answer (k->call, 200, k->id, body);
    }
  free_request (k);
}

static void
issue_on_control (void *data)
{
  KeyRequest *k = data;

  if (k->worker->stopped)
    {
      free_request (k);
      return;
    }
  k->key = booking_issue_key (k->worker->options.bookings, k);
  loop_post (k->worker->loop, deliver, k);
}

static bool
is_known (Worker *worker, HttpCall *call, Err *err)
{
  const Config *config = config_get (worker->options.config);
  bool known = false;

  if (!config)
    return err_set (err, ERR_NOT_READY, "this host has no configuration yet");
  known = access_account (config, http_call_header (call, "Authorization"), err) != NULL;
  config_release (worker->options.config, config);
  return known;
}

void
issue_key (Worker *worker, HttpCall *call)
{
  KeyRequest *k = talloc_zero (NULL, KeyRequest);
  KeyRequest **guard;
  Err err = ERR_INIT;

  worker_ref (worker);
  k->worker = worker;
  worker->deps.ops->next_id (&worker->deps, k->id, sizeof k->id);
  if (!is_known (worker, call, &err))
    {
      counter_refusal (err.kind);
      log_line (LOG_LEVEL_NOTICE, "front", "Key refused. id=%s reason=%s", k->id,
                err_info (err.kind)->name);
      send_answer (call, err_info (err.kind)->http_status, k->id,
                   error_answer (k, &err, OUTCOME_NOT_RUN, k->id));
      free_request (k);
      return;
    }
  k->call = call;
  guard = talloc (call, KeyRequest *);
  *guard = k;
  talloc_set_destructor (guard, call_gone);
  k->guard = guard;
  loop_post (worker->options.control, issue_on_control, k);
}

#include <talloc.h>

#include "host/host_impl.h"

void
host_on_server_changed (void *data, const ServerRecord *record)
{
  Host *h = data;

  dispatch_server_changed (h->dispatch, record, host_now_ms (h));
}

void
host_on_server_removed (void *data, const char *id, bool confirmed)
{
  Host *h = data;

  dispatch_server_removed (h->dispatch, id, confirmed, host_now_ms (h));
}

/* --- Draining servers -------------------------------------------------------------------- */

/* Passed from a worker thread to the control loop. */
typedef struct
{
  Host *host;
  char *id;
  char *address;
  int64_t started_ms;
} DrainNotice;

/* Informs the other hosts of the data centre, which use the same servers. */
static void
send_drain_notice (void *data)
{
  DrainNotice *notice = data;
  Host *h = notice->host;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__ServerLeaves message = POND__SERVER_LEAVES__INIT;

  message.server = notice->id;
  message.address = notice->address;
  message.born_ms = notice->started_ms;
  env.body_case = POND__ENVELOPE__BODY_SERVER_LEAVES;
  env.server_leaves = &message;
  host_send_to_data_centre (h, &env);
  talloc_free (notice);
}

void
host_on_server_draining (void *data, const ServerInstance *instance)
{
  DrainNotice *notice = talloc_zero (NULL, DrainNotice);

  notice->host = data;
  notice->id = talloc_strdup (notice, instance->id);
  notice->address = talloc_strdup (notice, instance->address);
  notice->started_ms = instance->started_ms;
  executor_post (loop_executor (notice->host->loop), send_drain_notice, notice);
}

bool
host_on_server_message (Host *h, const Pond__Envelope *env)
{
  const Pond__ServerLeaves *message = env->server_leaves;
  ServerInstance instance;

  if (env->body_case != POND__ENVELOPE__BODY_SERVER_LEAVES)
    return false;
  instance = (ServerInstance){ message->server, message->address, message->born_ms };
  dispatch_server_draining (h->dispatch, &instance, host_now_ms (h));
  return true;
}

#include <talloc.h>

#include "host/host_impl.h"

void
host_on_server_changed (void *data, const ServerRecord *record)
{
  Host *h = data;

  streams_server_changed (h->streams, record->id, record->service, record->version,
                          host_now_ms (h));
  dispatch_server_changed (h->dispatch, record, host_now_ms (h));
}

void
host_on_server_removed (void *data, const char *id, int64_t grace_ms)
{
  Host *h = data;

  streams_server_removed (h->streams, id, grace_ms == 0, host_now_ms (h));
  dispatch_server_removed (h->dispatch, id, grace_ms, host_now_ms (h));
}

/* --- Statements of servers --------------------------------------------------------------- */

/* What a server has stated in a response. Passed from a worker thread to the control loop. */
typedef struct
{
  Host *host;
  char *id;
  char *address;
  int64_t started_ms;
  LimitStatement limit;
  int64_t stated_ms;
} ServerNotice;

static ServerNotice *
notice_new (Host *h, const ServerInstance *instance)
{
  ServerNotice *notice = talloc_zero (NULL, ServerNotice);

  notice->host = h;
  notice->id = talloc_strdup (notice, instance->id);
  notice->address = talloc_strdup (notice, instance->address);
  notice->started_ms = instance->started_ms;
  return notice;
}

/* Informs the other hosts of the data centre, which use the same servers. */
static void
send_drain_notice (void *data)
{
  ServerNotice *notice = data;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__ServerLeaves message = POND__SERVER_LEAVES__INIT;

  message.server = notice->id;
  message.address = notice->address;
  message.born_ms = notice->started_ms;
  env.body_case = POND__ENVELOPE__BODY_SERVER_LEAVES;
  env.server_leaves = &message;
  host_send_to_data_centre (notice->host, &env);
  talloc_free (notice);
}

void
host_on_server_draining (void *data, const ServerInstance *instance)
{
  ServerNotice *notice = notice_new (data, instance);

  executor_post (loop_executor (notice->host->loop), send_drain_notice, notice);
}

/* Informs all other hosts: a limit applies to all of them together. */
static void
send_limit_notice (void *data)
{
  ServerNotice *notice = data;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__ServerLimited message = POND__SERVER_LIMITED__INIT;

  message.server = notice->id;
  message.address = notice->address;
  message.born_ms = notice->started_ms;
  message.requests_per_s = notice->limit.requests_per_s;
  message.age_ms = host_now_ms (notice->host) - notice->stated_ms;
  env.body_case = POND__ENVELOPE__BODY_SERVER_LIMITED;
  env.server_limited = &message;
  host_send_to_all (notice->host, &env);
  talloc_free (notice);
}

void
host_on_server_limited (void *data, const ServerInstance *instance, LimitStatement statement,
                        int64_t stated_ms)
{
  ServerNotice *notice = notice_new (data, instance);

  notice->limit = statement;
  notice->stated_ms = stated_ms;
  executor_post (loop_executor (notice->host->loop), send_limit_notice, notice);
}

/* --- Messages of other hosts ------------------------------------------------------------- */

static void
on_server_leaves (Host *h, const Pond__ServerLeaves *message)
{
  ServerInstance instance = { message->server, message->address, message->born_ms };

  dispatch_server_draining (h->dispatch, &instance, host_now_ms (h));
}

static void
on_server_limited (Host *h, const Pond__ServerLimited *message)
{
  ServerInstance instance = { message->server, message->address, message->born_ms };
  LimitStatement statement = { .kind = message->requests_per_s > 0 ? LIMIT_NAMED : LIMIT_NONE,
                               .requests_per_s = message->requests_per_s };

  dispatch_server_limited (h->dispatch, &instance, statement, message->age_ms, host_now_ms (h));
}

bool
host_on_server_message (Host *h, const Pond__Envelope *env)
{
  if (env->body_case == POND__ENVELOPE__BODY_SERVER_LEAVES)
    on_server_leaves (h, env->server_leaves);
  else if (env->body_case == POND__ENVELOPE__BODY_SERVER_LIMITED)
    on_server_limited (h, env->server_limited);
  else
    return false;
  return true;
}

#include <talloc.h>

#include "host/host_parts.h"

void
host_on_server (void *data, const ServerRecord *record)
{
  Host *h = data;

  dispatch_server_changed (h->dispatch, record, host_now_ms (h));
}

void
host_on_server_removed (void *data, const char *id, bool steady)
{
  Host *h = data;

  dispatch_server_removed (h->dispatch, id, steady, host_now_ms (h));
}

/* --- Servers that say that they leave ---------------------------------------------------- */

/* On its way from a worker to the control loop. */
typedef struct
{
  Host *host;
  char *id;
  char *address;
  int64_t born_ms;
} News;

/* The other hosts of the data centre send to the same servers. */
static void
tell_others (void *data)
{
  News *news = data;
  Host *h = news->host;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__ServerLeaves leaves = POND__SERVER_LEAVES__INIT;

  leaves.server = news->id;
  leaves.address = news->address;
  leaves.born_ms = news->born_ms;
  env.body_case = POND__ENVELOPE__BODY_SERVER_LEAVES;
  env.server_leaves = &leaves;
  host_tell_neighbours (h, &env);
  talloc_free (news);
}

void
host_on_server_leaves (void *data, const ServerInstance *start)
{
  News *news = talloc_zero (NULL, News);

  news->host = data;
  news->id = talloc_strdup (news, start->id);
  news->address = talloc_strdup (news, start->address);
  news->born_ms = start->started_ms;
  poster_post (loop_poster (news->host->control), tell_others, news);
}

bool
host_on_server_message (Host *h, const Pond__Envelope *env)
{
  const Pond__ServerLeaves *leaves = env->server_leaves;
  ServerInstance start;

  if (env->body_case != POND__ENVELOPE__BODY_SERVER_LEAVES)
    return false;
  start = (ServerInstance){ leaves->server, leaves->address, leaves->born_ms };
  dispatch_server_draining (h->dispatch, &start, host_now_ms (h));
  return true;
}

#include <string.h>

#include <talloc.h>

#include "host/host_impl.h"

void
host_make_load_sharing (Host *h)
{
  h->load_sharing = load_sharing_new (h, h->settings->host_name);
}

void
host_update_load_peers (Host *h)
{
  const Settings *s = h->settings;
  size_t n;
  const RegistryHost *hosts = registry_hosts (h->registry, &n);
  const char **names = talloc_array (h, const char *, n + 1);
  size_t n_names = 0;

  for (size_t i = 0; h->peers && i < n; i++)
    if (hosts[i].peer_address[0] && !strcmp (hosts[i].data_centre, s->data_centre)
        && strcmp (hosts[i].name, s->host_name) != 0)
      names[n_names++] = hosts[i].name;
  load_sharing_set_hosts (h->load_sharing, names, n_names);
  talloc_free (names);
}

static void
send_loads (Host *h, const char *host, const SharedLoad *loads, size_t n)
{
  uint32_t server[LOAD_SHARING_MAX_SERVERS];
  uint32_t running[LOAD_SHARING_MAX_SERVERS];
  uint32_t waiting[LOAD_SHARING_MAX_SERVERS];
  uint32_t pace[LOAD_SHARING_MAX_SERVERS];
  uint32_t age_ms[LOAD_SHARING_MAX_SERVERS];
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__ServerLoads message = POND__SERVER_LOADS__INIT;

  for (size_t i = 0; i < n; i++)
    {
      server[i] = loads[i].key;
      running[i] = (uint32_t)loads[i].figures.running;
      waiting[i] = (uint32_t)loads[i].figures.waiting;
      pace[i] = (uint32_t)loads[i].figures.pace_percent;
      age_ms[i] = (uint32_t)loads[i].figures.age_ms;
    }
  message.server = server;
  message.running = running;
  message.waiting = waiting;
  message.pace = pace;
  message.age_ms = age_ms;
  message.n_server = message.n_running = message.n_waiting = n;
  message.n_pace = message.n_age_ms = n;
  env.body_case = POND__ENVELOPE__BODY_SERVER_LOADS;
  env.server_loads = &message;
  peer_transport_send (peer_tcp_transport (h->peers), host, &env);
}

void
host_share_loads (Host *h)
{
  int64_t now = host_now_ms (h);
  SharedLoad loads[LOAD_SHARING_MAX_SERVERS];
  LoadTurn turn;

  while (h->peers && h->settings->placing.shared_picture
         && load_sharing_next (h->load_sharing, now, &turn))
    {
      size_t n = dispatch_loads_since (h->dispatch, turn.since_ms, turn.heard_too, loads,
                                       LOAD_SHARING_MAX_SERVERS, now);

      if (n == 0)
        continue;
      send_loads (h, turn.host, loads, n);
      load_sharing_sent (h->load_sharing, n);
    }
}

bool
host_on_loads_message (Host *h, const Pond__Envelope *env)
{
  const Pond__ServerLoads *m = env->server_loads;
  SharedLoad loads[LOAD_SHARING_MAX_SERVERS];
  size_t n = 0;

  if (env->body_case != POND__ENVELOPE__BODY_SERVER_LOADS)
    return false;
  for (size_t i = 0; i < m->n_server && n < LOAD_SHARING_MAX_SERVERS; i++)
    loads[n++] = (SharedLoad){ .key = m->server[i],
                               .figures = { .running = (int)m->running[i],
                                            .waiting = (int)m->waiting[i],
                                            .pace_percent = (int)m->pace[i],
                                            .age_ms = (int64_t)m->age_ms[i] } };
  if (h->settings->placing.shared_picture)
    dispatch_loads_heard (h->dispatch, loads, n, host_now_ms (h));
  return true;
}

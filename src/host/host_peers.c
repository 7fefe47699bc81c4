#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "host/host_impl.h"

static void
on_message (void *data, const Pond__Envelope *envelope)
{
  Host *h = data;

  if (!host_on_server_message (h, envelope) && !host_on_quarantine_message (h, envelope)
      && !host_on_rotation_message (h, envelope) && !host_on_loads_message (h, envelope))
    budgets_on_message (h->budgets, envelope);
}

bool
host_make_peer_transport (Host *h)
{
  const Settings *s = h->settings;
  PeerTcpOptions options = PEER_TCP_OPTIONS_INIT;

  if (!s->listen_peers[0])
    return true;
  options.name = s->host_name;
  options.incarnation = h->incarnation;
  options.listen = s->listen_peers;
  options.seed = h->incarnation;
  options.connect_timeout_ms = 500;
  options.backoff_max_ms = 500;
  h->peers = peer_tcp_new (h, h->loop, &options, on_message, h);
  if (!h->peers)
    log_event (LOG_LEVEL_CRIT, "host", "cannot_listen", "address=%s", s->listen_peers);
  return h->peers != NULL;
}

/* @param data_centre NULL: to the hosts of all data centres. */
static void
send_to_hosts (Host *h, const char *data_centre, Pond__Envelope *envelope)
{
  size_t n;
  const RegistryHost *hosts = registry_hosts (h->registry, &n);

  for (size_t i = 0; h->peers && i < n; i++)
    if (hosts[i].peer_address[0] && (!data_centre || !strcmp (hosts[i].data_centre, data_centre))
        && strcmp (hosts[i].name, h->settings->host_name) != 0)
      peer_transport_send (peer_tcp_transport (h->peers), hosts[i].name, envelope);
}

void
host_send_to_data_centre (Host *h, Pond__Envelope *envelope)
{
  send_to_hosts (h, h->settings->data_centre, envelope);
}

void
host_send_to_all (Host *h, Pond__Envelope *envelope)
{
  send_to_hosts (h, NULL, envelope);
}

/* Only hosts that listen for messages of other hosts can be coordinators of budgets. */
void
host_on_hosts_changed (void *data)
{
  Host *h = data;
  size_t n;
  const RegistryHost *hosts = registry_hosts (h->registry, &n);
  CoordinatorCandidate *candidates = talloc_array (h, CoordinatorCandidate, n + 1);
  ListedHost *sharing = talloc_array (candidates, ListedHost, n + 1);
  size_t n_candidates = 0;

  for (size_t i = 0; i < n; i++)
    if (h->peers && hosts[i].peer_address[0]
        && peer_tcp_set_address (h->peers, hosts[i].name, hosts[i].peer_address))
      candidates[n_candidates++] = (CoordinatorCandidate){ hosts[i].name, hosts[i].incarnation };
  for (size_t i = 0; i < n; i++)
    sharing[i] = (ListedHost){ hosts[i].name, hosts[i].data_centre,
                               host_region_of (h, hosts[i].data_centre) };
  dispatch_set_hosts (h->dispatch, sharing, n, registry_silent_hosts (h->registry));
  quarantine_set_hosts (h->quarantine, (int)n);
  streams_set_hosts (h->streams, (int)n);
  config_source_set_host_count (h->config_source, (int)n);
  host_update_reach (h);
  host_update_load_peers (h);
  budgets_set_hosts (h->budgets, candidates, n_candidates);
  talloc_free (candidates);
}

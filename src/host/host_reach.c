#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "host/host_impl.h"

/* For hosts of some 4,000 descriptors: a tunnel needs two. */
#define MAX_TUNNELS 600

/* --- Tunnels of other hosts --------------------------------------------------------------- */

static bool
has_same_ip (const Address *a, const Address *b)
{
  const struct sockaddr_storage *x = &a->storage;
  const struct sockaddr_storage *y = &b->storage;

  if (x->ss_family != y->ss_family)
    return false;
  if (x->ss_family == AF_INET6)
    return !memcmp (&((const struct sockaddr_in6 *)x)->sin6_addr,
                    &((const struct sockaddr_in6 *)y)->sin6_addr, sizeof (struct in6_addr));
  return ((const struct sockaddr_in *)x)->sin_addr.s_addr
         == ((const struct sockaddr_in *)y)->sin_addr.s_addr;
}

static bool
is_host (void *data, const Address *peer)
{
  const Host *h = data;
  size_t n;
  const RegistryHost *hosts = registry_hosts (h->registry, &n);
  Address address;

  for (size_t i = 0; i < n; i++)
    if (address_parse (hosts[i].tunnel_address, &address) && has_same_ip (&address, peer))
      return true;
  return false;
}

static bool
is_server (void *data, const char *address)
{
  const Host *h = data;

  return dispatch_has_address (h->dispatch, address);
}

static TunnelHelp
help (void *data, const char *address)
{
  Host *h = data;
  ReachView view = reach_view (h->reach, address, host_now_ms (h));

  if (h->drain_started_ms > 0 || view == REACH_VIEW_CUT_OFF_ALL)
    return TUNNEL_HELPS_NOBODY;
  return view == REACH_VIEW_CUT_OFF ? TUNNEL_CANNOT_CONNECT : TUNNEL_CONNECTS;
}

static bool
open_tunnel_port (Host *h)
{
  TunnelServerOptions options = { .loop = h->loop,
                                  .listen = h->settings->listen_tunnels,
                                  .max_tunnels = MAX_TUNNELS,
                                  .is_host = is_host,
                                  .is_server = is_server,
                                  .help = help,
                                  .data = h };

  if (!options.listen[0])
    return true;
  h->tunnel_server = tunnel_server_new (h, &options);
  if (!h->tunnel_server)
    log_event (LOG_LEVEL_CRIT, "host", "cannot_listen", "address=%s", options.listen);
  return h->tunnel_server != NULL;
}

/* --- Reach -------------------------------------------------------------------------------- */

static void
run_prober (void *data)
{
  reach_prober_run (((Host *)data)->prober);
}

static void
on_probe_wanted (void *data)
{
  Host *h = data;

  loop_post (h->loop, run_prober, h);
}

bool
host_make_reach (Host *h)
{
  ReachOptions reach
      = { .host = h->settings->host_name, .probe_wanted = on_probe_wanted, .data = h };
  ReachProberOptions prober = { .loop = h->loop };

  h->reach = reach_new (h, &reach);
  prober.reach = h->reach;
  h->prober = reach_prober_new (h, &prober);
  return open_tunnel_port (h);
}

static ReachDistance
distance_to (Host *h, const RegistryHost *host)
{
  const char *region;

  if (!strcmp (host->data_centre, h->settings->data_centre))
    return REACH_SAME_DATA_CENTRE;
  region = host_region_of (h, host->data_centre);
  return region && !strcmp (region, h->settings->region) ? REACH_SAME_REGION : REACH_REMOTE;
}

void
host_update_reach (Host *h)
{
  size_t n;
  const RegistryHost *hosts = registry_hosts (h->registry, &n);
  ReachHelper *helpers = talloc_array (h, ReachHelper, n + 1);
  size_t n_helpers = 0;

  for (size_t i = 0; i < n; i++)
    if (hosts[i].tunnel_address[0] && strcmp (hosts[i].name, h->settings->host_name) != 0)
      helpers[n_helpers++] = (ReachHelper){ .name = hosts[i].name,
                                            .address = hosts[i].tunnel_address,
                                            .data_centre = hosts[i].data_centre,
                                            .region = host_region_of (h, hosts[i].data_centre),
                                            .distance = distance_to (h, &hosts[i]) };
  reach_set_helpers (h->reach, helpers, n_helpers);
  talloc_free (helpers);
}

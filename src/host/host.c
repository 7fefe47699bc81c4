#include "host/host.h"

#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "host/host_parts.h"

static const char *
or_default (const char *text)
{
  return text ? text : "";
}

/* --- Messages and events between modules ------------------------------------------------- */

static void
on_envelope (void *data, const Pond__Envelope *env)
{
  Host *h = data;

  /* Envelopes may come before the last module is made. */
  if (!h->drain)
    return;
  if (membership_on_message (h->membership, env) || ledger_on_message (h->ledger, env)
      || follower_on_message (h->follower, env))
    return;
  bookings_on_message (h->bookings, env);
}

static void
on_member_dead (void *data, const MemberInfo *m)
{
  Host *h = data;

  log_line (LOG_LEVEL_WARNING, "member", "Host is dead. host=%s", m->name);
  ledger_host_gone (h->ledger, m->name, m->incarnation);
}

static void
on_new_incarnation (void *data, const MemberInfo *m, uint64_t old_incarnation)
{
  Host *h = data;

  log_line (LOG_LEVEL_NOTICE, "member", "Host was restarted. host=%s", m->name);
  ledger_host_gone (h->ledger, m->name, old_incarnation);
}

static void
on_member_joined (void *data, const MemberInfo *m)
{
  (void)data;
  log_line (LOG_LEVEL_INFO, "member", "Host joined. host=%s data_centre=%s", m->name,
            m->data_centre);
}

static void
on_server_leaving (void *data, const char *server, bool leaving)
{
  Host *h = data;

  route_mark_leaving (h->routes, server, leaving, timers_now_ms (loop_timers (h->control)));
}

static void
on_member_address (void *data, const char *host, const char *peer_address)
{
  Host *h = data;

  peers_tcp_set_address (h->peers, host, peer_address);
}

static const MembershipEvents MEMBERSHIP_EVENTS = {
  .joined = on_member_joined,
  .dead = on_member_dead,
  .new_incarnation = on_new_incarnation,
  .server_leaving = on_server_leaving,
  .address = on_member_address,
};

static void
on_config (void *data, uint64_t seq)
{
  Host *h = data;
  const Config *config = config_get (h->config);

  membership_set_ticket_seq (h->membership, seq);
  if (config)
    routes_configure (h->routes, config);
  config_release (h->config, config);
  log_line (LOG_LEVEL_INFO, "ticket", "Configuration in force. seq=%llu", (unsigned long long)seq);
}

static void
post_to_control (void *data, LoopFn fn, void *fn_data)
{
  loop_post (data, fn, fn_data);
}

/* --- Construction ----------------------------------------------------------------------- */

static bool
make_network (Host *h)
{
  const Settings *s = h->settings;
  PeersTcpOptions options = PEERS_TCP_OPTIONS_INIT;

  h->client = http_client_new (h, h->control);
  h->platform = platform_http_new (h, h->client, loop_timers (h->control), s->platform_addresses,
                                   s->n_platform_addresses);
  options.name = s->host_name;
  options.incarnation = h->incarnation;
  options.listen = s->listen_peers;
  options.seed = h->incarnation;
  h->peers = peers_tcp_new (h, h->control, &options, on_envelope, h);
  if (h->peers)
    return true;
  log_line (LOG_LEVEL_CRIT, "serve", "Cannot listen for peers. address=%s", s->listen_peers);
  return false;
}

static void
make_membership (Host *h)
{
  const Settings *s = h->settings;
  MembershipOptions options = MEMBERSHIP_OPTIONS_INIT;

  options.name = s->host_name;
  options.data_centre = s->data_centre;
  options.region = s->region;
  options.peer_address = s->listen_peers;
  options.incarnation = h->incarnation;
  options.seed = h->incarnation;
  options.timers = loop_timers (h->control);
  options.peers = peers_tcp_adapter (h->peers);
  options.platform = h->platform;
  h->membership = membership_new (h, &options, &MEMBERSHIP_EVENTS, h);
  h->members = membership_adapter (h->membership);
  for (size_t i = 0; i < s->n_peers; i++)
    membership_add_host (h->membership, s->peers[i].name, or_default (s->peers[i].data_centre),
                         or_default (s->peers[i].region), s->peers[i].address);
}

static void
make_decisions (Host *h)
{
  const Settings *s = h->settings;
  Timers *timers = loop_timers (h->control);
  Peers *peers = peers_tcp_adapter (h->peers);
  RoutesOptions routes = { s->data_centre, s->region, h->incarnation };
  FollowerOptions follower = { .timers = timers,
                               .platform = h->platform,
                               .peers = peers,
                               .members = h->members,
                               .store = h->config,
                               .rng = &h->rng,
                               .changed = on_config,
                               .changed_data = h };
  LedgerOptions ledger = { .timers = timers,
                           .platform = h->platform,
                           .peers = peers,
                           .members = h->members,
                           .config = h->config,
                           .rng = &h->rng,
                           .post = post_to_control,
                           .post_data = h->control };
  BookingsOptions bookings = { .timers = timers,
                               .platform = h->platform,
                               .peers = peers,
                               .members = h->members,
                               .config = h->config,
                               .rng = &h->rng,
                               .look_up = host_look_up,
                               .look_up_data = h };

  h->routes = routes_new (h, &routes);
  h->ledger = ledger_new (h, &ledger);
  bookings.ledger = h->ledger;
  h->bookings = bookings_new (h, &bookings);
  h->follower = follower_new (h, &follower);
}

static bool
make_front (Host *h)
{
  const Settings *s = h->settings;
  FrontOptions options;

  front_options_init (&options);
  options.listen = s->listen_callers;
  options.host = s->host_name;
  options.incarnation = h->incarnation;
  options.workers = (unsigned)s->threads;
  options.max_body = (size_t)s->max_body_bytes;
  options.max_header = (size_t)s->max_header_bytes;
  options.read_timeout_ms = s->request_read_timeout_ms;
  options.max_streams = (unsigned)s->max_streams;
  options.limits.default_deadline_ms = s->default_deadline_ms;
  options.limits.max_deadline_ms = s->max_deadline_ms;
  options.config = h->config;
  options.ledger = h->ledger;
  options.routes = h->routes;
  options.bookings = h->bookings;
  options.control = h->control;
  h->front = front_new (h, &options);
  if (h->front)
    return true;
  log_line (LOG_LEVEL_CRIT, "serve", "Cannot listen for callers. address=%s", s->listen_callers);
  return false;
}

static void
on_drain_request (void *data)
{
  host_drain (data);
}

static bool
make_operators (Host *h)
{
  OperatorOptions options = { .listen = h->settings->listen_operators,
                              .ready = host_is_ready,
                              .state = host_state_json,
                              .drain = on_drain_request,
                              .budget = host_budget_json,
                              .data = h };

  h->operators = operator_new (h, h->control, &options);
  if (h->operators)
    return true;
  log_line (LOG_LEVEL_CRIT, "serve", "Cannot listen for operators. address=%s", options.listen);
  return false;
}

/* The front's threads use the other parts, so it goes first. */
static int
host_destroy (Host *h)
{
  TALLOC_FREE (h->front);
  TALLOC_FREE (h->operators);
  TALLOC_FREE (h->platform);
  TALLOC_FREE (h->peers);
  return 0;
}

Host *
host_new (const void *ctx, Loop *control, const Settings *settings)
{
  Host *h = talloc_zero (ctx, Host);

  talloc_set_destructor (h, host_destroy);
  h->control = control;
  h->settings = settings;
  /* Wall-clock milliseconds: a host that is started again later has a higher incarnation. */
  h->incarnation = (uint64_t)timers_wall_ms (loop_timers (control));
  rng_seed (&h->rng, h->incarnation);
  h->config = config_store_new (h);
  if (!make_network (h))
    {
      talloc_free (h);
      return NULL;
    }
  make_membership (h);
  make_decisions (h);
  host_drain_make (h);
  if (!make_front (h) || !make_operators (h))
    {
      talloc_free (h);
      return NULL;
    }
  membership_start (h->membership);
  host_load_start (h);
  return h;
}

#include <inttypes.h>
#include <string.h>

#include "core/log.h"
#include "host/host_impl.h"

void
host_init_rotation_and_gate (Host *h)
{
  int64_t now = host_now_ms (h);

  rotation_init (&h->rotation, h->settings->link_bytes_s, now);
  admission_gate_init (&h->gate, h->settings->link_bytes_s, now);
  h->rotation_peers = rotation_peers_new (h);
}

/* --- Other hosts ------------------------------------------------------------------------- */

static int
count_data_centre_hosts (const Host *h)
{
  size_t n;
  const RegistryHost *hosts = registry_hosts (h->registry, &n);
  int count = 0;

  for (size_t i = 0; i < n; i++)
    count += !strcmp (hosts[i].data_centre, h->settings->data_centre);
  return count;
}

static void
send_rotation_state (Host *h, int64_t now)
{
  RotationState state = rotation_state (&h->rotation);
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__RotationTold message = POND__ROTATION_TOLD__INIT;

  if (state == h->rotation_sent
      && (state == ROTATION_IN || now - h->rotation_sent_ms < ROTATION_REFRESH_MS))
    return;
  h->rotation_sent = state;
  h->rotation_sent_ms = now;
  message.state = state;
  message.out_ms = state == ROTATION_OUT ? now - h->rotation.left_ms : 0;
  env.body_case = POND__ENVELOPE__BODY_ROTATION_TOLD;
  env.rotation_told = &message;
  host_send_to_data_centre (h, &env);
}

bool
host_on_rotation_message (Host *h, const Pond__Envelope *env)
{
  if (env->body_case != POND__ENVELOPE__BODY_ROTATION_TOLD)
    return false;
  rotation_peers_update (h->rotation_peers, env->from, (RotationState)env->rotation_told->state,
                         env->rotation_told->out_ms, host_now_ms (h));
  return true;
}

/* --- This host --------------------------------------------------------------------------- */

static void
update_rotation (Host *h, int64_t now)
{
  bool was_in = rotation_is_in (&h->rotation);
  RotationPeersSummary peers = rotation_peers_summary (
      h->rotation_peers, count_data_centre_hosts (h), h->rotation.left_ms, now);
  bool in = rotation_update (&h->rotation, traffic_total (), h->gate.closed, &peers, now);

  send_rotation_state (h, now);
  if (in == was_in || h->drain_started_ms)
    return;
  log_event (LOG_LEVEL_NOTICE, "host", in ? "rotation_joined" : "rotation_left",
             "link_bytes_s=%" PRId64 " rate=%" PRId64 " open=%zu hosts=%d others_out=%d wanted=%d",
             h->rotation.link_bytes_s, h->rotation.rate_bytes_s,
             frontend_open_requests (h->frontend), peers.hosts, peers.out, peers.peer_exit_blocked);
  frontend_close_after_responses (h->frontend, !in);
}

/* A draining host accepts all connections: the load balancer sends them until it has noticed the drain. */
static void
update_gate (Host *h, int64_t now)
{
  bool was_open = !h->gate.closed;
  bool open = h->drain_started_ms ? admission_gate_force_open (&h->gate)
                                  : admission_gate_update (&h->gate, traffic_total (), now);

  if (open == was_open)
    return;
  log_event (LOG_LEVEL_NOTICE, "host", open ? "gate_opened" : "gate_closed",
             "link_bytes_s=%" PRId64 " rate=%" PRId64 " open=%zu", h->gate.link_bytes_s,
             h->gate.rate_bytes_s, frontend_open_requests (h->frontend));
  frontend_refuse_connections (h->frontend, !open);
}

void
host_update_rotation_and_gate (Host *h)
{
  int64_t now = host_now_ms (h);

  update_rotation (h, now);
  update_gate (h, now);
}

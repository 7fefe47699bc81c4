#include <inttypes.h>
#include <string.h>

#include "core/log.h"
#include "host/host_parts.h"

void
host_start_rotation (Host *h)
{
  int64_t now = host_now_ms (h);

  rotation_init (&h->rotation, h->settings->link_bytes_s, now);
  admission_gate_init (&h->gate, h->settings->link_bytes_s, now);
  h->rotation_peers = rotation_peers_new (h);
}

/* --- Other hosts ------------------------------------------------------------------------- */

static int
hosts_of_data_centre (const Host *h)
{
  size_t n;
  const RegistryHost *hosts = registry_hosts (h->registry, &n);
  int count = 0;

  for (size_t i = 0; i < n; i++)
    count += !strcmp (hosts[i].data_centre, h->settings->data_centre);
  return count;
}

static void
tell_rotation (Host *h, int64_t now)
{
  RotationState state = rotation_state (&h->rotation);
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__RotationTold told = POND__ROTATION_TOLD__INIT;

  if (state == h->rotation_told
      && (state == ROTATION_IN || now - h->rotation_told_ms < ROTATION_REFRESH_MS))
    return;
  h->rotation_told = state;
  h->rotation_told_ms = now;
  told.state = state;
  told.out_ms = state == ROTATION_OUT ? now - h->rotation.left_ms : 0;
  env.body_case = POND__ENVELOPE__BODY_ROTATION_TOLD;
  env.rotation_told = &told;
  host_tell_neighbours (h, &env);
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

/* --- Steps ------------------------------------------------------------------------------- */

static void
update_rotation (Host *h, int64_t now)
{
  bool before = rotation_is_in (&h->rotation);
  RotationPeersSummary others = rotation_peers_summary (h->rotation_peers, hosts_of_data_centre (h),
                                                        h->rotation.left_ms, now);
  bool in = rotation_update (&h->rotation, traffic_total (), h->gate.closed, &others, now);

  tell_rotation (h, now);
  if (in == before || h->drain_ms)
    return;
  log_event (LOG_LEVEL_NOTICE, "host", in ? "rotation_joined" : "rotation_left",
             "link_bytes_s=%" PRId64 " rate=%" PRId64 " open=%zu hosts=%d others_out=%d wanted=%d",
             h->rotation.link_bytes_s, h->rotation.rate_bytes_s, frontend_open_requests (h->entry),
             others.hosts, others.out, others.exit_wanted);
  frontend_close_after_responses (h->entry, !in);
}

/* A host that is about to stop takes what still comes: the balancer has not noticed yet. */
static void
update_gate (Host *h, int64_t now)
{
  bool before = !h->gate.closed;
  bool open = h->drain_ms ? admission_gate_force_open (&h->gate)
                          : admission_gate_update (&h->gate, traffic_total (), now);

  if (open == before)
    return;
  log_event (LOG_LEVEL_NOTICE, "host", open ? "gate_opened" : "gate_closed",
             "link_bytes_s=%" PRId64 " rate=%" PRId64 " open=%zu", h->gate.link_bytes_s,
             h->gate.rate_bytes_s, frontend_open_requests (h->entry));
  frontend_refuse_connections (h->entry, !open);
}

void
host_update_rotation (Host *h)
{
  int64_t now = host_now_ms (h);

  update_rotation (h, now);
  update_gate (h, now);
}

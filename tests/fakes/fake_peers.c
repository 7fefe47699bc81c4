#include "fakes/fake_peers.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

struct FakeNet
{
  Timers *timers;
  Rng *rng;
  GHashTable *hosts; /* FakePeers by host name */
  double loss_rate;
  int64_t delay_ms;
};

typedef struct
{
  FakeNet *net;
  size_t len;
  uint8_t *bytes;
} Message;

static void
deliver (void *data)
{
  Message *m = data;
  Pond__Envelope *env = pond__envelope__unpack (NULL, m->len, m->bytes);
  FakePeers *to = g_hash_table_lookup (m->net->hosts, env->to);

  if (to && !to->disconnected && to->fn)
    to->fn (to->data, env);
  pond__envelope__free_unpacked (env, NULL);
  talloc_free (m);
}

static void
op_send (Peers *peers, const char *host, Pond__Envelope *env)
{
  FakePeers *p = (FakePeers *)peers;
  FakeNet *net = p->net;
  Message *m;

  if (p->disconnected || rng_chance (net->rng, net->loss_rate))
    return;
  env->from = p->name;
  env->to = (char *)host;
  m = talloc_zero (net, Message);
  m->net = net;
  m->len = pond__envelope__get_packed_size (env);
  m->bytes = talloc_array (m, uint8_t, m->len);
  pond__envelope__pack (env, m->bytes);
  timers_start (net->timers, m, 1 + (int64_t)rng_below (net->rng, (uint64_t)net->delay_ms), deliver,
                m);
}

static const PeersOps OPS = { op_send };

static int
net_destroy (FakeNet *net)
{
  g_hash_table_unref (net->hosts);
  return 0;
}

FakeNet *
fake_net_new (const void *ctx, Timers *timers, Rng *rng)
{
  FakeNet *net = talloc_zero (ctx, FakeNet);

  net->timers = timers;
  net->rng = rng;
  net->delay_ms = 10;
  net->hosts = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (net, net_destroy);
  return net;
}

void
fake_net_set_faults (FakeNet *net, double loss_rate, int64_t delay_ms)
{
  net->loss_rate = loss_rate;
  net->delay_ms = delay_ms;
}

FakePeers *
fake_peers_new (FakeNet *net, const char *name, FakePeersFn fn, void *data)
{
  FakePeers *p = g_hash_table_lookup (net->hosts, name);

  if (!p)
    {
      p = talloc_zero (net, FakePeers);
      p->peers.ops = &OPS;
      p->net = net;
      p->name = talloc_strdup (p, name);
      g_hash_table_insert (net->hosts, p->name, p);
    }
  p->fn = fn;
  p->data = data;
  return p;
}

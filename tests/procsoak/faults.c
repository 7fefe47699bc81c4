/* Faults in overlapping series. */
#include <signal.h>
#include <string.h>

#include <talloc.h>

#include "procsoak.h"

#define MEAN_PAUSE_MS 500
#define LONGEST_MS    4000

static const char *const STORE_FAULTS[]
    = { "{\"silent\":true}", "{\"busy\":true}", "{\"many\":true}",
        "{\"reset\":true}",  "{\"lost\":0.3}",  "{\"late\":0.1,\"slow_ms\":80}" };
static const char *const ENGINE_FAULTS[]
    = { "{\"refuse\":4}", "{\"close_before\":4}", "{\"close_mid\":3}", "{\"slow\":5}",
        "{\"wrong_id\":2}" };
static const char *const SERVICE_FAULTS[]
    = { "{\"run_then_close\":5}", "{\"refuse\":3}", "{\"close_before\":3}", "{\"wrong_id\":1}" };

#define NO_STORE_FAULT                                                                             \
  "{\"silent\":false,\"busy\":false,\"many\":false,\"reset\":false,\"lost\":0,\"late\":0,\"slow_"  \
  "ms\":0}"

typedef struct
{
  Soak *soak;
  int host;
  int generation;
  Proxy *proxy;
} Fault;

static bool
ignore_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  (void)data;
  (void)exchange;
  (void)bytes;
  (void)len;
  return true;
}

static void
ignore_end (void *data, HttpExchange *exchange, HttpResult result)
{
  (void)data;
  (void)result;
  talloc_free (exchange);
}

static void
switch_fault (Soak *s, int port, const char *body)
{
  static const HttpEvents EVENTS = { NULL, ignore_body, ignore_end };
  char *url = talloc_asprintf (s, "http://127.0.0.1:%d/admin/faults", soak_port (s, port));
  HttpRequest request = { .method = "POST",
                          .url = url,
                          .body = body,
                          .body_len = strlen (body),
                          .connect_timeout_ms = 1000,
                          .timeout_ms = 2000,
                          .own_connection = true };

  http_client_start (s->client, s, &request, &EVENTS, s);
  talloc_free (url);
}

static void
note_store (Soak *s, int i)
{
  s->hosts[i].store_ms = soak_now_ms (s);
}

static int64_t
duration (Soak *s)
{
  return 200 + (int64_t)rng_below (&s->rng, LONGEST_MS);
}

static Fault *
fault_new (Soak *s, int host)
{
  Fault *f = talloc_zero (s, Fault);

  f->soak = s;
  f->host = host;
  f->generation = s->hosts[host].generation;
  return f;
}

/* --- Hosts ------------------------------------------------------------------------------- */

static void
on_restart (void *data)
{
  Fault *f = data;
  Soak *s = f->soak;

  if (s->hosts[f->host].pid && !s->ending)
    {
      /* It drains still. */
      timers_start (s->timers, f, 100, on_restart, f);
      return;
    }
  if (!s->hosts[f->host].pid && !s->ending)
    processes_start_host (s, f->host);
  talloc_free (f);
}

static void
on_thaw (void *data)
{
  Fault *f = data;

  if (f->soak->hosts[f->host].generation == f->generation)
    processes_signal (f->soak, f->host, SIGCONT);
  talloc_free (f);
}

static void
disturb_host (Soak *s)
{
  static const int SIGNALS[] = { SIGKILL, SIGTERM, SIGSTOP, SIGHUP, SIGKILL, SIGTERM };
  int i = (int)rng_below (&s->rng, (uint64_t)s->options.n_hosts);
  int sig = SIGNALS[rng_below (&s->rng, 6)];
  SoakHost *h = &s->hosts[i];

  if (!h->pid || h->stopping || h->frozen)
    return;
  processes_signal (s, i, sig);
  if (sig == SIGSTOP)
    timers_start (s->timers, s, duration (s), on_thaw, fault_new (s, i));
  else if (sig != SIGHUP)
    timers_start (s->timers, s, duration (s), on_restart, fault_new (s, i));
}

static void
kill_all (Soak *s)
{
  for (int i = 0; i < s->options.n_hosts; i++)
    if (s->hosts[i].pid && !s->hosts[i].stopping && !s->hosts[i].frozen)
      {
        processes_signal (s, i, SIGKILL);
        timers_start (s->timers, s, 1000 + (int64_t)rng_below (&s->rng, 1500), on_restart,
                      fault_new (s, i));
      }
}

/* --- Connections, store, servers ----------------------------------------------------------- */

static void
on_pass (void *data)
{
  Fault *f = data;

  proxy_set (f->proxy, PROXY_PASS);
  note_store (f->soak, f->host);
  talloc_free (f);
}

static void
disturb_proxy (Soak *s)
{
  uint64_t n = rng_below (&s->rng, (uint64_t)s->options.n_hosts + SOAK_SERVERS);
  Proxy *p = n < SOAK_SERVERS ? s->server_proxies[n] : s->store_proxies[n - SOAK_SERVERS];
  int host = n < SOAK_SERVERS ? 0 : (int)(n - SOAK_SERVERS);
  Fault *f;

  if (proxy_mode (p) != PROXY_PASS)
    return;
  proxy_set (p, (ProxyMode)(1 + rng_below (&s->rng, PROXY_MODES - 1)));
  note_store (s, host);
  f = fault_new (s, host);
  f->proxy = p;
  timers_start (s->timers, s, duration (s), on_pass, f);
}

static void
on_store_well (void *data)
{
  Soak *s = data;

  switch_fault (s, 0, NO_STORE_FAULT);
  for (int i = 0; i < s->options.n_hosts; i++)
    note_store (s, i);
}

static void
disturb_store (Soak *s)
{
  switch_fault (s, 0,
                STORE_FAULTS[rng_below (&s->rng, sizeof STORE_FAULTS / sizeof *STORE_FAULTS)]);
  timers_start (s->timers, s, duration (s) * 2, on_store_well, s);
}

static void
disturb_server (Soak *s)
{
  uint64_t n = rng_below (&s->rng, SOAK_SERVERS);

  if (n < SOAK_ENGINES)
    switch_fault (s, 10 + (int)n,
                  ENGINE_FAULTS[rng_below (&s->rng, sizeof ENGINE_FAULTS / sizeof *ENGINE_FAULTS)]);
  else
    switch_fault (
        s, 20 + (int)n - SOAK_ENGINES,
        SERVICE_FAULTS[rng_below (&s->rng, sizeof SERVICE_FAULTS / sizeof *SERVICE_FAULTS)]);
}

/* --- Series ------------------------------------------------------------------------------ */

static void
on_next (void *data)
{
  Soak *s = data;
  uint64_t n = rng_below (&s->rng, 100);

  if (s->quiet)
    return;
  timers_start (s->timers, s, (int64_t)rng_exponential (&s->rng, MEAN_PAUSE_MS) + 1, on_next, s);
  s->faults++;
  if (n < 30)
    disturb_host (s);
  else if (n < 60)
    disturb_proxy (s);
  else if (n < 75)
    disturb_server (s);
  else if (n < 85)
    disturb_store (s);
  else if (n < 97)
    processes_apply_ticket (s, s->stopped < 0 ? (int)rng_below (&s->rng, SOAK_ENGINES) : -1);
  else
    kill_all (s);
}

void
faults_start (Soak *s)
{
  on_next (s);
}

void
faults_heal (Soak *s)
{
  s->quiet = true;
  on_store_well (s);
  for (int i = 0; i < s->options.n_hosts; i++)
    {
      proxy_set (s->store_proxies[i], PROXY_PASS);
      if (s->hosts[i].frozen)
        processes_signal (s, i, SIGCONT);
    }
  for (int i = 0; i < SOAK_SERVERS; i++)
    {
      proxy_set (s->server_proxies[i], PROXY_PASS);
      switch_fault (s, i < SOAK_ENGINES ? 10 + i : 20 + i - SOAK_ENGINES,
                    "{\"refuse\":0,\"close_before\":0,\"close_mid\":0,\"silent\":0,\"slow\":0,"
                    "\"wrong_id\":0,\"run_then_close\":0}");
    }
}

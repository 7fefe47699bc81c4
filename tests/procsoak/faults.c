/* Injects random faults into processes, connections and stand-ins. Faults may overlap. */
#include <signal.h>
#include <string.h>

#include <talloc.h>

#include "procsoak.h"

#define MEAN_INTERVAL_MS        500
#define FAULT_DURATION_RANGE_MS 4000

static const char *const STORE_FAULTS[]
    = { "{\"silent\":true}", "{\"busy\":true}", "{\"many\":true}",
        "{\"reset\":true}",  "{\"lost\":0.3}",  "{\"late\":0.1,\"slow_ms\":80}" };
static const char *const ENGINE_FAULTS[]
    = { "{\"refuse\":4}",   "{\"close_before\":4}", "{\"close_mid\":3}", "{\"slow\":5}",
        "{\"wrong_id\":2}", "{\"limit\":2}",        "{\"limit\":0}" };
static const char *const SERVICE_FAULTS[]
    = { "{\"run_then_close\":5}", "{\"run_then_refuse\":3}", "{\"refuse\":3}",
        "{\"close_before\":3}",   "{\"wrong_id\":1}",        "{\"limit\":3}",
        "{\"limit\":0}" };

#define NO_STORE_FAULT                                                                             \
  "{\"silent\":false,\"busy\":false,\"many\":false,\"reset\":false,\"lost\":0,\"late\":0,\"slow_"  \
  "ms\":0}"

typedef struct
{
  Soak *soak;
  int host;       /* of a process or connection fault */
  int generation; /* of the host, when the fault started */
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
on_faults_set (void *data, HttpExchange *exchange, HttpResult result)
{
  (void)data;
  (void)result;
  talloc_free (exchange);
}

static void
set_standin_faults (Soak *s, int port, const char *body)
{
  static const HttpEvents EVENTS = { NULL, ignore_body, on_faults_set };
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
record_store_fault (Soak *s, int i)
{
  s->hosts[i].store_fault_ms = soak_now_ms (s);
}

static int64_t
fault_duration_ms (Soak *s)
{
  return 200 + (int64_t)rng_below (&s->rng, FAULT_DURATION_RANGE_MS);
}

static Fault *
fault_new (Soak *s, int host)
{
  Fault *f = talloc_zero (s, Fault);

  f->soak = s;
  f->host = host;
  f->generation = host >= 0 ? s->hosts[host].generation : 0;
  return f;
}

/* --- Hosts ------------------------------------------------------------------------------- */

static void
on_restart (void *data)
{
  Fault *f = data;
  Soak *s = f->soak;

  if (s->hosts[f->host].pid && !s->requests_ended)
    {
      /* The host is still draining. */
      timers_start (s->timers, f, 100, on_restart, f);
      return;
    }
  if (!s->hosts[f->host].pid && !s->requests_ended)
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
inject_host_fault (Soak *s)
{
  static const int SIGNALS[] = { SIGKILL, SIGTERM, SIGSTOP, SIGHUP, SIGKILL, SIGTERM };
  int i = (int)rng_below (&s->rng, (uint64_t)s->options.n_hosts);
  int sig = SIGNALS[rng_below (&s->rng, 6)];
  SoakHost *h = &s->hosts[i];

  if (!h->pid || h->draining || h->frozen)
    return;
  processes_signal (s, i, sig);
  if (sig == SIGSTOP)
    timers_start (s->timers, s, fault_duration_ms (s), on_thaw, fault_new (s, i));
  else if (sig != SIGHUP)
    timers_start (s->timers, s, fault_duration_ms (s), on_restart, fault_new (s, i));
}

static void
kill_all_hosts (Soak *s)
{
  for (int i = 0; i < s->options.n_hosts; i++)
    if (s->hosts[i].pid && !s->hosts[i].draining && !s->hosts[i].frozen)
      {
        processes_signal (s, i, SIGKILL);
        timers_start (s->timers, s, 1000 + (int64_t)rng_below (&s->rng, 1500), on_restart,
                      fault_new (s, i));
      }
}

/* --- Connections, store, servers --------------------------------------------------------- */

static void
on_proxy_fault_over (void *data)
{
  Fault *f = data;

  proxy_set_mode (f->proxy, PROXY_PASS);
  if (f->host >= 0)
    record_store_fault (f->soak, f->host);
  talloc_free (f);
}

static void
inject_connection_fault (Soak *s)
{
  uint64_t n = rng_below (&s->rng, (uint64_t)s->options.n_hosts + SOAK_SERVERS);
  Proxy *p = n < SOAK_SERVERS ? s->server_proxies[n] : s->store_proxies[n - SOAK_SERVERS];
  int host
      = n < SOAK_SERVERS ? -1 : (int)(n - SOAK_SERVERS); /* servers' proxies belong to no host */
  Fault *f;

  if (proxy_mode (p) != PROXY_PASS)
    return;
  proxy_set_mode (p, (ProxyMode)(1 + rng_below (&s->rng, PROXY_MODES - 1)));
  if (host >= 0)
    record_store_fault (s, host);
  f = fault_new (s, host);
  f->proxy = p;
  timers_start (s->timers, s, fault_duration_ms (s), on_proxy_fault_over, f);
}

static void
on_store_fault_over (void *data)
{
  Soak *s = data;

  set_standin_faults (s, 0, NO_STORE_FAULT);
  for (int i = 0; i < s->options.n_hosts; i++)
    record_store_fault (s, i);
}

static void
inject_store_fault (Soak *s)
{
  set_standin_faults (
      s, 0, STORE_FAULTS[rng_below (&s->rng, sizeof STORE_FAULTS / sizeof *STORE_FAULTS)]);
  timers_start (s->timers, s, fault_duration_ms (s) * 2, on_store_fault_over, s);
}

static void
inject_server_fault (Soak *s)
{
  uint64_t n = rng_below (&s->rng, SOAK_SERVERS);

  if (n < SOAK_ENGINES)
    set_standin_faults (
        s, 10 + (int)n,
        ENGINE_FAULTS[rng_below (&s->rng, sizeof ENGINE_FAULTS / sizeof *ENGINE_FAULTS)]);
  else
    set_standin_faults (
        s, 20 + (int)n - SOAK_ENGINES,
        SERVICE_FAULTS[rng_below (&s->rng, sizeof SERVICE_FAULTS / sizeof *SERVICE_FAULTS)]);
}

/* --- Schedule ---------------------------------------------------------------------------- */

static void
on_next_fault (void *data)
{
  Soak *s = data;
  uint64_t n = rng_below (&s->rng, 100);

  if (s->faults_ended)
    return;
  timers_start (s->timers, s, (int64_t)rng_exponential (&s->rng, MEAN_INTERVAL_MS) + 1,
                on_next_fault, s);
  s->faults++;
  if (n < 30)
    inject_host_fault (s);
  else if (n < 60)
    inject_connection_fault (s);
  else if (n < 75)
    inject_server_fault (s);
  else if (n < 85)
    inject_store_fault (s);
  else if (n < 97)
    processes_apply_ticket (s, s->stopped_engine < 0 ? (int)rng_below (&s->rng, SOAK_ENGINES) : -1);
  else
    kill_all_hosts (s);
}

void
faults_start (Soak *s)
{
  on_next_fault (s);
}

void
faults_clear (Soak *s)
{
  s->faults_ended = true;
  on_store_fault_over (s);
  for (int i = 0; i < s->options.n_hosts; i++)
    {
      proxy_set_mode (s->store_proxies[i], PROXY_PASS);
      if (s->hosts[i].frozen)
        processes_signal (s, i, SIGCONT);
    }
  for (int i = 0; i < SOAK_SERVERS; i++)
    {
      proxy_set_mode (s->server_proxies[i], PROXY_PASS);
      set_standin_faults (
          s, i < SOAK_ENGINES ? 10 + i : 20 + i - SOAK_ENGINES,
          "{\"refuse\":0,\"close_before\":0,\"close_mid\":0,\"silent\":0,\"slow\":0,"
          "\"wrong_id\":0,\"run_then_close\":0,\"run_then_refuse\":0}");
    }
}

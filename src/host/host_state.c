#include <inttypes.h>

#include <jansson.h>
#include <talloc.h>

#include "host/host_impl.h"

static bool
has_room (Host *h)
{
  bool was_full = h->room.is_full;
  size_t in_use = h->frontend ? frontend_open_requests (h->frontend) : 0;
  bool has = connection_room_update (&h->room, in_use);

  if (was_full == has)
    log_event (LOG_LEVEL_NOTICE, "host", has ? "room_again" : "full", "in_use=%zu max=%zu", in_use,
               h->room.max_connections);
  return has;
}

bool
host_is_ready (void *data)
{
  Host *h = data;
  const Catalog *catalog = current_catalog_get (h->catalog);
  bool ready = catalog && h->drain_started_ms == 0 && config_source_is_synced (h->config_source)
               && rotation_is_in (&h->rotation) && has_room (h);

  catalog_unref (catalog);
  return ready;
}

/* @return the members of the summary, without braces. */
static char *
summary_members (Host *h, const void *ctx)
{
  const Catalog *catalog = current_catalog_get (h->catalog);
  size_t hosts;
  char *text;

  registry_hosts (h->registry, &hosts);
  text = talloc_asprintf (
      ctx,
      "\"host\":\"%s\",\"incarnation\":\"%" PRIx64 "\",\"phase\":\"%s\",\"ready\":%s,"
      "\"version\":%" PRId64 ",\"hosts\":%zu,\"open_requests\":%zu,"
      "\"evacuated\":%s",
      h->settings->host_name, h->incarnation, h->drain_started_ms ? "draining" : "serving",
      host_is_ready (h) ? "true" : "false", catalog ? catalog_version (catalog) : 0, hosts,
      frontend_open_requests (h->frontend), dispatch_describe_evacuated (h->dispatch, ctx));

  catalog_unref (catalog);
  return text;
}

char *
host_summary_json (void *data, const void *ctx)
{
  return talloc_asprintf (ctx, "{%s}", summary_members (data, ctx));
}

char *
host_state_json (void *data, const void *ctx)
{
  Host *h = data;

  return talloc_asprintf (ctx, "{%s,\"servers\":%s,\"overload\":%s,\"budgets\":%s}",
                          summary_members (h, ctx),
                          dispatch_describe (h->dispatch, ctx, host_now_ms (h)),
                          overload_describe (h->overload, ctx, host_now_ms (h)),
                          budgets_describe (h->budgets, ctx, NULL));
}

char *
host_budget_json (void *data, const void *ctx, const char *account)
{
  Host *h = data;

  return budgets_describe (h->budgets, ctx, account);
}

/** @file
 * Dynamic configuration: routes, services and client accounts. A Catalog is an immutable,
 * reference-counted snapshot; any thread may hold a reference. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog/region_set.h"
#include "core/tokens.h"

#define CATALOG_DIGEST_BYTES 32

/** Whether a request may be retried after it may have run. */
typedef enum
{
  CALL_IDEMPOTENT,     /* may run more than once */
  CALL_NON_IDEMPOTENT, /* runs at most once */
  CALL_STREAM          /* a stream of events; runs at most once unless the route is resumable */
} CallKind;

typedef struct
{
  const char *name;
  const char *health_path;
  int connection_limit; /* maximum connections of all hosts to one backend server; 0: no limit */
  const char *model;    /* model name in client requests; NULL if requests name no model */
  bool is_engine;       /* backend servers are inference engines: requests have prompts */
  int slots;            /* maximum number of concurrent requests of one engine */
  Tokens cache_tokens;  /* KV cache capacity of one engine */
  Tokens event_tokens;  /* maximum number of tokens in one event of a stream */
  double cold_requests_per_s; /* that a server bears shortly after its start; 0: as many as later */
} CatalogService;

typedef struct
{
  const CatalogService *service;
  unsigned weight;
} CatalogTarget;

typedef struct
{
  const char *name;
  const char *host; /* Host header without the port; "" with the native interface */
  const char *path_prefix;
  const char *method; /* NULL: any */
  CallKind kind;
  int64_t timeout_ms;        /* maximum duration of a request */
  int64_t target_latency_ms; /* until the response, or a stream's first event; 0: no target */
  int64_t target_gap_ms;     /* between consecutive events of a stream; 0: no target */
  int priority;              /* 0 is the most urgent */
  int max_attempts;          /* maximum number of backend servers that one request is sent to */
  bool allows_anonymous;     /* requests need no API key */
  Tokens price;              /* tokens charged for each request; not used for inference requests */
  const RegionSet *regions;  /* in which requests may be served; NULL: in all */
  bool resumable;            /* another backend server may resume an interrupted stream */
  const CatalogTarget *targets;
  size_t n_targets;
  unsigned total_weight;
} CatalogRoute;

typedef struct
{
  const char *name;
  int priority;             /* overrides the priority of the route; -1: not set */
  bool has_budget;          /* requests are charged to a prepaid budget */
  Tokens budget;            /* total prepaid tokens */
  const RegionSet *regions; /* in which the account's requests may be served; NULL: in all */
} CatalogAccount;

typedef struct
{
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
  size_t max_header_bytes;
  size_t max_body_bytes;
} CatalogLimits;

typedef struct Catalog Catalog;

/** Builds a catalog: create a builder, add services, routes and accounts, then call
 * catalog_finish(). */
typedef struct CatalogBuilder CatalogBuilder;

CatalogBuilder *catalog_builder_new (const void *ctx, int64_t version);

/** Copies @p service and its strings. @return the copy, to be used as the target of routes. */
const CatalogService *catalog_add_service (CatalogBuilder *builder, const CatalogService *service);
const CatalogService *catalog_builder_find_service (const CatalogBuilder *builder,
                                                    const char *name);

/** Copies @p route with its strings and targets. */
void catalog_add_route (CatalogBuilder *builder, const CatalogRoute *route);

/** Copies @p account and its name. @return the copy, to be passed to catalog_add_key(). */
const CatalogAccount *catalog_add_account (CatalogBuilder *builder, const CatalogAccount *account);
void catalog_add_key (CatalogBuilder *builder, const CatalogAccount *account,
                      const uint8_t digest[CATALOG_DIGEST_BYTES]);
void catalog_set_limits (CatalogBuilder *builder, const CatalogLimits *limits);

/** Frees the builder. @return the finished snapshot with one reference. */
const Catalog *catalog_finish (CatalogBuilder *builder);

const Catalog *catalog_ref (const Catalog *catalog);
void catalog_unref (const Catalog *catalog);

/** Transfers one reference to the talloc object @p ctx, which releases it when it is freed. */
void catalog_attach (const void *ctx, const Catalog *catalog);

int64_t catalog_version (const Catalog *catalog);
const CatalogLimits *catalog_limits (const Catalog *catalog);
size_t catalog_n_routes (const Catalog *catalog);

/** @return whether the catalog has any account. If not, the platform's interface requires no API keys. */
bool catalog_requires_keys (const Catalog *catalog);

/** @return the route for @p method and @p host with the longest path_prefix that @p path starts with, or
 * NULL. */
const CatalogRoute *catalog_match_route (const Catalog *catalog, const char *method,
                                         const char *host, const char *path);

/** @return the service that serves @p model, or NULL. */
const CatalogService *catalog_find_service_by_model (const Catalog *catalog, const char *model);

/** @return the account of the API key @p key, or NULL. */
const CatalogAccount *catalog_find_account_by_key (const Catalog *catalog, const char *key);
const CatalogAccount *catalog_find_account (const Catalog *catalog, const char *name);
const CatalogService *catalog_find_service (const Catalog *catalog, const char *name);

void catalog_each_account (const Catalog *catalog,
                           void (*fn) (void *data, const CatalogAccount *account), void *data);
void catalog_each_service (const Catalog *catalog,
                           void (*fn) (void *data, const CatalogService *service), void *data);

/** Calls @p fn once for each region that a route or account names. */
void catalog_each_region (const Catalog *catalog, void (*fn) (void *data, const char *region),
                          void *data);

/** @return the number of routes and accounts whose regions could not be read in full. */
size_t catalog_n_unreadable_regions (const Catalog *catalog);

/** Selects one of the route's targets by weight. Equal values of @p hash give the same service. */
const CatalogService *catalog_route_select_service (const CatalogRoute *route, uint64_t hash);

/** Computes the SHA-256 digest of an API key. Only digests are stored, never the keys. */
void catalog_key_digest (const char *key, uint8_t digest[CATALOG_DIGEST_BYTES]);

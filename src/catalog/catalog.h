/** @file
 * The configuration in force: routes, services and client accounts. A Catalog is an immutable snapshot;
 * any thread may hold one. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/tokens.h"

#define CATALOG_DIGEST_BYTES 32

/** What may be repeated. */
typedef enum
{
  CALL_IDEMPOTENT, /* may run more than once */
  CALL_ONCE,       /* runs at most once */
  CALL_STREAM      /* a stream of events; runs at most once unless the route is resumable */
} CallKind;

typedef struct
{
  const char *name;
  const char *health_path;
  int connection_limit; /* of one backend server, over all hosts; 0: none */
  const char *model;    /* by which callers name it; NULL if they do not */
  bool is_engine;       /* a model engine: requests have prompts */
  int slots;            /* requests that run at once on one engine */
  Tokens cache_tokens;  /* memory of one engine */
  Tokens event_tokens;  /* in one event of a stream, at most */
} CatalogService;

typedef struct
{
  const CatalogService *service;
  unsigned weight;
} CatalogTarget;

typedef struct
{
  const char *name;
  const char *host; /* of the request's Host header */
  const char *path_prefix;
  const char *method; /* NULL: any */
  CallKind kind;
  int64_t timeout_ms;   /* the longest that a request is kept */
  int64_t objective_ms; /* to the answer, or to a stream's first event; 0: none */
  int64_t gap_ms;       /* longest pause between the events of a stream; 0: none */
  int priority;         /* 0 is the most urgent */
  int max_attempts;     /* backend servers that may run one request */
  bool anonymous;       /* needs no key */
  Tokens price;         /* of one call, besides its prompt */
  bool resumable;       /* a broken stream may go on at another server */
  const CatalogTarget *targets;
  size_t n_targets;
  unsigned total_weight;
} CatalogRoute;

typedef struct
{
  const char *name;
  int priority; /* goes before the route's; -1: none */
  bool limited; /* draws on a prepaid budget */
  Tokens budget;
} CatalogAccount;

typedef struct
{
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
  size_t max_header_bytes;
  size_t max_body_bytes;
} CatalogLimits;

typedef struct Catalog Catalog;

/** How to build a catalog: start, add, finish. */
typedef struct CatalogBuilder CatalogBuilder;

CatalogBuilder *catalog_builder_new (const void *ctx, int64_t version);

/** Members of the arguments are copied. @return the service, to be named in routes. */
const CatalogService *catalog_add_service (CatalogBuilder *builder, const CatalogService *service);
const CatalogService *catalog_builder_service (const CatalogBuilder *builder, const char *name);

void catalog_add_route (CatalogBuilder *builder, const CatalogRoute *route);

/** Accounts are present in a configuration with keys; without any, requests need no key. */
const CatalogAccount *catalog_add_account (CatalogBuilder *builder, const CatalogAccount *account);
void catalog_add_key (CatalogBuilder *builder, const CatalogAccount *account,
                      const uint8_t digest[CATALOG_DIGEST_BYTES]);
void catalog_set_limits (CatalogBuilder *builder, const CatalogLimits *limits);

/** Ends the builder. @return the snapshot with one reference. */
const Catalog *catalog_finish (CatalogBuilder *builder);

const Catalog *catalog_ref (const Catalog *catalog);
void catalog_unref (const Catalog *catalog);

/** Hands one reference over to the talloc object @p ctx, which drops it when it is freed. */
void catalog_hold (const void *ctx, const Catalog *catalog);

int64_t catalog_version (const Catalog *catalog);
const CatalogLimits *catalog_limits (const Catalog *catalog);
size_t catalog_n_routes (const Catalog *catalog);
bool catalog_needs_keys (const Catalog *catalog);

/** @return the route of @p method with the longest prefix of @p path on @p host, or NULL. */
const CatalogRoute *catalog_route (const Catalog *catalog, const char *method, const char *host,
                                   const char *path);

/** @return the service that callers name by this model, or NULL. */
const CatalogService *catalog_service_by_model (const Catalog *catalog, const char *model);

/** @return the account that holds the API key, or NULL. */
const CatalogAccount *catalog_account_by_key (const Catalog *catalog, const char *key);
const CatalogAccount *catalog_account (const Catalog *catalog, const char *name);
const CatalogService *catalog_service (const Catalog *catalog, const char *name);

void catalog_each_account (const Catalog *catalog,
                           void (*fn) (void *data, const CatalogAccount *account), void *data);
void catalog_each_service (const Catalog *catalog,
                           void (*fn) (void *data, const CatalogService *service), void *data);

/** @return the service for a request: the targets share requests by weight, by @p hash. */
const CatalogService *catalog_route_service (const CatalogRoute *route, uint64_t hash);

/** SHA-256 of an API key; keys themselves are not kept. */
void catalog_digest (const char *key, uint8_t digest[CATALOG_DIGEST_BYTES]);

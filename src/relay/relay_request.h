/** @file
 * A client's request after decoding, and a server's answer head after decoding: what the relay decides
 * on, whatever interface they came through. */
#pragma once

#include "catalog/catalog.h"
#include "core/err.h"
#include "dispatch/dispatch.h"

typedef struct
{
  const char *name;
  const char *value;
} RelayHeader;

typedef struct
{
  const char *id; /* the client's id of this attempt, or one of our own */
  const char *method;
  const char *target; /* path and query, not decoded */
  const char *host;   /* Host header */
  const char *body;
  size_t body_len;
  const RelayHeader *headers; /* to pass on */
  size_t n_headers;
  const CatalogRoute *route; /* of the catalog that the request was decoded with */
  const CatalogService *service;
  const char *account; /* NULL: none */
  bool has_budget;     /* the account draws on a budget */
  CallKind kind;
  bool repeatable;           /* may run more than once */
  bool resumable;            /* a broken stream may go on at another server */
  int max_attempts;          /* servers that may run it */
  int priority;              /* 0 is the most urgent */
  int64_t client_timeout_ms; /* how long the client waits */
  int64_t route_timeout_ms;  /* how long the route lets it be kept */
  int64_t objective_ms;
  const char *last_event_id; /* the client resumes a stream after this event; or NULL */
  bool has_prompt;
  Tokens prompt_tokens;
  Tokens max_tokens;
  Tokens event_tokens; /* tokens in one event of a stream, at most */
  bool hide_usage;     /* the client did not ask for the usage event of its stream */
  PromptPart parts[DISPATCH_MAX_PARTS];
  size_t n_parts;
} RelayRequest;

/** The head of a server's answer. */
typedef struct
{
  int status;
  bool matches_request;   /* belongs to the request that was sent */
  bool from_server;       /* is marked as the answer of a server */
  bool not_run;           /* the server says that it did not run the request */
  bool misdirected;       /* another server has the address */
  bool leaving;           /* the server is about to stop */
  int64_t retry_after_ms; /* the server wants nothing from this host for so long; 0: not said */
  bool has_load;
  int running;
  int waiting;
  int slots;
} RelayResponseHead;

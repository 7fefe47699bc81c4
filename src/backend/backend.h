/** @file
 * Request/response exchanges with backend servers, as used by the relay. HTTP and test fakes implement the
 * vtable. All calls and events are on one worker's thread; backend_start() itself emits no event. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/failure.h"
#include "catalog/region_set.h"

typedef struct Backend Backend;
typedef struct BackendCall BackendCall;

typedef struct
{
  const char *address; /* "IP:port" */
  const char *method;
  const char *target;         /* path and query, still percent-encoded */
  const char *const *headers; /* "Name: value" */
  size_t n_headers;
  const char *body;
  void *body_owner; /* talloc object with the body, is referenced; NULL: the body is copied */
  size_t body_len;
  int64_t timeout_ms;
  const RegionSet *regions;  /* of other hosts that may see the body; NULL: any */
  bool small_receive_buffer; /* for streams: keeps the memory of each one low */
  bool own_connection;       /* use a connection for this request only */
  int64_t max_idle_ms;       /* a connection idle for longer is not reused; 0: the default */
} BackendRequest;

typedef enum
{
  BACKEND_CONTINUE,
  BACKEND_PAUSE, /* the same bytes are delivered again after backend_resume() */
  BACKEND_ABORT  /* the failed event follows; body must not call backend_cancel() itself */
} BackendFlow;

typedef struct
{
  /** The status line and headers are complete; reported before the first body bytes or the end.
   * @return false to abort the exchange: failed follows, or end if the response has no body. */
  bool (*headers) (void *data, BackendCall *call, int status);
  BackendFlow (*body) (void *data, const char *bytes, size_t len);
  /** The response is complete. The call is freed afterwards. */
  void (*end) (void *data);
  /** The exchange failed. The call is freed afterwards. */
  void (*failed) (void *data, FailurePoint point, bool timed_out);
} BackendEvents;

typedef void (*BackendHeaderFn) (void *data, const char *name, const char *value);

typedef struct
{
  BackendCall *(*start) (Backend *backend, const BackendRequest *request,
                         const BackendEvents *events, void *data);
  FailurePoint (*cancel) (BackendCall *call);
  void (*resume) (BackendCall *call);
  const char *(*header) (BackendCall *call, const char *name);
  const char *(*interim_header) (BackendCall *call, const char *name);
  void (*each_header) (BackendCall *call, BackendHeaderFn fn, void *data);
  bool (*is_first_exchange) (BackendCall *call);
  bool (*has_framed_end) (BackendCall *call);
  bool (*is_direct) (BackendCall *call);
} BackendOps;

struct Backend
{
  const BackendOps *ops;
};

struct BackendCall
{
  Backend *backend;
};

/** Starts an exchange. @return NULL if it could not be set up; nothing was sent and no event follows. */
static inline BackendCall *
backend_start (Backend *backend, const BackendRequest *request, const BackendEvents *events,
               void *data)
{
  return backend->ops->start (backend, request, events, data);
}

/** Aborts the exchange and frees the call; no event follows.
 * @return how far the exchange got. FAIL_BEFORE_CONNECT and FAIL_CONNECT prove that no byte
 * was sent. */
static inline FailurePoint
backend_cancel (BackendCall *call)
{
  return call->backend->ops->cancel (call);
}

/** Resumes delivery after the body event returned BACKEND_PAUSE. */
static inline void
backend_resume (BackendCall *call)
{
  call->backend->ops->resume (call);
}

/** @return the value of a response header, or NULL; valid until the call's last event. */
static inline const char *
backend_header (BackendCall *call, const char *name)
{
  return call->backend->ops->header (call, name);
}

/** As backend_header(), for the interim responses (1xx) received before the final one. */
static inline const char *
backend_interim_header (BackendCall *call, const char *name)
{
  return call->backend->ops->interim_header (call, name);
}

/** Calls @p fn for each response header, in order. */
static inline void
backend_each_header (BackendCall *call, BackendHeaderFn fn, void *data)
{
  call->backend->ops->each_header (call, fn, data);
}

/** @return whether no exchange was made on the call's connection before this one, so that no byte of an earlier
 * response can be on it. To be called from headers on. */
static inline bool
backend_is_first_exchange (BackendCall *call)
{
  return call->backend->ops->is_first_exchange (call);
}

/** @return whether the response has an end of its own, a length or chunks, or can have no body. Otherwise it ends with its
 * connection, also if the process of its server has ended in the middle. To be called from headers on. */
static inline bool
backend_has_framed_end (BackendCall *call)
{
  return call->backend->ops->has_framed_end (call);
}

/** @return whether the call's connection goes to the server itself, not over another host. */
static inline bool
backend_is_direct (BackendCall *call)
{
  return call->backend->ops->is_direct (call);
}

/** @file
 * One exchange with a backend server. The request state machine uses this vtable; adapters and
 * fakes implement it. Every call and event is on one worker's thread; no event comes from inside
 * backend_start(). */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/failure.h"

typedef struct Backend Backend;
typedef struct BackendCall BackendCall;

typedef struct
{
  const char *address; /* "IP:port" */
  const char *method;
  const char *target;         /* path and query, not decoded */
  const char *const *headers; /* "Name: value" */
  size_t n_headers;
  const char *body; /* copied */
  size_t body_len;
  int64_t timeout_ms;
  bool small_receive_buffer; /* a stream: keep the memory for it low */
  bool own_connection;       /* must not share one with other requests */
  int64_t max_idle_ms;       /* of a kept connection that may be used; 0: the adapter's limit */
} BackendRequest;

typedef enum
{
  BACKEND_CONTINUE,
  BACKEND_PAUSE, /* the same bytes come again after backend_resume() */
  BACKEND_ABORT  /* failed follows; backend_cancel() must not be called from inside body */
} BackendFlow;

typedef struct
{
  /** Status and headers. @return false to abort. */
  bool (*headers) (void *data, BackendCall *call, int status);
  BackendFlow (*body) (void *data, const char *bytes, size_t len);
  /** The answer is complete. The call is freed afterwards. */
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
} BackendOps;

struct Backend
{
  const BackendOps *ops;
};

struct BackendCall
{
  Backend *backend;
};

/** @return NULL if the exchange could not be set up; then nothing was sent and no event follows. */
static inline BackendCall *
backend_start (Backend *backend, const BackendRequest *request, const BackendEvents *events,
               void *data)
{
  return backend->ops->start (backend, request, events, data);
}

/** Breaks the exchange off and frees the call; no event follows.
 * @return how far it had got. FAIL_CONNECT proves that no byte has left. */
static inline FailurePoint
backend_cancel (BackendCall *call)
{
  return call->backend->ops->cancel (call);
}

static inline void
backend_resume (BackendCall *call)
{
  call->backend->ops->resume (call);
}

/** @return an answer header or NULL; valid until the call's last event. */
static inline const char *
backend_header (BackendCall *call, const char *name)
{
  return call->backend->ops->header (call, name);
}

/** As backend_header() for the interim answers (1xx) that came before. */
static inline const char *
backend_interim_header (BackendCall *call, const char *name)
{
  return call->backend->ops->interim_header (call, name);
}

/** Calls @p fn for each answer header, in order. */
static inline void
backend_each_header (BackendCall *call, BackendHeaderFn fn, void *data)
{
  call->backend->ops->each_header (call, fn, data);
}

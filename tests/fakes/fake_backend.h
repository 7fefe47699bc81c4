/** @file
 * Backend servers whose every step a test plays: each started call is kept, and the test says what comes
 * back on it. */
#pragma once

#include "backend/backend.h"

#define FAKE_BACKEND_CALLS 8

typedef struct
{
  BackendCall call;
  bool open;      /* neither ended nor cancelled */
  bool cancelled; /* by the relay */
  bool paused;    /* the last bytes were not taken */
  char *address;
  char *headers; /* lines, each ended by a newline */
  char *body;
  FailurePoint reached;              /* what cancel answers */
  const char *const *answer_headers; /* name, value, name, value, ..., NULL */
  const char *const *early_headers;  /* the same of an interim answer */
  const BackendEvents *events;
  void *data;
} FakeBackendCall;

typedef struct
{
  Backend backend;
  FakeBackendCall *calls[FAKE_BACKEND_CALLS];
  int n_calls;
} FakeBackend;

/** @return a talloc object under @p ctx. */
FakeBackend *fake_backend_new (const void *ctx);

/** The head of an answer. @p headers stays with the caller: names and values, ended by NULL. */
void fake_backend_head (FakeBackendCall *call, int status, const char *const *headers);

/** Bytes of an answer's body. */
void fake_backend_bytes (FakeBackendCall *call, const char *bytes);

/** The answer is complete. */
void fake_backend_end (FakeBackendCall *call);

/** The exchange fails. */
void fake_backend_fail (FakeBackendCall *call, FailurePoint point);

/** @file
 * What a response states about the reuse of its connection. */
#pragma once

#include "backend/backend.h"

typedef struct
{
  int64_t timeout_ms;     /* how long the server keeps an idle connection open; 0: not stated */
  bool closes_connection; /* the server closes the connection after this response */
} KeepAlive;

/** Parses the headers "Connection" and "Keep-Alive" of a response. */
KeepAlive keep_alive_read (BackendCall *call);

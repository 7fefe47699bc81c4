/** @file
 * Connection reuse as stated in a response. */
#pragma once

#include "backend/backend.h"

typedef struct
{
  int64_t timeout_ms;     /* how long the server keeps it open while idle; 0: not stated */
  bool closes_connection; /* the server closes it after this response */
} KeepAlive;

/** Parses the headers "Connection" and "Keep-Alive" of a response. */
KeepAlive keep_alive_read (BackendCall *call);

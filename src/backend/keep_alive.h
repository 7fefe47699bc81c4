/** @file
 * What an answer says of its connection. */
#pragma once

#include "backend/backend.h"

typedef struct
{
  int64_t timeout_ms; /* for how long it is kept; 0: not said */
  bool closes;        /* it ends after this answer */
} KeepAlive;

/** Reads the headers "Connection" and "Keep-Alive" of an answer. */
KeepAlive keep_alive_read (BackendCall *call);

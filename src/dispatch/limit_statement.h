/** @file
 * What a response says about the request rate that its server accepts from all hosts together. */
#pragma once

/** Higher limits are rejected as implausible. */
#define LIMIT_MAX_REQUESTS_PER_S 100000.0

typedef enum
{
  LIMIT_NOT_STATED, /* the response proves nothing, for example because its value was rejected */
  LIMIT_NONE,       /* the server has no limit */
  LIMIT_NAMED
} LimitStatementKind;

typedef struct
{
  LimitStatementKind kind;
  double requests_per_s; /* above 0 if the kind is LIMIT_NAMED */
} LimitStatement;

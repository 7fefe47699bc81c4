/** @file
 * What a response says about the request rate that its server accepts from all hosts together. */
#pragma once

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

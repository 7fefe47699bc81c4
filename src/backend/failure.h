/** @file
 * The points at which an attempt at a backend server can fail. */
#pragma once

typedef enum
{
  FAIL_BEFORE_CONNECT,      /* nothing was tried on the network */
  FAIL_CONNECT,             /* no connection; no byte was sent */
  FAIL_REJECTED,            /* the server answered that it did not run the request */
  FAIL_PARTLY_SENT,         /* some bytes may have reached the server */
  FAIL_NO_RESPONSE,         /* all sent, no answer */
  FAIL_RESPONSE_TRUNCATED,  /* the answer broke off */
  FAIL_RESPONSE_MISMATCHED, /* the answer belongs to another request */
  FAIL_POINTS
} FailurePoint;

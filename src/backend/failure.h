/** @file
 * The points at which an attempt at a backend server can fail. */
#pragma once

typedef enum
{
  FAIL_BEFORE_CONNECT,  /* nothing was tried on the network */
  FAIL_IN_CONNECT,      /* no connection; no byte was sent */
  FAIL_REFUSED,         /* the server answered that it did not run the request */
  FAIL_PARTLY_SENT,     /* some bytes may have reached the server */
  FAIL_SENT_SILENT,     /* all sent, no answer */
  FAIL_PARTLY_ANSWERED, /* the answer broke off */
  FAIL_MISMATCHED,      /* the answer belongs to another request */
  FAIL_POINTS
} FailurePoint;

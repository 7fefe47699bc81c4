/** @file
 * Submits a ticket: one transaction over the head, the number and the objects. Control loop only. */
#pragma once

#include <stdint.h>

#include "core/err.h"
#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"
#include "ticket/ticket.h"

typedef enum
{
  SUBMIT_ACCEPTED,
  SUBMIT_ALREADY,  /* was accepted before: the same number with the same content */
  SUBMIT_REJECTED, /* surely not accepted; err is ERR_TICKET_CONFLICT or ERR_BAD_TICKET */
  SUBMIT_FAILED,   /* surely not accepted: the store refused, or another ticket kept winning */
  SUBMIT_UNKNOWN   /* an answer was lost and could not be looked up; submit it again */
} SubmitStatus;

/** Valid during the callback. */
typedef struct
{
  SubmitStatus status;
  int64_t seq;        /* of the ticket, if accepted */
  const char *object; /* if lost to another ticket: the object's row, else NULL */
  int64_t winner;     /* and the number of the other ticket */
  const Err *err;     /* unless accepted */
} SubmitResult;

typedef void (*SubmitFn) (void *data, const SubmitResult *result);

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
} SubmitOptions;

/** @p ticket must live until @p done has been called. @return a talloc object under @p ctx. */
void *ticket_submit (const void *ctx, const SubmitOptions *options, const Ticket *ticket,
                     SubmitFn done, void *data);

/** @return "accepted", "already_accepted", "rejected", "failed" or "unknown". */
const char *submit_status_name (SubmitStatus status);

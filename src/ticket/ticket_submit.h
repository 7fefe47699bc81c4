/** @file
 * Submits a ticket in one store transaction that writes the changed objects, a row that records the ticket's
 * number and hash, and the head row, which every ticket rewrites (see ticket_objects.h). Control loop only. */
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
  SUBMIT_ALREADY_ACCEPTED, /* a ticket with this number and content was accepted before */
  SUBMIT_REJECTED, /* definitely not accepted; err is ERR_TICKET_CONFLICT or ERR_BAD_TICKET */
  SUBMIT_FAILED, /* definitely not accepted: store errors, or other tickets came first each time */
  SUBMIT_UNKNOWN /* a response was lost and the outcome could not be read; submit it again */
} SubmitStatus;

/** Valid during the callback only. */
typedef struct
{
  SubmitStatus status;
  /** Sequence number of the ticket, if accepted; of the one accepted last if an earlier release has accepted this one. */
  int64_t seq;
  const char *object;   /* row name of the object in conflict with another ticket, else NULL */
  int64_t other_ticket; /* number of the ticket that wrote that object */
  const Err *err;       /* NULL if accepted */
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

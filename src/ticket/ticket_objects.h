/** @file
 * The current objects (accounts, budgets, pools, planned stops), as set by all tickets accepted so far and
 * read from the rows of the ticket table, and the configuration that they define. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "catalog/catalog.h"
#include "dispatch/server_record.h"

#define TICKET_TABLE         "tickets"
#define TICKET_HEAD_ROW      "head"
#define TICKET_OBJECT_PREFIX "object/"
#define TICKET_NUMBER_PREFIX "number/" /* "number/N" holds the hash of ticket N */

/** Contents of the head row, which every accepted ticket rewrites. */
typedef struct
{
  int64_t seq;    /* number of tickets accepted so far */
  int64_t ticket; /* number of the ticket accepted last */
} TicketHead;

/** @return false, with @p head unchanged, if the row is not valid. */
bool ticket_head_parse (const char *text, size_t len, TicketHead *head);

/** Objects by row name. Each row is {"ticket": N, "value": {...}}, without "value" if ticket N has removed
 * the object. */
typedef struct TicketObjects TicketObjects;

/** @return a talloc object under @p ctx. */
TicketObjects *ticket_objects_new (const void *ctx);

/** Stores the object row named @p row, replacing an earlier one of the same name. @return false if it cannot
 * be parsed; the earlier row is then kept. */
bool ticket_objects_set (TicketObjects *objects, const char *row, const char *text, size_t len);

/** Builds a catalog of version @p seq. @return the catalog with one reference. */
const Catalog *ticket_objects_build_catalog (const TicketObjects *objects, int64_t seq);

/** Calls @p fn for each server of each pool. A server is draining if its pool marks it as
 * leaving, or if at @p wall_ms a planned stop of it is in progress or starts within 60 s. */
void ticket_objects_each_server (const TicketObjects *objects, int64_t wall_ms,
                                 void (*fn) (void *data, const ServerRecord *record), void *data);

/** @return the number of the ticket that wrote the object last; 0 if no ticket has written it. */
int64_t ticket_objects_last_ticket (const TicketObjects *objects, const char *row);

/** @return the object's value, or NULL if it was never set or has been removed. */
const json_t *ticket_objects_value (const TicketObjects *objects, const char *type,
                                    const char *name);

/** @return the name of one of the account's budgets other than the budget @p except, or NULL. */
const char *ticket_objects_other_budget (const TicketObjects *objects, const char *account,
                                         const char *except);

/** @file
 * The objects of all tickets so far, as rows of the store, and the configuration that they make. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "catalog/catalog.h"
#include "dispatch/server_record.h"

#define TICKET_TABLE         "tickets"
#define TICKET_HEAD_ROW      "head"
#define TICKET_OBJECT_PREFIX "object/"
#define TICKET_NUMBER_PREFIX "number/"

/** The row of the last ticket. */
typedef struct
{
  int64_t seq; /* counts tickets */
  int64_t ticket;
} TicketHead;

bool ticket_head_read (const char *text, size_t len, TicketHead *head);

/** Objects by row name; each value is the object's JSON, {"ticket": N, "value": {...}}. */
typedef struct TicketObjects TicketObjects;

/** @return a talloc object under @p ctx. */
TicketObjects *ticket_objects_new (const void *ctx);

/** Takes over a row. @return false if it cannot be read; then the old state stays. */
bool ticket_objects_set (TicketObjects *objects, const char *row, const char *text, size_t len);

/** @return the catalog with one reference. */
const Catalog *ticket_objects_catalog (const TicketObjects *objects, int64_t seq);

/** Reports all servers of all pools. A server is leaving if its ticket says so, or if a planned stop is
 * near or under way at @p wall_ms. */
void ticket_objects_servers (const TicketObjects *objects, int64_t wall_ms,
                             void (*fn) (void *data, const ServerRecord *record), void *data);

/** @return the number of the ticket that wrote the object; 0 if there is none. */
int64_t ticket_objects_ticket (const TicketObjects *objects, const char *row);

/** @return the object's value, or NULL if it does not exist or was removed. */
const json_t *ticket_objects_value (const TicketObjects *objects, const char *type,
                                    const char *name);

/** @return the name of a budget of the account other than @p except, or NULL. */
const char *ticket_objects_budget (const TicketObjects *objects, const char *account,
                                   const char *except);

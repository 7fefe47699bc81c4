/** @file
 * The keys of a ticket file. */
#pragma once

#include "settings/schema.h"

/** A ticket is one transaction of the store, which holds at most 100 entries; split larger changes into
 * several tickets. */
#define TICKET_MAX_OBJECTS 90
#define TICKET_MAX_BYTES   (256 << 10)

typedef struct
{
  const char
      *type; /* key of the array of tables, and part of the table key "object/<type>/<name>" */
  const Schema *schema;
} TicketType;

/** All object types. */
extern const TicketType TICKET_TYPES[];
extern const size_t TICKET_N_TYPES;

/** The whole file. */
extern const Schema TICKET_SCHEMA;

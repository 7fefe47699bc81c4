/** @file
 * Schema of a ticket file. */
#pragma once

#include "settings/schema.h"

/** A ticket is written in one transaction of the store, which holds at most 100 entries. Larger changes
 * must be split into several tickets. */
#define TICKET_MAX_OBJECTS 90
#define TICKET_MAX_BYTES   (256 << 10) /* row names and JSON values of the objects together */

typedef struct
{
  const char *type; /* key of the array of tables, and <type> in row names "object/<type>/<name>" */
  const Schema *schema;
} TicketObjectType;

/** All object types. */
extern const TicketObjectType TICKET_OBJECT_TYPES[];
extern const size_t TICKET_N_OBJECT_TYPES;

/** Schema of the root table. */
extern const Schema TICKET_SCHEMA;

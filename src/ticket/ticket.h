/** @file
 * A change ticket parsed from a file: its number, the objects that it removes and the complete new state of
 * those that it sets. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "settings/problems.h"
#include "settings/toml_reader.h"

typedef struct
{
  const char *type; /* "account", "budget", ... */
  const char *name;
  const char *key;   /* row name in the store, "object/<type>/<name>" */
  const char *value; /* canonical JSON; NULL if the ticket removes the object */
  int line;
} TicketObject;

#define TICKET_HASH_BYTES 33

typedef struct
{
  uint64_t number;
  TicketObject *objects; /* sorted by key */
  size_t n_objects;
  char hash[TICKET_HASH_BYTES]; /* hex; of the objects, not of the number or the file's layout */
} Ticket;

/** Validates a parsed document and builds the ticket. @return a talloc object under @p ctx, or NULL
 * after adding at least one error to @p problems. */
Ticket *ticket_from_toml (const void *ctx, const TomlNode *root, Problems *problems);

/** Like ticket_from_toml(), but parses TOML text. */
Ticket *ticket_parse (const void *ctx, const char *text, size_t len, Problems *problems);

/** Like ticket_parse(), but reads a file; "-" is standard input. */
Ticket *ticket_load (const void *ctx, const char *path, Problems *problems);

/** @return the object with this key, or NULL. */
const TicketObject *ticket_find_object (const Ticket *ticket, const char *key);

/** @file
 * Subcommands of `sapphirepond ticket`. */
#pragma once

#include "ticket/ticket.h"
#include "ticket/ticket_submit.h"

int cli_ticket_apply (int argc, char **argv);
int cli_ticket_show (int argc, char **argv);
int cli_ticket_status (int argc, char **argv);

/** Reads a ticket file and prints its errors. @return a talloc object under @p ctx, or NULL. */
Ticket *cli_ticket_load (const void *ctx, const char *path);

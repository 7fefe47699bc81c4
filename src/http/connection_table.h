/** @file
 * The sockets of one HTTP client's open connections, by their addresses. libcurl does not tell which socket it is about
 * to reuse, only the addresses. One loop's thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct ConnectionTable ConnectionTable;

/** The ends of a connection. */
typedef struct
{
  const char *remote_ip;
  int remote_port;
  int local_port;
} ConnectionEnds;

/** @return a talloc object under @p ctx. */
ConnectionTable *connection_table_new (const void *ctx);

/** Adds a connection that has been established. */
void connection_table_add (ConnectionTable *table, const ConnectionEnds *ends, int fd);

/** Removes the connection of a socket that is about to be closed; one that is not in the table is ignored. */
void connection_table_remove (ConnectionTable *table, int fd);

/** Until it is removed, or another user is set, the connection serves @p user; NULL: none. */
void connection_table_set_user (ConnectionTable *table, int fd, void *user);

/** @return the user of the connection, or NULL. */
void *connection_table_user (const ConnectionTable *table, int fd);

/** From now on the connections that are in the table are in doubt. @return how many of them were not before. */
size_t connection_table_doubt_all (ConnectionTable *table);

/** Ends the doubt about a connection; a socket that is not in the table is ignored. */
void connection_table_trust (ConnectionTable *table, int fd);

bool connection_table_is_doubted (const ConnectionTable *table, int fd);

/** The end of this connection, which is a tunnel, is that of the server's. */
void connection_table_set_end_proved (ConnectionTable *table, int fd);

bool connection_table_is_end_proved (const ConnectionTable *table, int fd);

/** @return the socket, or -1 if it is unknown. */
int connection_table_find (const ConnectionTable *table, const ConnectionEnds *ends);

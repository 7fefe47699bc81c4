/** @file
 * This host's part of the connections that a server accepts from all hosts together. No state. */
#pragma once

/** @param limit of the server's connections; 0 or less: none.
 * @param hosts known hosts, at least 1.
 * @return the connections that each host may have to the server; 0 if there are too few for all hosts. */
int connection_share_of_each (int limit, int hosts);

/** @param rank of this host in the server's order of hosts (host_list.h); -1: unknown.
 * @return the connections that this host may have to a server that has too few for all; 0 if this host
 * is not among the first. */
int connection_share_of_few (int limit, int rank);

/** @file
 * The name of the software version of a server, from its record. Two servers are of one version if their whole names
 * are equal; a missing name is the empty one, which is a version like any other. Stateless; any thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/** Size of a stored name, including the terminating NUL. */
#define SERVER_VERSION_BYTES 72

/** The versions of a service that may be used. */
#define SERVER_VERSIONS_MAX 16

typedef struct
{
  char names[SERVER_VERSIONS_MAX][SERVER_VERSION_BYTES];
  size_t n;
} ServerVersions;

bool server_versions_contain (const ServerVersions *versions, const char *name);

/** Stores @p name, which may be NULL. A name that is too long to be stored is replaced by its SHA-256 sum, in a form that
 * no shorter name has, so that equal texts are stored for equal names only. */
void server_version_set (char out[SERVER_VERSION_BYTES], const char *name);

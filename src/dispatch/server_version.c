#include "dispatch/server_version.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

/* The stored form of a longer name is longer than this, so that it can't be the name of another version. */
#define MAX_NAME_BYTES 64

void
server_version_set (char out[SERVER_VERSION_BYTES], const char *name)
{
  size_t len = name ? strlen (name) : 0;
  char *sum;

  if (len <= MAX_NAME_BYTES)
    {
      snprintf (out, SERVER_VERSION_BYTES, "%s", name ? name : "");
      return;
    }
  sum = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)name, len);
  snprintf (out, SERVER_VERSION_BYTES, "sha256:%s", sum);
  g_free (sum);
}

bool
server_versions_contain (const ServerVersions *versions, const char *name)
{
  for (size_t i = 0; i < versions->n; i++)
    if (!strcmp (versions->names[i], name))
      return true;
  return false;
}

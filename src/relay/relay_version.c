#include "relay/relay_impl.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "core/invariant.h"

void
relay_require_version (Relay *r, const char *version)
{
  r->binding = BINDING_VERSION;
  snprintf (r->bound_version, sizeof r->bound_version, "%s", version);
}

const char *
relay_required_version (const Relay *r)
{
  return r->binding == BINDING_VERSION ? r->bound_version : NULL;
}

bool
relay_bind_version (Relay *r, const Attempt *a)
{
  AssignmentServer server = assignment_server_state (a->assignment);

  if (r->binding != BINDING_NONE && server.version_doubtful)
    return false;
  if (server.version_doubtful)
    {
      relay_doubt_version (r);
      return true;
    }
  if (r->binding == BINDING_NONE)
    relay_require_version (r, server.version);
  INVARIANT ("stream_of_one_version", !strcmp (r->bound_version, server.version), "request %s",
             r->request->id);
  return true;
}

void
relay_note_source (Relay *r, const Attempt *a)
{
  AssignmentServer server;

  if (!a->first_event_ms)
    return;
  server = assignment_server_state (a->assignment);
  if (server.version_doubtful || r->n_sources == DISPATCH_MAX_TRIED)
    relay_doubt_version (r);
  else
    r->sources[r->n_sources++] = talloc_strdup (r, server.instance.id);
}

/* A server that starts again after its attempt is no reason for doubt, as most broken attempts end with their server; one
 * that is then of another version may have been so before. */
static bool
source_is_doubtful (const Relay *r)
{
  for (size_t i = 0; i < r->n_sources; i++)
    if (dispatch_names_other_version (r->deps->dispatch, r->sources[i], r->bound_version))
      return true;
  return false;
}

bool
relay_check_version (Relay *r, Err *err)
{
  if (r->binding == BINDING_VERSION && source_is_doubtful (r))
    relay_doubt_version (r);
  return r->binding != BINDING_UNKNOWN
         || err_set (err, ERR_VERSION_UNKNOWN,
                     "the record of a server changed to another start or version under the stream");
}

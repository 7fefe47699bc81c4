#include "relay/relay_impl.h"

#include <stdio.h>
#include <string.h>

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

void
relay_bind_version (Relay *r, const Attempt *a)
{
  AssignmentServer server = assignment_server_state (a->assignment);

  if (r->binding == BINDING_NONE)
    relay_require_version (r, server.version);
  INVARIANT ("stream_of_one_version", !strcmp (r->bound_version, server.version), "request %s",
             r->request->id);
}

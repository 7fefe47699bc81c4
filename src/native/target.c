#include "native/target.h"

#include <string.h>

#include <glib.h>

static const char POOLS[] = "/v1/pools/";

/* A path that a server may resolve to another one could be matched by the wrong call rule, and a
 * booking sent twice under the rule of a look-up. */
static bool
is_plain (const char *path)
{
  size_t len = strcspn (path, "?#");
  char *decoded = g_uri_unescape_segment (path, path + len, NULL);
  bool plain = decoded && !strchr (decoded, '\\') && !strstr (decoded, "//")
               && !strstr (decoded, "/./") && !strstr (decoded, "/../")
               && !g_str_has_suffix (decoded, "/.") && !g_str_has_suffix (decoded, "/..")
               && path[len] != '#';

  g_free (decoded);
  return plain;
}

static bool
parse_service (const char *rest, Target *target, Err *err)
{
  size_t len = strcspn (rest, "/?#");

  target->kind = TARGET_SERVICE;
  if (len == 0 || len >= sizeof target->pool)
    return err_set (err, ERR_UNKNOWN_POOL, "the path names no pool");
  memcpy (target->pool, rest, len);
  target->pool[len] = '\0';
  target->path = rest + len;
  if (target->path[0] != '/')
    return err_set (err, ERR_UNKNOWN_PATH, "the path has nothing after the pool's name");
  if (!is_plain (target->path))
    return err_set (err, ERR_BAD_REQUEST, "the path must not have empty, '.' or '..' segments");
  return true;
}

bool
target_parse (const char *method, const char *text, Target *target, Err *err)
{
  bool post = !strcmp (method, "POST");

  memset (target, 0, sizeof *target);
  if (!strncmp (text, POOLS, sizeof POOLS - 1))
    return parse_service (text + sizeof POOLS - 1, target, err);
  if (post && !strcmp (text, "/v1/chat/completions"))
    target->kind = TARGET_MODEL;
  else
    return err_set (err, ERR_UNKNOWN_PATH, "there is no such method and path");
  return true;
}

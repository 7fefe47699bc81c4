#include "native/request_target.h"

#include <string.h>

#include <glib.h>

static const char POOLS_PREFIX[] = "/v1/pools/";

/* @return false if a server may resolve the path to a different one. A request that must run only once could
 * then match the route of an idempotent one and be retried. */
static bool
is_unambiguous (const char *path)
{
  size_t len = strcspn (path, "?#");
  char *decoded = g_uri_unescape_segment (path, path + len, NULL);
  bool unambiguous = decoded && !strchr (decoded, '\\') && !strstr (decoded, "//")
                     && !strstr (decoded, "/./") && !strstr (decoded, "/../")
                     && !g_str_has_suffix (decoded, "/.") && !g_str_has_suffix (decoded, "/..")
                     && path[len] != '#';

  g_free (decoded);
  return unambiguous;
}

static bool
parse_service_target (const char *after_prefix, RequestTarget *target, Err *err)
{
  size_t len = strcspn (after_prefix, "/?#");

  target->kind = TARGET_SERVICE;
  if (len == 0 || len >= sizeof target->pool)
    return err_set (err, ERR_UNKNOWN_POOL, "the path names no pool");
  memcpy (target->pool, after_prefix, len);
  target->pool[len] = '\0';
  target->path = after_prefix + len;
  if (target->path[0] != '/')
    return err_set (err, ERR_UNKNOWN_PATH, "the path has nothing after the pool's name");
  if (!is_unambiguous (target->path))
    return err_set (err, ERR_BAD_REQUEST, "the path must not have empty, '.' or '..' segments");
  return true;
}

bool
request_target_parse (const char *method, const char *text, RequestTarget *target, Err *err)
{
  bool post = !strcmp (method, "POST");

  memset (target, 0, sizeof *target);
  if (!strncmp (text, POOLS_PREFIX, sizeof POOLS_PREFIX - 1))
    return parse_service_target (text + sizeof POOLS_PREFIX - 1, target, err);
  if (post && !strcmp (text, "/v1/chat/completions"))
    target->kind = TARGET_MODEL;
  else
    return err_set (err, ERR_UNKNOWN_PATH, "there is no such method and path");
  return true;
}

#include "settings/settings.h"

#include <string.h>

#include <talloc.h>

#include "settings/toml_file.h"
#include "settings/schema.h"

#define FIELDS(array) .fields = (array), .n_fields = sizeof (array) / sizeof (array)[0]

#define MAX_DEADLINE_MS (24 * 3600 * 1000)

static const char *const LOG_LEVELS[]
    = { "crit", "err", "warning", "notice", "info", "debug", NULL };

/* Of the smallest hosts. */
#define DEFAULT_MEMORY_MB 160

static const Field HOST_FIELDS[] = {
  { .key = "name", .kind = FIELD_NAME, .required = true },
  { .key = "data_centre", .kind = FIELD_NAME, .required = true },
  { .key = "region", .kind = FIELD_NAME, .required = true },
};
static const Schema HOST = { FIELDS (HOST_FIELDS) };

static const Field LISTEN_FIELDS[] = {
  { .key = "callers", .kind = FIELD_ADDRESS, .required = true },
  { .key = "peers", .kind = FIELD_ADDRESS },
  { .key = "tunnels", .kind = FIELD_ADDRESS },
  { .key = "readiness", .kind = FIELD_ADDRESS },
  { .key = "operators", .kind = FIELD_ADDRESS, .required = true },
};

static void
check_listen (const TomlNode *t, Problems *p)
{
  for (size_t i = 0; i < t->n_children; i++)
    for (size_t j = 0; j < i; j++)
      if (!strcmp (t->children[i].string, t->children[j].string))
        problems_add (p, t->children[i].line, t->children[i].key, "each address once",
                      "same address as %s", t->children[j].key);
}
static const Schema LISTEN = { FIELDS (LISTEN_FIELDS), .check = check_listen };

static const Field PLATFORM_FIELDS[] = {
  { .key = "address", .kind = FIELD_ADDRESS, .required = true },
  { .key = "silence_ms", .kind = FIELD_INTEGER, .min = 1000, .max = 600 * 1000 },
};
static const Schema PLATFORM = { FIELDS (PLATFORM_FIELDS) };

static const char *const INTERFACES[] = { "native", "platform", NULL };

static const char *const BALANCING_POLICIES[] = { "cost", "least", "two_choices", "random", NULL };

static const Field BALANCING_FIELDS[] = {
  { .key = "policy", .kind = FIELD_CHOICE, .choices = BALANCING_POLICIES },
  { .key = "shared_picture", .kind = FIELD_BOOLEAN },
  { .key = "pauses", .kind = FIELD_BOOLEAN },
  { .key = "queues", .kind = FIELD_BOOLEAN },
  { .key = "spread", .kind = FIELD_BOOLEAN },
};
static const Schema BALANCING = { FIELDS (BALANCING_FIELDS) };

static const Field CLIENTS_FIELDS[] = {
  { .key = "interface", .kind = FIELD_CHOICE, .choices = INTERFACES },
};
static const Schema CLIENTS = { FIELDS (CLIENTS_FIELDS) };

static const Field RETRIES_FIELDS[] = {
  { .key = "share", .kind = FIELD_NUMBER, .min = 0, .max = 10 },
  { .key = "window_s", .kind = FIELD_NUMBER, .min = 1, .max = 3600 },
  { .key = "allowance", .kind = FIELD_NUMBER, .min = 0, .max = 1000 * 1000 },
};
static const Schema RETRIES = { FIELDS (RETRIES_FIELDS) };

static const Field COLD_SERVERS_FIELDS[] = {
  { .key = "overshoot", .kind = FIELD_NUMBER, .required = true, .min = 0, .max = 1000 },
  { .key = "slack", .kind = FIELD_NUMBER, .min = 0, .max = 1000 * 1000 },
};
static const Schema COLD_SERVERS = { FIELDS (COLD_SERVERS_FIELDS) };

static const Field BUDGET_FIELDS[] = {
  { .key = "charge_failed", .kind = FIELD_BOOLEAN },
};
static const Schema BUDGET = { FIELDS (BUDGET_FIELDS) };

static const Field DATA_CENTRE_FIELDS[] = {
  { .key = "name", .kind = FIELD_NAME, .required = true },
  { .key = "region", .kind = FIELD_NAME, .required = true },
};
static const Schema DATA_CENTRE = { FIELDS (DATA_CENTRE_FIELDS) };

static const Field WORKERS_FIELDS[] = {
  { .key = "threads", .kind = FIELD_INTEGER, .min = 1, .max = 64 },
};
static const Schema WORKERS = { FIELDS (WORKERS_FIELDS) };

static const Field LIMITS_FIELDS[] = {
  { .key = "max_body_bytes", .kind = FIELD_INTEGER, .min = 1024, .max = 1 << 30 },
  { .key = "memory_mb", .kind = FIELD_INTEGER, .min = 64, .max = 1 << 20 },
  { .key = "max_header_bytes", .kind = FIELD_INTEGER, .min = 1024, .max = 1 << 20 },
  { .key = "request_read_timeout_ms", .kind = FIELD_INTEGER, .min = 100, .max = 600 * 1000 },
  { .key = "max_streams", .kind = FIELD_INTEGER, .min = 1, .max = 100 * 1000 },
  { .key = "link_mbit_s", .kind = FIELD_NUMBER, .min = 0, .max = 1000 * 1000 },
};

static const Schema LIMITS = { FIELDS (LIMITS_FIELDS) };

static const Field DRAIN_FIELDS[] = {
  { .key = "grace_ms", .kind = FIELD_INTEGER, .min = 0, .max = 600 * 1000 },
  { .key = "deadline_ms", .kind = FIELD_INTEGER, .min = 1000, .max = MAX_DEADLINE_MS },
  { .key = "deadline_s", .kind = FIELD_NUMBER, .min = 1, .max = MAX_DEADLINE_MS / 1000 },
};
static const Schema DRAIN = { FIELDS (DRAIN_FIELDS) };

static const Field LOG_FIELDS[] = {
  { .key = "level", .kind = FIELD_CHOICE, .choices = LOG_LEVELS },
};
static const Schema LOG = { FIELDS (LOG_FIELDS) };

static const Field ROOT_FIELDS[] = {
  { .key = "host", .kind = FIELD_TABLE, .required = true, .schema = &HOST },
  { .key = "listen", .kind = FIELD_TABLE, .required = true, .schema = &LISTEN },
  { .key = "platform", .kind = FIELD_TABLE, .required = true, .schema = &PLATFORM },
  { .key = "data_centre", .kind = FIELD_TABLES, .schema = &DATA_CENTRE, .max = 1000 },
  { .key = "callers", .kind = FIELD_TABLE, .schema = &CLIENTS },
  { .key = "placing", .kind = FIELD_TABLE, .schema = &BALANCING },
  { .key = "retries", .kind = FIELD_TABLE, .schema = &RETRIES },
  { .key = "budget", .kind = FIELD_TABLE, .schema = &BUDGET },
  { .key = "workers", .kind = FIELD_TABLE, .schema = &WORKERS },
  { .key = "limits", .kind = FIELD_TABLE, .schema = &LIMITS },
  { .key = "cold_servers", .kind = FIELD_TABLE, .schema = &COLD_SERVERS },
  { .key = "drain", .kind = FIELD_TABLE, .schema = &DRAIN },
  { .key = "log", .kind = FIELD_TABLE, .schema = &LOG },
};
static const Schema ROOT = { FIELDS (ROOT_FIELDS) };

static LogLevel
log_level_from_name (const char *name)
{
  for (int i = 0; LOG_LEVELS[i]; i++)
    if (!strcmp (LOG_LEVELS[i], name))
      return (LogLevel)(LOG_LEVEL_CRIT + i);
  return LOG_LEVEL_INFO;
}

static void
read_data_centres (Settings *s, const TomlNode *array)
{
  size_t n = array ? array->n_children : 0;
  SettingsDataCentre *list = talloc_zero_array (s, SettingsDataCentre, n + 1);

  s->data_centres = list;
  s->n_data_centres = n;
  for (size_t i = 0; i < n; i++)
    {
      list[i].name = talloc_strdup (list, toml_string (&array->children[i], "name", ""));
      list[i].region = talloc_strdup (list, toml_string (&array->children[i], "region", ""));
    }
}

static void
read_placing (Settings *s, const TomlNode *t)
{
  s->balancing_policy = talloc_strdup (s, toml_string (t, "policy", "cost"));
  s->placing = (PlacingParts){ .shared_picture = toml_boolean (t, "shared_picture", true),
                               .pauses = toml_boolean (t, "pauses", false),
                               .queues = toml_boolean (t, "queues", false),
                               .spread = toml_boolean (t, "spread", false) };
}

static void
read_retries (Settings *s, const TomlNode *t)
{
  s->retry_share = toml_number (t, "share", 0.2);
  s->retry_window_ms = (int64_t)(1000 * toml_number (t, "window_s", 10));
  s->retry_allowance = toml_number (t, "allowance", 50);
}

static void
read_limits (Settings *s, const TomlNode *t)
{
  s->max_body_bytes = toml_integer (t, "max_body_bytes", 4 << 20);
  s->max_header_bytes = toml_integer (t, "max_header_bytes", 32 << 10);
  s->memory_bytes = toml_integer (t, "memory_mb", DEFAULT_MEMORY_MB) << 20;
  s->request_read_timeout_ms = toml_integer (t, "request_read_timeout_ms", 30 * 1000);
  s->max_streams = toml_integer (t, "max_streams", 4096);
  s->link_bytes_s = (int64_t)(toml_number (t, "link_mbit_s", 0) * 1e6 / 8);
}

static void
read_host_and_listen (Settings *s, const TomlNode *host, const TomlNode *listen)
{
  s->host_name = talloc_strdup (s, toml_string (host, "name", ""));
  s->data_centre = talloc_strdup (s, toml_string (host, "data_centre", ""));
  s->region = talloc_strdup (s, toml_string (host, "region", ""));
  s->listen_clients = talloc_strdup (s, toml_string (listen, "callers", ""));
  s->listen_peers = talloc_strdup (s, toml_string (listen, "peers", ""));
  s->listen_tunnels = talloc_strdup (s, toml_string (listen, "tunnels", ""));
  s->listen_readiness = talloc_strdup (s, toml_string (listen, "readiness", ""));
  s->listen_operators = talloc_strdup (s, toml_string (listen, "operators", ""));
}

Settings *
settings_from_toml (const void *ctx, const TomlNode *root, Problems *problems)
{
  size_t before = problems->n;
  const TomlNode *drain = toml_get (root, "drain");
  Settings *s;

  schema_check (&ROOT, root, "", problems);
  if (problems->n > before)
    return NULL;
  s = talloc_zero (ctx, Settings);
  read_host_and_listen (s, toml_get (root, "host"), toml_get (root, "listen"));
  s->platform_address = talloc_strdup (s, toml_string (toml_get (root, "platform"), "address", ""));
  s->platform_unresponsive_ms = toml_integer (toml_get (root, "platform"), "silence_ms", 3000);
  s->threads = (int)toml_integer (toml_get (root, "workers"), "threads", 2);
  read_limits (s, toml_get (root, "limits"));
  s->drain_grace_ms = toml_integer (drain, "grace_ms", 3000);
  s->drain_deadline_ms = toml_integer (drain, "deadline_ms", 300 * 1000);
  if (toml_get (drain, "deadline_s"))
    s->drain_deadline_ms = (int64_t)(1000 * toml_number (drain, "deadline_s", 0));
  s->platform_interface
      = !strcmp (toml_string (toml_get (root, "callers"), "interface", "native"), "platform");
  read_placing (s, toml_get (root, "placing"));
  read_retries (s, toml_get (root, "retries"));
  s->cold_overshoot = toml_number (toml_get (root, "cold_servers"), "overshoot", 0);
  s->cold_slack = toml_number (toml_get (root, "cold_servers"), "slack", 0);
  s->charge_failed = toml_boolean (toml_get (root, "budget"), "charge_failed", false);
  read_data_centres (s, toml_get (root, "data_centre"));
  s->log_level = log_level_from_name (toml_string (toml_get (root, "log"), "level", "info"));
  return s;
}

Settings *
settings_parse (const void *ctx, const char *text, size_t len, Problems *problems)
{
  TomlNode *root = toml_file_parse (NULL, text, len, problems);
  Settings *s = root ? settings_from_toml (ctx, root, problems) : NULL;

  talloc_free (root);
  return s;
}

Settings *
settings_load (const void *ctx, const char *path, Problems *problems)
{
  size_t len;
  char *text = toml_file_read (NULL, path, &len, problems);
  Settings *s = text ? settings_parse (ctx, text, len, problems) : NULL;

  talloc_free (text);
  return s;
}

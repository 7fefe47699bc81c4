#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>

#include <talloc.h>

#include "settings/toml_reader.h"

namespace
{

char *
copy (const void *ctx, std::string_view s)
{
  return talloc_strndup (ctx, s.data (), s.size ());
}

/* Days since 1970-01-01 of a date in the Gregorian calendar. */
int64_t
days_from_civil (int64_t y, int64_t m, int64_t d)
{
  y -= m <= 2;
  const int64_t era = (y >= 0 ? y : y - 399) / 400;
  const int64_t yoe = y - era * 400;
  const int64_t doy = (153 * (m + (m > 2 ? -3 : 9)) + 2) / 5 + d - 1;
  const int64_t doe = yoe * 365 + yoe / 4 - yoe / 100 + doy;
  return era * 146097 + doe - 719468;
}

void
fill_time (TomlNode *out, const toml::date_time &t)
{
  if (!t.offset)
    {
      out->kind = TOML_OTHER;
      return;
    }
  const int64_t s = days_from_civil (t.date.year, t.date.month, t.date.day) * 86400
                    + t.time.hour * 3600 + t.time.minute * 60 + t.time.second
                    - t.offset->minutes * 60;
  out->kind = TOML_TIME;
  out->integer = s * 1000 + t.time.nanosecond / 1000000;
}

void fill (const void *ctx, TomlNode *out, const toml::node &node);

/* A string with a zero byte would be cut there, so it counts as no string at all. */
void
fill_string (const void *ctx, TomlNode *out, const std::string &s)
{
  out->kind = s.find ('\0') == std::string::npos ? TOML_STRING : TOML_OTHER;
  out->string = copy (ctx, s);
}

void
place (TomlNode *out, const toml::source_region &source)
{
  out->line = static_cast<int> (source.begin.line);
  out->column = static_cast<int> (source.begin.column);
}

void
fill_array (const void *ctx, TomlNode *out, const toml::array &array)
{
  out->kind = TOML_ARRAY;
  out->n_children = array.size ();
  out->children = talloc_zero_array (ctx, TomlNode, array.size () + 1);
  size_t i = 0;
  for (const toml::node &node : array)
    {
      place (&out->children[i], node.source ());
      fill (out->children, &out->children[i++], node);
    }
}

void
fill_table (const void *ctx, TomlNode *out, const toml::table &table)
{
  out->kind = TOML_TABLE;
  out->n_children = table.size ();
  out->children = talloc_zero_array (ctx, TomlNode, table.size () + 1);
  size_t i = 0;
  for (auto &&[key, node] : table)
    {
      TomlNode *child = &out->children[i++];
      child->key = copy (out->children, key.str ());
      place (child, key.source ());
      fill (out->children, child, node);
    }
  /* toml++ sorts by key; messages and the order of calls need the order of the file. */
  std::sort (out->children, out->children + i, [] (const TomlNode &a, const TomlNode &b) {
    return a.line != b.line ? a.line < b.line : a.column < b.column;
  });
}

void
fill (const void *ctx, TomlNode *out, const toml::node &node)
{
  switch (node.type ())
    {
    case toml::node_type::table:
      fill_table (ctx, out, *node.as_table ());
      return;
    case toml::node_type::array:
      fill_array (ctx, out, *node.as_array ());
      return;
    case toml::node_type::string:
      fill_string (ctx, out, node.as_string ()->get ());
      return;
    case toml::node_type::integer:
      out->kind = TOML_INTEGER;
      out->integer = node.as_integer ()->get ();
      out->number = static_cast<double> (out->integer);
      return;
    case toml::node_type::boolean:
      out->kind = TOML_BOOLEAN;
      out->boolean = node.as_boolean ()->get ();
      return;
    case toml::node_type::floating_point:
      out->kind = TOML_FLOAT;
      out->number = node.as_floating_point ()->get ();
      return;
    case toml::node_type::date_time:
      fill_time (out, node.as_date_time ()->get ());
      return;
    default:
      out->kind = TOML_OTHER;
      return;
    }
}

} // namespace

extern "C" TomlNode *
toml_read (const void *ctx, const char *text, size_t len, TomlError *error)
{
  toml::parse_result result = toml::parse (std::string_view (text, len));

  if (!result)
    {
      const toml::parse_error &e = result.error ();
      const std::string_view what = e.description ();

      error->line = static_cast<int> (e.source ().begin.line);
      error->column = static_cast<int> (e.source ().begin.column);
      snprintf (error->message, sizeof error->message, "%.*s", static_cast<int> (what.size ()),
                what.data ());
      return nullptr;
    }
  TomlNode *root = talloc_zero (ctx, TomlNode);
  root->line = 1;
  root->column = 1;
  fill_table (root, root, result.table ());
  return root;
}

extern "C" const TomlNode *
toml_get (const TomlNode *table, const char *key)
{
  for (size_t i = 0; table && i < table->n_children; i++)
    if (table->children[i].key && !strcmp (table->children[i].key, key))
      return &table->children[i];
  return nullptr;
}

extern "C" const char *
toml_string (const TomlNode *table, const char *key, const char *fallback)
{
  const TomlNode *n = toml_get (table, key);

  return n && n->kind == TOML_STRING ? n->string : fallback;
}

extern "C" int64_t
toml_integer (const TomlNode *table, const char *key, int64_t fallback)
{
  const TomlNode *n = toml_get (table, key);

  return n && (n->kind == TOML_INTEGER || n->kind == TOML_TIME) ? n->integer : fallback;
}

extern "C" double
toml_number (const TomlNode *table, const char *key, double fallback)
{
  const TomlNode *n = toml_get (table, key);

  return n && (n->kind == TOML_FLOAT || n->kind == TOML_INTEGER) ? n->number : fallback;
}

bool
toml_boolean (const TomlNode *table, const char *key, bool fallback)
{
  const TomlNode *n = toml_get (table, key);

  return n && n->kind == TOML_BOOLEAN ? n->boolean : fallback;
}

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
copy_string (const void *ctx, std::string_view s)
{
  return talloc_strndup (ctx, s.data (), s.size ());
}

/* @return the number of days from 1970-01-01 to a date of the Gregorian calendar. */
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
convert_time (TomlNode *out, const toml::date_time &t)
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

void convert_node (const void *ctx, TomlNode *out, const toml::node &node);

/* A C string would be truncated at an embedded zero byte, so such a string gets an unsupported kind. */
void
convert_string (const void *ctx, TomlNode *out, const std::string &s)
{
  out->kind = s.find ('\0') == std::string::npos ? TOML_STRING : TOML_OTHER;
  out->string = copy_string (ctx, s);
}

void
set_location (TomlNode *out, const toml::source_region &source)
{
  out->line = static_cast<int> (source.begin.line);
  out->column = static_cast<int> (source.begin.column);
}

void
convert_array (const void *ctx, TomlNode *out, const toml::array &array)
{
  out->kind = TOML_ARRAY;
  out->n_children = array.size ();
  out->children = talloc_zero_array (ctx, TomlNode, array.size () + 1);
  size_t i = 0;
  for (const toml::node &node : array)
    {
      set_location (&out->children[i], node.source ());
      convert_node (out->children, &out->children[i++], node);
    }
}

void
convert_table (const void *ctx, TomlNode *out, const toml::table &table)
{
  out->kind = TOML_TABLE;
  out->n_children = table.size ();
  out->children = talloc_zero_array (ctx, TomlNode, table.size () + 1);
  size_t i = 0;
  for (auto &&[key, node] : table)
    {
      TomlNode *child = &out->children[i++];
      child->key = copy_string (out->children, key.str ());
      set_location (child, key.source ());
      convert_node (out->children, child, node);
    }
  /* toml++ sorts members by key; error messages and the order of calls need the order of the file. */
  std::sort (out->children, out->children + i, [] (const TomlNode &a, const TomlNode &b) {
    return a.line != b.line ? a.line < b.line : a.column < b.column;
  });
}

void
convert_node (const void *ctx, TomlNode *out, const toml::node &node)
{
  switch (node.type ())
    {
    case toml::node_type::table:
      convert_table (ctx, out, *node.as_table ());
      return;
    case toml::node_type::array:
      convert_array (ctx, out, *node.as_array ());
      return;
    case toml::node_type::string:
      convert_string (ctx, out, node.as_string ()->get ());
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
      convert_time (out, node.as_date_time ()->get ());
      return;
    default:
      out->kind = TOML_OTHER;
      return;
    }
}

} // namespace

extern "C" TomlNode *
toml_parse (const void *ctx, const char *text, size_t len, TomlError *error)
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
  convert_table (root, root, result.table ());
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

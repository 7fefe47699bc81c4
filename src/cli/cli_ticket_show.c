#include <stdio.h>

#include <jansson.h>
#include <talloc.h>

#include "cli/args.h"
#include "cli/cli_ticket.h"
#include "cli/exit_codes.h"

static json_t *
object_json (const TicketObject *o)
{
  json_t *json = o->value ? json_loads (o->value, JSON_DECODE_ANY, NULL) : NULL;

  return json_pack ("{s:s,s:b,s:o}", "key", o->key, "removed", !o->value, "value",
                    json ? json : json_null ());
}

static int
show_file (const char *path)
{
  Ticket *t = cli_ticket_load (NULL, path);
  json_t *objects;
  json_t *json;

  if (!t)
    return CLI_INVALID;
  objects = json_array ();
  for (size_t i = 0; i < t->n_objects; i++)
    json_array_append_new (objects, object_json (&t->objects[i]));
  json = json_pack ("{s:I,s:o}", "ticket", (json_int_t)t->number, "objects", objects);
  json_dumpf (json, stdout, JSON_INDENT (2) | JSON_SORT_KEYS);
  putchar ('\n');
  json_decref (json);
  talloc_free (t);
  return CLI_OK;
}

int
cli_ticket_show (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  const CliArgs args
      = { .command = "ticket show",
          .arguments = "FILE",
          .summary = "Prints the objects of a ticket file as JSON, with defaults filled in.",
          .entries = entries,
          .min_arguments = 1,
          .max_arguments = 1 };
  int exit_code;

  if (cli_args_parse (&args, &argc, &argv, &exit_code))
    exit_code = show_file (argv[1]);
  return exit_code;
}

#include "cli/cli_load.h"

#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "cli/load_run.h"

/* Parses a mix such as "model=2,stream=5,booking=1,look_up=2" into weights indexed by LoadKind. */
static gboolean
parse_mix (const char *text, double *weights)
{
  static const char *const NAMES[LOAD_N_KINDS] = { "model", "stream", "booking", "look_up" };
  char **parts = g_strsplit (text, ",", -1);
  gboolean ok = TRUE;

  for (char **p = parts; *p; p++)
    {
      char *equals = g_strstr_len (*p, -1, "=");
      gboolean known = FALSE;

      if (equals)
        *equals = '\0';
      for (int k = 0; k < LOAD_N_KINDS && equals; k++)
        if (!g_strcmp0 (*p, NAMES[k]))
          {
            weights[k] = g_ascii_strtod (equals + 1, NULL);
            known = TRUE;
          }
      ok = ok && known;
    }
  g_strfreev (parts);
  return ok;
}

static void
print_measure (const char *route, const char *kind, const json_t *stats, const char *measure)
{
  const json_t *m = json_object_get (stats, measure);

  if (json_integer_value (json_object_get (m, "n")) == 0)
    return;
  printf ("%-7s %-8s %-18s n=%-8lld p50=%-8lld p90=%-8lld p99=%-8lld max=%lld\n", route, kind,
          measure, json_integer_value (json_object_get (m, "n")),
          json_integer_value (json_object_get (m, "p50")),
          json_integer_value (json_object_get (m, "p90")),
          json_integer_value (json_object_get (m, "p99")),
          json_integer_value (json_object_get (m, "max")));
}

static void
print_route (const json_t *report, const char *route)
{
  const char *kind;
  json_t *stats;
  const char *error;
  json_t *n;

  json_object_foreach (json_object_get (report, route), kind, stats)
  {
    printf ("%-7s %-8s sent=%lld good=%lld truncated=%lld tokens=%lld\n", route, kind,
            json_integer_value (json_object_get (stats, "sent")),
            json_integer_value (json_object_get (stats, "good")),
            json_integer_value (json_object_get (stats, "truncated")),
            json_integer_value (json_object_get (stats, "tokens")));
    json_object_foreach (json_object_get (stats, "errors"), error, n)
        printf ("%-7s %-8s error %s=%lld\n", route, kind, error, json_integer_value (n));
    print_measure (route, kind, stats, "latency_us");
    print_measure (route, kind, stats, "first_token_us");
    print_measure (route, kind, stats, "between_tokens_us");
    print_measure (route, kind, stats, "token_delay_us");
  }
}

static int
run (const LoadOptions *options, const char *output)
{
  json_t *report = load_run (options);
  int rc = 0;

  if (!report)
    {
      fprintf (stderr, "load: at least one target and a positive --rate are required\n");
      return 2;
    }
  print_route (report, "host");
  print_route (report, "direct");
  printf ("most open=%lld skipped=%lld\n",
          json_integer_value (json_object_get (report, "most_open")),
          json_integer_value (json_object_get (report, "skipped")));
  if (output && json_dump_file (report, output, JSON_INDENT (2)) != 0)
    {
      fprintf (stderr, "load: cannot write %s\n", output);
      rc = 1;
    }
  json_decref (report);
  return rc;
}

int
cli_load (int argc, char **argv)
{
  LoadOptions o = { .api_key = "",
                    .budget = "",
                    .model = "",
                    .service = "",
                    .rate = 100,
                    .seconds = 10,
                    .deadline_ms = 60000,
                    .max_tokens = 64,
                    .prompt_bytes = 400,
                    .max_open = 5000,
                    .seed = 1 };
  char *mix = NULL;
  char *output = NULL;
  gint64 seed = 1;
  const GOptionEntry entries[] = {
    { "target", 't', 0, G_OPTION_ARG_STRING_ARRAY, &o.targets, "Host that receives requests",
      "IP:PORT" },
    { "direct-model", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o.direct_model,
      "Engine that also receives requests directly", "IP:PORT" },
    { "direct-service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o.direct_service,
      "Service server that also receives requests directly", "IP:PORT" },
    { "key", 'k', 0, G_OPTION_ARG_STRING, &o.api_key, "API key", "KEY" },
    { "budget", 0, 0, G_OPTION_ARG_STRING, &o.budget, "Value of the X-Budget header", "NAME" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &o.model, "Model name", "NAME" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &o.service, "Service pool", "NAME" },
    { "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &o.rate, "Requests per second", "N" },
    { "seconds", 's', 0, G_OPTION_ARG_DOUBLE, &o.seconds, "Duration of the load", "S" },
    { "mix", 'm', 0, G_OPTION_ARG_STRING, &mix, "model=,stream=,booking=,look_up=", "WEIGHTS" },
    { "key-reuse", 0, 0, G_OPTION_ARG_DOUBLE, &o.key_reuse, "Share of bookings that reuse a key",
      "F" },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT64, &o.deadline_ms, "Deadline of a request", "MS" },
    { "max-tokens", 0, 0, G_OPTION_ARG_INT, &o.max_tokens,
      "Maximum output tokens of a model request", "N" },
    { "prompt-bytes", 0, 0, G_OPTION_ARG_INT, &o.prompt_bytes, "Prompt length of a model request",
      "N" },
    { "max-open", 0, 0, G_OPTION_ARG_INT, &o.max_open, "Maximum number of concurrent requests",
      "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of the random generator", "N" },
    { "output", 'o', 0, G_OPTION_ARG_FILENAME, &output, "Write the report as JSON", "FILE" },
    { 0 }
  };
  GOptionContext *context = g_option_context_new ("- generate load and measure latencies");
  GError *error = NULL;
  int rc;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || !parse_mix (mix ? mix : "look_up=1", o.weights))
    {
      fprintf (stderr, "load: %s\n",
               error ? error->message : "--mix must have the form KIND=WEIGHT,...");
      g_clear_error (&error);
      g_option_context_free (context);
      return 2;
    }
  g_option_context_free (context);
  o.seed = (uint64_t)seed;
  rc = run (&o, output);
  g_free (mix);
  g_free (output);
  return rc;
}

#include "route/server.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "route/flight.h"

/* A server that cannot be reached gets no work for this time, doubled per failure in a row, or until
 * it is heard from. Load polls find out that it is back at no request's expense. */
#define SERVER_DOWN_MS         8000
#define SERVER_DOWN_MAX_SHIFTS 3

/* Single broken answers happen on healthy servers; several in a row are a dead server whose streams
 * break one after the other. */
#define SERVER_BROKEN_ANSWERS 3

/* A mark that has not been repeated for this long ends when the server reports that it stays: it
 * came from a refusal of an earlier process. The host list is read, and its marks repeated, more
 * often. */
#define MARK_HOLD_MS 30000

#define SLOTS_WEIGHT    0.3
#define TOKEN_MS_WEIGHT 0.1

/* Shorter answers give no useful time between tokens. */
#define TOKEN_MS_MIN_TOKENS 8

static void
copy_name (char *to, const char *from)
{
  strncpy (to, from ? from : "", ROUTE_NAME_BYTES - 1);
}

RouteServer *
route_server_new (const void *ctx, const ConfigServer *config)
{
  RouteServer *server = talloc_zero (ctx, RouteServer);

  copy_name (server->name, config->name);
  copy_name (server->address, config->address);
  server->place_key = XXH64 (server->name, strlen (server->name), 0);
  server->heard_ms = INT64_MIN / 2;
  server->asked_ms = INT64_MIN / 2;
  server->measured_ms = INT64_MIN / 2;
  list_init (&server->flights);
  return server;
}

static Place
place_of (const ConfigServer *config, const RoutesOptions *host)
{
  if (!strcmp (config->data_centre, host->data_centre))
    return PLACE_DATA_CENTRE;
  return strcmp (config->region, host->region) ? PLACE_ELSEWHERE : PLACE_REGION;
}

void
server_configure (RouteServer *server, const ConfigServer *config, const RoutesOptions *host)
{
  /* A ticket that ends the leaving of a server ends the earlier marks, too. */
  if (server->leaving_by_ticket && !config->leaving)
    {
      server->leaving_by_mark = false;
      server->leaving_by_report = false;
    }
  server->leaving_by_ticket = config->leaving;
  server->can_resume = config->can_resume;
  server->max_in_flight = config->max_in_flight;
  server->place = place_of (config, host);
  copy_name (server->data_centre, config->data_centre);
  copy_name (server->region, config->region);
}

void
server_set_stops (RouteServer *server, const Config *config)
{
  StopWindow *windows = talloc_array (server, StopWindow, config->n_stops);

  server->n_stops = stop_windows (config, server->name, server->data_centre, INT64_MIN, windows,
                                  config->n_stops);
  talloc_free (server->stops);
  server->stops = windows;
}

/* Own requests that a load measured at @p at_ms contains. */
static int
own_before (const RouteServer *server, int64_t at_ms)
{
  int n = 0;

  for (ListNode *node = list_first (&server->flights); node;
       node = list_next (&server->flights, node))
    n += LIST_ENTRY (node, Flight, node)->started_ms <= at_ms;
  return n;
}

/* Requests wait only when the batch is full, so what runs then is what the batch holds. */
static void
learn_slots (RouteServer *server, const LoadReport *report)
{
  if (report->waiting > 0 && server->slots > 0)
    server->slots += SLOTS_WEIGHT * (report->running - server->slots);
  else if (report->waiting > 0)
    server->slots = report->running;
  else if (server->slots > 0 && report->running > server->slots)
    server->slots = report->running;
}

void
server_report (RouteServer *server, const LoadReport *report, int64_t now_ms)
{
  int64_t measured_ms = now_ms - report->age_ms;
  double others;

  server->heard_ms = now_ms;
  server->failures = 0;
  server->down_until_ms = 0;
  if (measured_ms < server->measured_ms)
    return;
  server->measured_ms = measured_ms;
  server->report = *report;
  server->leaving_by_report = report->leaving;
  if (!report->leaving && measured_ms - server->marked_ms > MARK_HOLD_MS)
    server->leaving_by_mark = false;
  others = report->running + report->waiting - own_before (server, measured_ms);
  server->others = others > 0 ? others : 0;
  learn_slots (server, report);
}

void
server_mark_leaving (RouteServer *server, bool leaving, int64_t now_ms)
{
  server->leaving_by_mark = leaving;
  server->marked_ms = now_ms;
}

static void
count_failure (RouteServer *server, FailurePoint point, int64_t now_ms)
{
  int shifts;

  if (point == FAIL_BEFORE_CONNECT || point == FAIL_REFUSED || point == FAIL_MISMATCHED)
    return;
  server->failures++;
  if (point != FAIL_IN_CONNECT && server->failures < SERVER_BROKEN_ANSWERS)
    return;
  shifts = server->failures - 1;
  if (shifts > SERVER_DOWN_MAX_SHIFTS)
    shifts = SERVER_DOWN_MAX_SHIFTS;
  server->down_until_ms = now_ms + ((int64_t)SERVER_DOWN_MS << shifts);
}

void
server_ended (RouteServer *server, const RouteResult *result, int64_t now_ms)
{
  double token_ms;

  if (result->failed)
    {
      count_failure (server, result->point, now_ms);
      return;
    }
  server->failures = 0;
  server->down_until_ms = 0;
  if (result->first_token_ms < 0 || result->tokens_out < TOKEN_MS_MIN_TOKENS)
    return;
  token_ms = (double)(result->total_ms - result->first_token_ms) / (double)(result->tokens_out - 1);
  if (server->token_ms > 0)
    server->token_ms += TOKEN_MS_WEIGHT * (token_ms - server->token_ms);
  else
    server->token_ms = token_ms;
}

#include "overload/admission_level.h"

#include <math.h>

/* The level changes by the share of answers that show too little room in each period, and with time rather than with each
 * answer: queues need time to show what was changed, and a host with few answers must not lag behind. */
#define PERIOD_MS 100

/* Longest time for which the answers of a period are taken to stand. */
#define MAX_PERIOD_MS 300

/* Late answers count in part: some come late also when there is room, and one in five is borne. */
#define LATE_WEIGHT 0.3
#define BORNE_SHARE 0.06

/* One rejection at a host with few requests says little of a service: with fewer answers in a period the level falls by no more. */
#define FEW_ANSWERS 4
#define FEW_FALL    0.35

/* In a second the level rises by OPEN_PER_S, and falls by CLOSE_PER_S times the share beyond the borne one, of what it is. With a
 * sum up and a product down the levels of hosts that see the same servers come together, wherever they began. */
#define OPEN_PER_S  0.2
#define CLOSE_PER_S 10.0

/* After so many answers without a sign of shortage, in so long a time, there is room again. */
#define QUIET_MS         400
#define QUIET_ANSWERS    8
#define QUIET_OPEN_PER_S 1.5

/* Where nothing is admitted there are no answers: the level opens with time alone. */
#define SILENT_MS         1500
#define SILENT_OPEN_PER_S 0.5

/* Work that servers begin to answer is work that they can take, so that the level does not fall far below this part of what is
 * offered: by as much as lets the queues run out in DRAIN_MS. */
#define MEMORY_MS   1000.0
#define WAIT_WEIGHT 0.1
#define DRAIN_MS    1500.0
#define MIN_FILL    0.3
#define MAX_FILL    0.95

/* Enough requests to find out that there is room again. */
#define MIN_LEVEL 0.03

static void
fade (AdmissionLevel *l, int64_t now_ms)
{
  double kept = exp (-(double)(now_ms - l->faded_ms) / MEMORY_MS);

  l->offered *= kept;
  l->answered *= kept;
  l->faded_ms = now_ms;
}

/* @return the level below which servers would run out of work. */
static double
least_level (const AdmissionLevel *l)
{
  double fill = 1 - l->wait_ms / DRAIN_MS;
  double level;

  fill = fill < MIN_FILL ? MIN_FILL : fill > MAX_FILL ? MAX_FILL : fill;
  level = l->offered > 0 ? fill * l->answered / l->offered : 0;
  return level < MIN_LEVEL ? MIN_LEVEL : level;
}

static void
change_level (AdmissionLevel *l, double by, int64_t now_ms)
{
  double level = 1 - l->closed + by;
  double least = least_level (l);

  if (by < 0 && level < least)
    level = 1 - l->closed < least ? 1 - l->closed : least;
  if (level >= 1)
    {
      l->closed = 0;
      l->since_ms = 0;
      return;
    }
  l->closed = 1 - level;
  if (l->since_ms == 0)
    l->since_ms = now_ms;
}

static double
change_per_s (const AdmissionLevel *l, int64_t now_ms)
{
  int64_t quiet_ms = now_ms - l->short_ms;
  double share = l->answers > 0 ? l->short_answers / l->answers - BORNE_SHARE : 0;

  if (quiet_ms >= QUIET_MS && l->quiet_answers >= QUIET_ANSWERS)
    return QUIET_OPEN_PER_S;
  if (quiet_ms >= SILENT_MS)
    return SILENT_OPEN_PER_S;
  return OPEN_PER_S - CLOSE_PER_S * (share > 0 ? share : 0) * (1 - l->closed);
}

static void
close_period (AdmissionLevel *l, int64_t now_ms)
{
  int64_t ms = now_ms - l->updated_ms;
  double by;

  if (ms < PERIOD_MS)
    return;
  if (l->answers > 0 && ms > MAX_PERIOD_MS)
    ms = MAX_PERIOD_MS;
  l->updated_ms += ms;
  by = (double)ms / 1000 * change_per_s (l, l->updated_ms);
  if (l->answers < FEW_ANSWERS && by < -FEW_FALL)
    by = -FEW_FALL;
  change_level (l, by, l->updated_ms);
  l->answers = 0;
  l->short_answers = 0;
  if (l->updated_ms < now_ms)
    close_period (l, now_ms);
}

void
admission_level_offer (AdmissionLevel *l, double work, int64_t now_ms)
{
  fade (l, now_ms);
  l->offered += work;
}

void
admission_level_add (AdmissionLevel *l, const LevelAnswer *a, int64_t now_ms)
{
  close_period (l, now_ms);
  fade (l, now_ms);
  l->answers++;
  l->quiet_answers++;
  l->short_answers += a->short_of_room ? 1 : a->is_late ? LATE_WEIGHT : 0;
  l->answered += a->work;
  l->wait_ms += WAIT_WEIGHT * (a->wait_ms - l->wait_ms);
  if (!a->short_of_room && !a->is_late)
    return;
  l->short_ms = now_ms;
  l->quiet_answers = 0;
}

double
admission_level_get (AdmissionLevel *l, int64_t now_ms)
{
  close_period (l, now_ms);
  return 1 - l->closed;
}

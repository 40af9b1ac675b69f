#include "lc-fleet.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lb-log.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Renewals that an instance may miss: the answer to one may be lost, and the next goes through
 * another instance when this one was just cut off. */
#define MISSED_RENEWALS 3
/* From a renewal's turn to the list that shows it, when the store answers at once. */
#define LIST_TIME (200 * LB_MSEC)
/* Answers of a slow store that lie between: to the renewal, which counts twice since rows of one
 * part are written one after the other, and to the list. */
#define SLOW_ANSWERS 3
#define DEFAULT_PERIOD LB_SEC
/* A row that is renewed less often tells nothing of the last seconds: callers are not sent there
 * before its next renewal. */
#define MAX_YOUNG_PERIOD (2500 * LB_MSEC)
/* A list that comes so much later than its turn shows that the store was away. */
#define LATE_LIST (300 * LB_MSEC)
/* After it an instance's renewals, of which a few were swallowed, are through again: each waits for
 * half a second before the next one goes out, by itself or through another instance. */
#define RETURN_TIME (800 * LB_MSEC)

struct LcFleet
{
  LbName self;
  LcFleetMember *members;
  size_t n_members;
  size_t next; /* where the next row's member probably is: lists come in the same order */
  LbTime last_list;
  LbTime allowance; /* beside the missed renewals, as the store answers now */
  int64_t store_ms; /* the store's clock at the list being taken; 0: not known */
  bool changed;
};

struct json_object *
lc_fleet_row_to_json (const LcFleetRow *row)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "name", json_object_new_string (row->name));
  json_object_object_add (object, "incarnation", json_object_new_string (row->incarnation));
  json_object_object_add (object, "data_centre", json_object_new_string (row->data_centre));
  json_object_object_add (object, "callers", json_object_new_string (row->caller_address));
  json_object_object_add (object, "peers", json_object_new_string (row->peer_address));
  json_object_object_add (object, "ready", json_object_new_boolean (row->ready));
  json_object_object_add (object, "draining", json_object_new_boolean (row->draining));
  json_object_object_add (object, "cut", json_object_new_boolean (row->cut));
  json_object_object_add (object, "strength", json_object_new_int64 (row->strength));
  if (row->clock_lead_ms != 0)
    json_object_object_add (object, "clock_lead_ms", json_object_new_int64 (row->clock_lead_ms));
  if (row->crowded[0])
    json_object_object_add (object, "crowded", json_object_new_string (row->crowded));
  json_object_object_add (object, "renewed_ms", json_object_new_int64 (row->renewed_ms));
  json_object_object_add (object, "period_ms", json_object_new_int64 (row->period / LB_MSEC));
  return object;
}

bool
lc_fleet_row_from_json (struct json_object *object, LcFleetRow *row)
{
  memset (row, 0, sizeof *row);
  LB_COPY (row->name, lb_json_text (object, "name", ""));
  LB_COPY (row->incarnation, lb_json_text (object, "incarnation", ""));
  LB_COPY (row->data_centre, lb_json_text (object, "data_centre", ""));
  LB_COPY (row->caller_address, lb_json_text (object, "callers", ""));
  LB_COPY (row->peer_address, lb_json_text (object, "peers", ""));
  row->ready = lb_json_bool (object, "ready", false);
  row->draining = lb_json_bool (object, "draining", false);
  LB_COPY (row->crowded, lb_json_text (object, "crowded", ""));
  row->cut = lb_json_bool (object, "cut", false);
  row->strength = lb_json_int (object, "strength", 0);
  row->clock_lead_ms = lb_json_int (object, "clock_lead_ms", 0);
  row->renewed_ms = lb_json_int (object, "renewed_ms", 0);
  row->period = lb_json_int (object, "period_ms", DEFAULT_PERIOD / LB_MSEC) * LB_MSEC;
  return row->name[0] && row->incarnation[0] && row->caller_address[0];
}

char *
lc_fleet_member_to_text (const LcFleetMember *member)
{
  struct json_object *object = lc_fleet_row_to_json (&member->row);

  json_object_object_del (object, "renewed_ms");
  json_object_object_del (object, "period_ms");
  json_object_object_add (object, "version", json_object_new_int64 (member->version));
  json_object_object_add (object, "alive", json_object_new_boolean (member->alive));
  json_object_object_add (object, "fresh", json_object_new_boolean (member->fresh));
  json_object_object_add (object, "confirmed", json_object_new_boolean (member->confirmed));
  return lb_json_take_text (object, JSON_C_TO_STRING_PLAIN);
}

bool
lc_fleet_member_from_text (const char *text, LcFleetMember *member)
{
  struct json_object *object = json_tokener_parse (text);

  memset (member, 0, sizeof *member);
  bool ok = object && lc_fleet_row_from_json (object, &member->row);
  member->version = lb_json_int (object, "version", 0);
  member->alive = lb_json_bool (object, "alive", false);
  member->fresh = lb_json_bool (object, "fresh", false);
  member->confirmed = lb_json_bool (object, "confirmed", false);
  json_object_put (object);
  return ok;
}

LcFleet *
lc_fleet_new (const char *self)
{
  LcFleet *fleet = LB_NEW (LcFleet);

  LB_COPY (fleet->self, self);
  return fleet;
}

void
lc_fleet_free (LcFleet *fleet)
{
  if (!fleet)
    return;
  free (fleet->members);
  free (fleet);
}

static size_t
index_of (const LcFleet *fleet, const char *name, size_t hint)
{
  if (hint < fleet->n_members && strcmp (fleet->members[hint].row.name, name) == 0)
    return hint;
  for (size_t i = 0; i < fleet->n_members; i++)
    if (strcmp (fleet->members[i].row.name, name) == 0)
      return i;
  return fleet->n_members;
}

static LcFleetMember *
find (LcFleet *fleet, const char *name)
{
  size_t index = index_of (fleet, name, fleet->next);

  fleet->next = index + 1;
  return index < fleet->n_members ? &fleet->members[index] : NULL;
}

/* While the store is away no row is renewed, and all instances would be taken for dead the moment
 * it answers again: the time without lists does not count. */
void
lc_fleet_begin_list (LcFleet *fleet, const LcFleetList *list)
{
  LbTime gap = fleet->last_list > 0 ? list->received_at - fleet->last_list : 0;
  bool was_away = gap > 2 * list->period + list->round_trip + LATE_LIST;

  fleet->allowance = LIST_TIME + SLOW_ANSWERS * list->round_trip;
  fleet->store_ms = list->store_ms;
  for (size_t i = 0; i < fleet->n_members; i++)
    {
      fleet->members[i].is_in_list = false;
      if (was_away)
        fleet->members[i].version_seen_at += gap + RETURN_TIME;
    }
  fleet->last_list = list->received_at;
  fleet->changed = false;
}

static bool
says_the_same (const LcFleetRow *a, const LcFleetRow *b)
{
  return strcmp (a->incarnation, b->incarnation) == 0 && a->ready == b->ready
         && a->draining == b->draining && a->cut == b->cut && a->clock_lead_ms == b->clock_lead_ms
         && strcmp (a->caller_address, b->caller_address) == 0
         && strcmp (a->crowded, b->crowded) == 0;
}

/* Whether a row that was never seen before was written lately. */
static bool
is_young (const LcFleet *fleet, const LcFleetRow *row)
{
  LbTime age = (fleet->store_ms - row->renewed_ms) * LB_MSEC;
  LbTime period = row->period < MAX_YOUNG_PERIOD ? row->period : MAX_YOUNG_PERIOD;

  return fleet->store_ms > 0 && row->renewed_ms > 0
         && age < period * MISSED_RENEWALS + fleet->allowance;
}

/* Guards against callers that are sent to an instance which is gone: its row stays in the store for
 * good, and one that has just started sees it for the first time and takes it for alive until it
 * misses its renewals. Such an instance is confirmed by the age of its row, or by its next renewal.
 * That it counts as alive until then is wanted: after an outage of the store all rows are old, and
 * batches would be taken from owners that live. */
void
lc_fleet_add_row (LcFleet *fleet, const LcFleetRow *row, int64_t version, LbTime now)
{
  LcFleetMember *member = find (fleet, row->name);

  if (!member)
    {
      fleet->members = lb_realloc (fleet->members, (fleet->n_members + 1) * sizeof *fleet->members);
      member = &fleet->members[fleet->n_members++];
      *member = (LcFleetMember){ .row = *row,
                                 .version = version,
                                 .version_seen_at = now,
                                 .confirmed = is_young (fleet, row),
                                 .is_new = true };
      fleet->changed = true;
    }
  member->is_in_list = true;
  if (version <= member->version)
    return;
  fleet->changed |= !says_the_same (&member->row, row) || !member->confirmed;
  member->confirmed = true;
  member->row = *row;
  member->version = version;
  member->version_seen_at = now;
}

static void
drop_unseen (LcFleet *fleet)
{
  for (size_t i = fleet->n_members; i-- > 0;)
    if (!fleet->members[i].is_in_list)
      {
        fleet->members[i] = fleet->members[--fleet->n_members];
        fleet->changed = true;
      }
}

static void
set_alive (LcFleet *fleet, LcFleetMember *member, bool alive, LbTime now)
{
  if (alive == member->alive)
    return;
  member->alive = alive;
  fleet->changed = true;
  if (!alive || !member->is_new)
    lb_log (LB_LOG_INFO, alive ? "instance_alive" : "instance_lost",
            LB_TEXT ("peer", member->row.name), LB_TEXT ("incarnation", member->row.incarnation),
            LB_INT ("silent_us", now - member->version_seen_at));
}

/* One line for all that are new: a site of 300 instances that starts would write 300 in each. */
static void
log_new (const LcFleet *fleet)
{
  int64_t n_new = 0;

  for (size_t i = 0; i < fleet->n_members; i++)
    n_new += fleet->members[i].is_new;
  if (n_new > 0)
    lb_log (LB_LOG_INFO, "instances_listed", LB_INT ("new", n_new),
            LB_INT ("known", fleet->n_members));
}

bool
lc_fleet_finish_list (LcFleet *fleet, LbTime now)
{
  drop_unseen (fleet);
  log_new (fleet);
  for (size_t i = 0; i < fleet->n_members; i++)
    {
      LcFleetMember *member = &fleet->members[i];
      bool is_self = strcmp (member->row.name, fleet->self) == 0;
      LbTime silence = now - member->version_seen_at;
      bool fresh = is_self || silence < member->row.period + fleet->allowance;
      fleet->changed |= fresh != member->fresh;
      member->fresh = fresh;
      set_alive (fleet, member,
                 is_self || silence < member->row.period * MISSED_RENEWALS + fleet->allowance, now);
      member->is_new = false;
    }
  return fleet->changed;
}

/* Of the same start the row on duty tells, since it is renewed more often: an instance that died
 * just after the other one was renewed would be missed as late as any. Of two starts the younger
 * row does.
 */
static bool
tells (const LcFleetMember *on_duty, const LcFleetMember *other)
{
  return strcmp (on_duty->row.incarnation, other->row.incarnation) == 0
         || on_duty->version > other->version;
}

size_t
lc_fleet_merge (const LcFleet *all, const LcFleet *on_duty, LcFleetMember *members)
{
  size_t n = all->n_members;

  if (n > 0)
    memcpy (members, all->members, n * sizeof *members);
  for (size_t i = 0; i < on_duty->n_members; i++)
    {
      const LcFleetMember *member = &on_duty->members[i];
      size_t index = index_of (all, member->row.name, all->n_members);
      if (index == all->n_members)
        members[n++] = *member;
      else if (tells (member, &members[index]))
        members[index] = *member;
    }
  return n;
}

size_t
lc_fleet_count (const LcFleet *fleet)
{
  return fleet->n_members;
}

const LcFleetMember *
lc_fleet_at (const LcFleet *fleet, size_t index)
{
  return &fleet->members[index];
}

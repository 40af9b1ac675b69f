#include "lc-fleet.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lb-log.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Renewals that an instance may miss before it counts as dead. The answer to one renewal may be
 * lost, and the next one may take longer through another instance if the direct path to the store
 * has just failed. */
#define MAX_MISSED_RENEWALS 3
/* Longest time from the due time of a renewal to the listing that shows the renewal, if the store
 * answers at once. */
#define LISTING_DELAY (200 * LB_MSEC)
/* Store round trips from the due time of a renewal to the listing that shows the renewal: one for
 * the listing and two for the renewal, since rows of one partition of the table are written one
 * after the other. */
#define STORE_ROUND_TRIPS 3
#define DEFAULT_RENEWAL_PERIOD LB_SEC
/* Upper limit of the renewal period when judging whether a row seen for the first time was renewed
 * recently. A row that is renewed less often does not show that its instance is alive now; callers
 * are not sent to that instance before its next renewal. */
#define MAX_RENEWAL_PERIOD_FOR_RECENCY (2500 * LB_MSEC)
/* Largest error of an instance's estimate of the store's clock. */
#define MAX_CLOCK_ESTIMATE_ERROR LB_SEC
/* A listing that is overdue by more than this shows that the store was unreachable. */
#define OUTAGE_THRESHOLD (300 * LB_MSEC)
/* Time until renewals succeed again after a store outage: a few were lost, and an instance waits
 * half a second for each before it sends the next one, directly or through another instance. */
#define OUTAGE_RECOVERY_TIME (800 * LB_MSEC)

struct LcFleet
{
  LbName self;
  LcFleetMember *members;
  size_t n_members;
  size_t next_index; /* probable index of the next row's member, since listings keep their order */
  LbTime last_list_at;
  /* added to the silence after which an instance counts as dead, for the store's current response
   * time */
  LbTime delay_allowance;
  int64_t store_ms; /* store's clock at the current listing; 0: unknown */
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
  if (row->started_ms != 0)
    json_object_object_add (object, "started_ms", json_object_new_int64 (row->started_ms));
  if (row->overloaded_service[0])
    json_object_object_add (object, "crowded", json_object_new_string (row->overloaded_service));
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
  LB_COPY (row->overloaded_service, lb_json_text (object, "crowded", ""));
  row->cut = lb_json_bool (object, "cut", false);
  row->strength = lb_json_int (object, "strength", 0);
  row->started_ms = lb_json_int (object, "started_ms", 0);
  row->clock_lead_ms = lb_json_int (object, "clock_lead_ms", 0);
  row->renewed_ms = lb_json_int (object, "renewed_ms", 0);
  row->period = lb_json_int (object, "period_ms", DEFAULT_RENEWAL_PERIOD / LB_MSEC) * LB_MSEC;
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
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
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
find_member_index (const LcFleet *fleet, const char *name, size_t hint)
{
  if (hint < fleet->n_members && strcmp (fleet->members[hint].row.name, name) == 0)
    return hint;
  for (size_t i = 0; i < fleet->n_members; i++)
    if (strcmp (fleet->members[i].row.name, name) == 0)
      return i;
  return fleet->n_members;
}

static LcFleetMember *
find_member (LcFleet *fleet, const char *name)
{
  size_t index = find_member_index (fleet, name, fleet->next_index);

  fleet->next_index = index + 1;
  return index < fleet->n_members ? &fleet->members[index] : NULL;
}

/* Excludes a store outage from the silence of instances: nobody can renew during an outage, and all
 * instances would look dead as soon as the store answers again. */
void
lc_fleet_begin_list (LcFleet *fleet, const LcFleetList *list)
{
  LbTime gap = fleet->last_list_at > 0 ? list->received_at - fleet->last_list_at : 0;
  bool had_outage = gap > 2 * list->period + list->round_trip + OUTAGE_THRESHOLD;

  fleet->delay_allowance = LISTING_DELAY + STORE_ROUND_TRIPS * list->round_trip;
  fleet->store_ms = list->store_ms;
  for (size_t i = 0; i < fleet->n_members; i++)
    {
      fleet->members[i].is_in_list = false;
      if (had_outage)
        fleet->members[i].version_seen_at += gap + OUTAGE_RECOVERY_TIME;
    }
  fleet->last_list_at = list->received_at;
  fleet->changed = false;
}

static bool
do_rows_have_same_state (const LcFleetRow *a, const LcFleetRow *b)
{
  return strcmp (a->incarnation, b->incarnation) == 0 && a->ready == b->ready
         && a->draining == b->draining && a->cut == b->cut && a->clock_lead_ms == b->clock_lead_ms
         && a->started_ms == b->started_ms && strcmp (a->caller_address, b->caller_address) == 0
         && strcmp (a->overloaded_service, b->overloaded_service) == 0;
}

/* Whether the row was renewed recently, by the store's clock. A row from the future was written
 * before the store's clock began anew. */
static bool
was_row_renewed_recently (const LcFleet *fleet, const LcFleetRow *row)
{
  LbTime age = (fleet->store_ms - row->renewed_ms) * LB_MSEC;
  LbTime period
      = row->period < MAX_RENEWAL_PERIOD_FOR_RECENCY ? row->period : MAX_RENEWAL_PERIOD_FOR_RECENCY;

  return fleet->store_ms > 0 && row->renewed_ms > 0 && age > -MAX_CLOCK_ESTIMATE_ERROR
         && age < period * MAX_MISSED_RENEWALS + fleet->delay_allowance;
}

/* Whether a renewal shows that the instance lives: the store may apply a write of a dead instance
 * seconds late. Without times, any renewal counts. */
static bool
does_renewal_confirm_instance (const LcFleet *fleet, const LcFleetRow *row)
{
  return fleet->store_ms == 0 || row->renewed_ms == 0 || was_row_renewed_recently (fleet, row);
}

/* A row stays in the store after its instance is gone. So a member whose row is seen for the first
 * time gets no callers until the age of the row or the next renewal confirms that the member is
 * alive. An unconfirmed member still counts as alive, because after a store outage all rows are
 * old, and batches would otherwise be taken from live owners. */
void
lc_fleet_add_row (LcFleet *fleet, const LcFleetRow *row, int64_t version, LbTime now)
{
  LcFleetMember *member = find_member (fleet, row->name);

  if (!member)
    {
      fleet->members = lb_realloc (fleet->members, (fleet->n_members + 1) * sizeof *fleet->members);
      member = &fleet->members[fleet->n_members++];
      *member = (LcFleetMember){ .row = *row,
                                 .version = version,
                                 .version_seen_at = now,
                                 .confirmed = was_row_renewed_recently (fleet, row),
                                 .is_new = true };
      fleet->changed = true;
    }
  member->is_in_list = true;
  if (version <= member->version)
    return;
  bool was_confirmed = member->confirmed;
  member->confirmed |= does_renewal_confirm_instance (fleet, row);
  fleet->changed
      |= !do_rows_have_same_state (&member->row, row) || member->confirmed != was_confirmed;
  member->row = *row;
  member->version = version;
  member->version_seen_at = now;
}

static void
remove_unlisted_members (LcFleet *fleet)
{
  for (size_t i = fleet->n_members; i-- > 0;)
    if (!fleet->members[i].is_in_list)
      {
        fleet->members[i] = fleet->members[--fleet->n_members];
        fleet->changed = true;
      }
}

static void
set_member_liveness (LcFleet *fleet, LcFleetMember *member, bool alive, LbTime now)
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

/* Logs one line for all new instances, because otherwise each of 300 instances would log 300 lines
 * when a site starts. */
static void
log_new_members (const LcFleet *fleet)
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
  remove_unlisted_members (fleet);
  log_new_members (fleet);
  for (size_t i = 0; i < fleet->n_members; i++)
    {
      LcFleetMember *member = &fleet->members[i];
      bool is_self = strcmp (member->row.name, fleet->self) == 0;
      LbTime silence = now - member->version_seen_at;
      bool fresh = is_self || silence < member->row.period + fleet->delay_allowance;
      fleet->changed |= fresh != member->fresh;
      member->fresh = fresh;
      set_member_liveness (fleet, member,
                           is_self
                               || silence < member->row.period * MAX_MISSED_RENEWALS
                                                + fleet->delay_allowance,
                           now);
      member->is_new = false;
    }
  return fleet->changed;
}

/* Whether the row that an instance has in the list of instances on duty replaces its row in the
 * list of all instances. Within one incarnation the row on duty is used, since that row is renewed
 * more often and shows a death sooner. If the incarnations differ, the newer row is used. */
static bool
is_duty_row_preferred (const LcFleetMember *on_duty, const LcFleetMember *other)
{
  return strcmp (on_duty->row.incarnation, other->row.incarnation) == 0
         || on_duty->version > other->version;
}

size_t
lc_fleet_merge_members (const LcFleet *all, const LcFleet *on_duty, LcFleetMember *members)
{
  size_t n = all->n_members;

  if (n > 0)
    memcpy (members, all->members, n * sizeof *members);
  for (size_t i = 0; i < on_duty->n_members; i++)
    {
      const LcFleetMember *member = &on_duty->members[i];
      size_t index = find_member_index (all, member->row.name, all->n_members);
      if (index == all->n_members)
        members[n++] = *member;
      else if (is_duty_row_preferred (member, &members[index]))
        members[index] = *member;
    }
  return n;
}

size_t
lc_fleet_count_members (const LcFleet *fleet)
{
  return fleet->n_members;
}

const LcFleetMember *
lc_fleet_member_at (const LcFleet *fleet, size_t index)
{
  return &fleet->members[index];
}

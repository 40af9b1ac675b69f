#ifndef LC_FLEET_H
#define LC_FLEET_H

#include "lc-types.h"

struct json_object;

/* Liveness of instances from rows of a shared store: each instance renews its own row, and one
 * whose row has not changed for too long counts as dead. No I/O. */

typedef struct
{
  LbName name;
  LbName incarnation;
  LbName data_centre;
  LbName caller_address;
  LbName peer_address; /* where it relays store calls of other instances; empty: it does not */
  bool ready;
  bool draining;
  bool cut;              /* can reach the store only through other instances */
  int64_t strength;      /* capacity of its machine, see lc-duty.h; 0: not reported */
  int64_t clock_lead_ms; /* see lc-true-time.h; 0: not reported */
  int64_t renewed_ms; /* store's clock at the renewal, as the instance estimated it; 0: unknown */
  LbTime period;      /* between renewals */
  /* service whose endpoints known to the instance are nearly full; "": none */
  LbName overloaded_service;
} LcFleetRow;

struct json_object *lc_fleet_row_to_json (const LcFleetRow *row);
bool lc_fleet_row_from_json (struct json_object *object, LcFleetRow *row);

typedef struct
{
  LcFleetRow row;
  int64_t version;        /* the store's version of the row */
  LbTime version_seen_at; /* local time; 0: before this instance's first list */
  bool alive;
  bool fresh; /* no renewal missed, as of the last list */
  /* Known to have renewed its row recently, see lc_fleet_add_row. */
  bool confirmed;
  bool is_in_list; /* in the list that is being read */
  bool is_new;     /* first seen in that list */
} LcFleetMember;

/* Text form in which one instance passes another one's state on. Renewal times are left out, so
 * that the text changes only with the state. The caller frees it. */
char *lc_fleet_member_to_text (const LcFleetMember *member);
bool lc_fleet_member_from_text (const char *text, LcFleetMember *member);

/* One complete listing of the rows. */
typedef struct
{
  LbTime received_at;
  LbTime round_trip; /* time from request to answer */
  int64_t store_ms;  /* store's clock at the listing; 0: unknown */
  LbTime period;     /* between two listings */
} LcFleetList;

typedef struct LcFleet LcFleet;

LcFleet *lc_fleet_new (const char *self);
void lc_fleet_free (LcFleet *fleet);

/* commands */
/* Reads one complete listing: begin, add each row, finish. lc_fleet_finish_list returns true when
 * liveness or the state of any instance changed. */
void lc_fleet_begin_list (LcFleet *fleet, const LcFleetList *list);
void lc_fleet_add_row (LcFleet *fleet, const LcFleetRow *row, int64_t version, LbTime now);
bool lc_fleet_finish_list (LcFleet *fleet, LbTime now);

/* queries */
/* Merges two listings: instances that run batches or give weight orders also have a row on duty,
 * which is listed more often than the rows of all. `members` must have room for the members of
 * both; returns how many it holds. */
size_t lc_fleet_merge_members (const LcFleet *all, const LcFleet *on_duty, LcFleetMember *members);
size_t lc_fleet_count_members (const LcFleet *fleet);
const LcFleetMember *lc_fleet_member_at (const LcFleet *fleet, size_t index);

#endif

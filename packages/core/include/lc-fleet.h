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
  /* address at which the instance relays store calls of other instances; empty: it relays none */
  LbName peer_address;
  bool ready;
  bool draining;
  bool cut;         /* the instance can reach the store only through other instances */
  int64_t strength; /* capacity of the instance's machine, see lc-duty.h; 0: not reported */
  /* offset of the instance's wall clock from the store's clock; 0: not reported */
  int64_t clock_lead_ms;
  int64_t renewed_ms; /* store's clock at the renewal, as the instance estimated it; 0: unknown */
  LbTime period;      /* time between two renewals of the row */
  /* service whose endpoints known to the instance are nearly full; "": none */
  LbName overloaded_service;
} LcFleetRow;

struct json_object *lc_fleet_row_to_json (const LcFleetRow *row);
bool lc_fleet_row_from_json (struct json_object *object, LcFleetRow *row);

typedef struct
{
  LcFleetRow row;
  int64_t version;        /* the store's version of the row */
  LbTime version_seen_at; /* local time at which this version was first listed; 0: not listed yet */
  bool alive;
  bool fresh; /* the instance had missed no renewal at the last listing */
  /* The instance is known to have renewed its row recently; see lc_fleet_add_row. */
  bool confirmed;
  bool is_in_list; /* the instance's row is in the listing that is being read */
  /* the instance's row is seen for the first time, in the listing that is being read */
  bool is_new;
} LcFleetMember;

/* Text form of a member, by which one instance passes the member's state on to others. Renewal
 * times are left out, so that the text changes only with the state. The caller frees the text. */
char *lc_fleet_member_to_text (const LcFleetMember *member);
bool lc_fleet_member_from_text (const char *text, LcFleetMember *member);

/* One complete listing of the instances' rows. */
typedef struct
{
  LbTime received_at;
  LbTime round_trip; /* time from request to answer */
  int64_t store_ms;  /* store's clock at the listing; 0: unknown */
  LbTime period;     /* time between two listings */
} LcFleetList;

typedef struct LcFleet LcFleet;

LcFleet *lc_fleet_new (const char *self);
void lc_fleet_free (LcFleet *fleet);

/* Functions that change an LcFleet. */
/* Reads one complete listing: begin, add each row, finish. lc_fleet_finish_list returns true when
 * liveness or the state of any instance changed. */
void lc_fleet_begin_list (LcFleet *fleet, const LcFleetList *list);
void lc_fleet_add_row (LcFleet *fleet, const LcFleetRow *row, int64_t version, LbTime now);
bool lc_fleet_finish_list (LcFleet *fleet, LbTime now);

/* Functions that only read an LcFleet. */
/* Merges the listing of all rows with the listing of rows on duty. Instances that run batches or
 * give weight orders have a second row, the row on duty, which is listed more often. `members` must
 * have room for the members of both listings; returns the number of merged members. */
size_t lc_fleet_merge_members (const LcFleet *all, const LcFleet *on_duty, LcFleetMember *members);
size_t lc_fleet_count_members (const LcFleet *fleet);
const LcFleetMember *lc_fleet_member_at (const LcFleet *fleet, size_t index);

#endif

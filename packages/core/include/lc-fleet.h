#ifndef LC_FLEET_H
#define LC_FLEET_H

#include "lc-types.h"

struct json_object;

/* This header declares the liveness of instances according to rows of a shared store: each instance
 * renews its own row, and an instance whose row has not changed for too long counts as dead. No
 * I/O. */

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
  bool cut; /* the instance cannot reach the store directly, only through other instances */
  /* capacity of the instance's machine, as lc_duty_machine_strength computes it; 0: not reported */
  int64_t strength;
  /* offset of the instance's wall clock from the store's clock; 0: not reported */
  int64_t clock_lead_ms;
  /* time at which the row was renewed, by the store's clock as the instance estimated it; 0:
   * unknown */
  int64_t renewed_ms;
  int64_t started_ms; /* store's clock when the process started; 0: unknown */
  LbTime period;      /* time between two renewals of the row */
  /* service of which the endpoints that the instance knows are nearly full; "": none */
  LbName overloaded_service;
} LcFleetRow;

struct json_object *lc_fleet_row_to_json (const LcFleetRow *row);
bool lc_fleet_row_from_json (struct json_object *object, LcFleetRow *row);

typedef struct
{
  LcFleetRow row;
  int64_t version; /* the store's version of the row */
  /* local time at which this version was first read from the store; 0: not read yet */
  LbTime version_seen_at;
  bool alive;
  bool fresh; /* at the last listing, the instance's row was not overdue for renewal */
  /* the instance is known to have renewed its row recently; until then it gets no callers (see
   * lc_fleet_add_row) */
  bool confirmed;
  /* set while a listing of all rows is being read, once the instance's row was found in it */
  bool is_in_list;
  /* set while a listing of all rows is being read, if the instance was not known before */
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

/* Merges two listings of instances. Instances that run batches or send the orders to load weights
 * have a second row, their "row on duty", which is listed more often. all: listing of the rows of
 * all instances; on_duty: listing of the rows on duty. `members` must have room for the members of
 * both; returns the number of merged members. */
size_t lc_fleet_merge_members (const LcFleet *all, const LcFleet *on_duty, LcFleetMember *members);
size_t lc_fleet_count_members (const LcFleet *fleet);
const LcFleetMember *lc_fleet_member_at (const LcFleet *fleet, size_t index);

#endif

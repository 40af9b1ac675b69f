#ifndef LC_FLEET_H
#define LC_FLEET_H

#include "lc-types.h"

struct json_object;

/* Instances that find one another through rows of a shared store: each renews its own row, and one
 * whose row stands still for too long is taken for dead. No I/O. */

typedef struct
{
  LbName name;
  LbName incarnation;
  LbName data_centre;
  LbName caller_address;
  LbName peer_address; /* where it carries out calls to the store for others; empty: nowhere */
  bool ready;
  bool draining;
  bool cut;              /* reaches the store only with the help of others */
  int64_t strength;      /* of its machine, see lc-duty.h; 0: it does not say */
  int64_t clock_lead_ms; /* see lc-true-time.h; 0: it does not say */
  int64_t renewed_ms;    /* the store's clock when it renewed the row, by itself; 0: not known */
  LbTime period;         /* between them */
  LbName crowded;        /* service whose known endpoints are nearly full; "": none */
} LcFleetRow;

struct json_object *lc_fleet_row_to_json (const LcFleetRow *row);
bool lc_fleet_row_from_json (struct json_object *object, LcFleetRow *row);

typedef struct
{
  LcFleetRow row;
  int64_t version; /* of the row in the store */
  LbTime
      version_seen_at; /* when this version was first seen; 0: before this instance began to look */
  bool alive;
  bool fresh; /* it missed no renewal yet, as far as the last list can tell */
  /* It is known to have renewed its row lately, see lc_fleet_add_row. */
  bool confirmed;
  bool is_in_list; /* in the list being taken */
  bool is_new;     /* first seen in it */
} LcFleetMember;

/* What one instance tells others of another one; the same text as long as it says the same: without
 * its renewals. The caller frees. */
char *lc_fleet_member_to_text (const LcFleetMember *member);
bool lc_fleet_member_from_text (const char *text, LcFleetMember *member);

/* A whole list of the rows. */
typedef struct
{
  LbTime received_at;
  LbTime round_trip; /* from the question to the answer */
  int64_t store_ms;  /* the store's clock then; 0: not known */
  LbTime period;     /* between two lists */
} LcFleetList;

typedef struct LcFleet LcFleet;

LcFleet *lc_fleet_new (const char *self);
void lc_fleet_free (LcFleet *fleet);

/* commands */
/* A whole list begins; rows follow; true when who is alive, or what they say, changed. */
void lc_fleet_begin_list (LcFleet *fleet, const LcFleetList *list);
void lc_fleet_add_row (LcFleet *fleet, const LcFleetRow *row, int64_t version, LbTime now);
bool lc_fleet_finish_list (LcFleet *fleet, LbTime now);

/* queries */
/* Instances that run batches or order weights are listed more often than all, in rows of their own,
 * which go before their others. Fills `members`, which has room for those
 * of both, and returns how many there are. */
size_t lc_fleet_merge (const LcFleet *all, const LcFleet *on_duty, LcFleetMember *members);
size_t lc_fleet_count (const LcFleet *fleet);
const LcFleetMember *lc_fleet_at (const LcFleet *fleet, size_t index);

#endif

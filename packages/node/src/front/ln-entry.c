#include "ln-entry.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-entry.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define NO_INSTANCE_RETRY_AFTER (2 * LB_SEC)

static LbMetric replies
    = LB_COUNTER_INIT ("lentilspindle_entry_answers_total", NULL, "Replies to GET /v1/entry");

/* Returns the name in the request, or else the caller's IP address. Addresses are chosen by this
 * name, so that a caller always gets the same addresses. */
static const char *
get_caller_name (const LnExchange *exchange)
{
  const char *caller = ln_exchange_get_query_parameter (exchange, "caller");

  if (!caller || !caller[0])
    caller = ln_exchange_header (exchange, "x-caller");
  return caller && caller[0] ? caller : ln_exchange_caller_ip (exchange);
}

static bool
is_known_data_centre (const LcMemberView *views, size_t n_views, const char *name)
{
  for (size_t i = 0; i < n_views; i++)
    if (strcmp (views[i].instance.data_centre, name) == 0)
      return true;
  return false;
}

static struct json_object *
chosen_addresses_to_json (const LcEntryChoice *entry, const LcMemberView *views)
{
  struct json_object *addresses = json_object_new_array ();

  for (size_t i = 0; i < entry->n_chosen; i++)
    {
      const LcInstance *instance = &views[entry->chosen[i]].instance;
      struct json_object *address = json_object_new_object ();
      json_object_object_add (address, "address",
                              json_object_new_string (instance->caller_address));
      json_object_object_add (address, "instance", json_object_new_string (instance->name));
      json_object_object_add (address, "data_centre",
                              json_object_new_string (instance->data_centre));
      json_object_array_add (addresses, address);
    }
  return addresses;
}

static void
reply_no_instance_available (LnExchange *exchange)
{
  LbError error;

  lb_error_set (&error, LB_ERROR_NOT_READY, "entry", "no instance accepts new callers at present");
  ln_exchange_reply_error (exchange, &error, NO_INSTANCE_RETRY_AFTER);
}

static void
reply_chosen_addresses (LnExchange *exchange,
                        const LcEntryChoice *entry,
                        const LcMemberView *views,
                        int64_t time_to_live_ms)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *addresses = chosen_addresses_to_json (entry, views);

  lb_log (LB_LOG_INFO, "entry", LB_TEXT ("caller", get_caller_name (exchange)),
          LB_JSON ("addresses", json_object_to_json_string (addresses)));
  json_object_object_add (object, "ttl_ms", json_object_new_int64 (time_to_live_ms));
  json_object_object_add (object, "addresses", addresses);
  ln_exchange_reply_json (exchange, 200, object);
}

void
ln_entry_reply_addresses (LnExchange *exchange,
                          const LcMembership *membership,
                          int64_t time_to_live_ms)
{
  size_t n_views = lc_membership_count_instances (membership);
  LcMemberView *views = LB_NEW_ARRAY (LcMemberView, n_views);
  const char *data_centre = ln_exchange_get_query_parameter (exchange, "data_centre");
  LcEntryChoice entry;

  lc_membership_copy_views (membership, views);
  if (!data_centre || !is_known_data_centre (views, n_views, data_centre))
    data_centre = lc_membership_self (membership)->data_centre;
  lc_entry_choose_instances (&entry, views, n_views, get_caller_name (exchange), data_centre);
  lb_metric_add (&replies, 1);
  if (entry.n_chosen == 0)
    reply_no_instance_available (exchange);
  else
    reply_chosen_addresses (exchange, &entry, views, time_to_live_ms);
  free (views);
}

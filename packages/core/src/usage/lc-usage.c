#include "lc-usage.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lb-list.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct
{
  LbName organisation; /* key in LcUsageCounts.by_organisation */
  int64_t requests;
  UT_hash_handle hh;
} Count;

struct LcUsageCounts
{
  Count *by_organisation;
};

typedef struct
{
  LbLink link;
  int64_t number;
  LcUsageCounts *counts;
  /* counts have changed since lc_usage_next_row last returned the row of this window */
  bool changed;
  bool is_being_written;
  LbTime next_row_at;
} Window;

struct LcUsage
{
  int64_t window_ms;
  LbList windows;
};

LcUsageCounts *
lc_usage_counts_new (void)
{
  return LB_NEW (LcUsageCounts);
}

void
lc_usage_counts_free (LcUsageCounts *counts)
{
  Count *count, *next;

  if (!counts)
    return;
  HASH_ITER (hh, counts->by_organisation, count, next)
  {
    HASH_DEL (counts->by_organisation, count);
    free (count);
  }
  free (counts);
}

static Count *
find_request_count (const LcUsageCounts *counts, const char *organisation)
{
  Count *count = NULL;

  HASH_FIND_STR (counts->by_organisation, organisation, count);
  return count;
}

static Count *
get_or_add_request_count (LcUsageCounts *counts, const char *organisation)
{
  Count *count = find_request_count (counts, organisation);

  if (count)
    return count;
  count = LB_NEW (Count);
  LB_COPY (count->organisation, organisation);
  HASH_ADD_STR (counts->by_organisation, organisation, count);
  return count;
}

void
lc_usage_counts_add_requests (LcUsageCounts *counts, const char *organisation, int64_t requests)
{
  get_or_add_request_count (counts, organisation)->requests += requests;
}

void
lc_usage_counts_merge_maximum (LcUsageCounts *counts, const LcUsageCounts *others)
{
  for (const Count *other = others->by_organisation; other; other = other->hh.next)
    {
      Count *count = get_or_add_request_count (counts, other->organisation);
      if (other->requests > count->requests)
        count->requests = other->requests;
    }
}

void
lc_usage_counts_add_counts (LcUsageCounts *counts, const LcUsageCounts *others)
{
  for (const Count *other = others->by_organisation; other; other = other->hh.next)
    lc_usage_counts_add_requests (counts, other->organisation, other->requests);
}

int64_t
lc_usage_counts_get_requests (const LcUsageCounts *counts, const char *organisation)
{
  const Count *count = find_request_count (counts, organisation);

  return count ? count->requests : 0;
}

bool
lc_usage_counts_add_text (LcUsageCounts *counts, const char *text, LbError *error)
{
  struct json_object *object = json_tokener_parse (text);
  bool ok = json_object_is_type (object, json_type_object);

  if (!ok)
    lb_error_set (error, LB_ERROR_BAD_JSON, "usage",
                  "expected an object of counts by organisation");
  else
    {
      json_object_object_foreach (object, name, value)
      {
        lc_usage_counts_add_requests (counts, name, json_object_get_int64 (value));
      }
    }
  json_object_put (object);
  return ok;
}

static int
compare_organisation_names (const Count *a, const Count *b)
{
  return strcmp (a->organisation, b->organisation);
}

char *
lc_usage_counts_to_text (LcUsageCounts *counts)
{
  struct json_object *object = json_object_new_object ();

  HASH_SRT (hh, counts->by_organisation, compare_organisation_names);
  for (const Count *count = counts->by_organisation; count; count = count->hh.next)
    json_object_object_add (object, count->organisation, json_object_new_int64 (count->requests));
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
}

/* --- request counts of one instance, by time window --- */

LcUsage *
lc_usage_new (int64_t window_ms)
{
  LcUsage *usage = LB_NEW (LcUsage);

  usage->window_ms = window_ms;
  lb_list_init (&usage->windows);
  return usage;
}

static void
remove_window (LcUsage *usage, Window *window)
{
  lb_list_remove (&usage->windows, &window->link);
  lc_usage_counts_free (window->counts);
  free (window);
}

void
lc_usage_free (LcUsage *usage)
{
  if (!usage)
    return;
  LB_LIST_FOREACH (&usage->windows, Window, link, window)
  {
    remove_window (usage, window);
  }
  free (usage);
}

static Window *
find_window (const LcUsage *usage, int64_t window_number)
{
  LB_LIST_FOREACH (&usage->windows, Window, link, window)
  {
    if (window->number == window_number)
      return window;
  }
  return NULL;
}

void
lc_usage_count_request (LcUsage *usage, const char *organisation, int64_t true_ms)
{
  int64_t window_number = true_ms / usage->window_ms;
  Window *window = find_window (usage, window_number);

  if (!window)
    {
      window = LB_NEW (Window);
      window->number = window_number;
      window->counts = lc_usage_counts_new ();
      lb_list_append (&usage->windows, &window->link);
    }
  lc_usage_counts_add_requests (window->counts, organisation, 1);
  window->changed = true;
}

bool
lc_usage_next_row (LcUsage *usage, LbTime period, LbTime now, LcUsageRow *row)
{
  LB_LIST_FOREACH (&usage->windows, Window, link, window)
  {
    if (!window->changed || window->is_being_written || now < window->next_row_at)
      continue;
    window->changed = false;
    window->is_being_written = true;
    window->next_row_at = now + period;
    row->window = window->number;
    row->text = lc_usage_counts_to_text (window->counts);
    return true;
  }
  return false;
}

void
lc_usage_row_write_completed (LcUsage *usage, int64_t window_number, bool ok)
{
  Window *window = find_window (usage, window_number);

  if (!window)
    return;
  window->is_being_written = false;
  window->changed |= !ok;
}

void
lc_usage_remove_windows_before (LcUsage *usage, int64_t first_kept)
{
  LB_LIST_FOREACH (&usage->windows, Window, link, window)
  {
    if (window->number < first_kept && !window->is_being_written)
      remove_window (usage, window);
  }
}

bool
lc_usage_is_fully_written (const LcUsage *usage)
{
  LB_LIST_FOREACH (&usage->windows, Window, link, window)
  {
    if (window->changed || window->is_being_written)
      return false;
  }
  return true;
}

#include "ln-endpoint-list.h"

#include "ln-dialect.h"
#include "ln-row-cache.h"
#include "ln-unreadable-rows.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lp-platform.h"

#include <stdlib.h>
#include <string.h>

struct LnEndpointList
{
  LnContext *context;
  LnEndpointListHandlers handlers;
  void *user;
  LnRowCacheClass row_class;
  LnRowCache *row_cache;
  LnUnreadableRows *unreadable_rows;
  LcSubset *subset;
  LcDesired *desired; /* desired state of the services; NULL: not known yet */
  bool is_in_progress;
  LbTime requested_at;
  int64_t page_size;
  size_t n_pages;
  size_t logged_pages;           /* number of pages of the list that was last logged */
  LcRegistration *registrations; /* endpoints parsed so far of the list in progress */
  size_t n_registrations;
  size_t capacity;
};

static bool
parse_endpoint_row (const LpRow *row, void *parsed, LbError *error, void *user)
{
  const LnEndpointList *list = user;

  return list->context->dialect->parse_registration (row->key, row->value, parsed, error);
}

LnEndpointList *
ln_endpoint_list_new (LnContext *context, const LnEndpointListHandlers *handlers, void *user)
{
  LnEndpointList *list = LB_NEW (LnEndpointList);

  list->context = context;
  list->handlers = *handlers;
  list->user = user;
  list->row_class
      = (LnRowCacheClass){ .size = sizeof (LcRegistration),
                           .parse = parse_endpoint_row,
                           .counter_prefix = context->dialect->registration_counter_prefix };
  list->row_cache = ln_row_cache_new (&list->row_class, list);
  list->unreadable_rows = ln_unreadable_rows_new ();
  list->subset = lc_subset_new ();
  return list;
}

void
ln_endpoint_list_free (LnEndpointList *list)
{
  ln_unreadable_rows_free (list->unreadable_rows);
  ln_row_cache_free (list->row_cache);
  lc_subset_free (list->subset);
  lc_desired_unref (list->desired);
  free (list->registrations);
  free (list);
}

void
ln_endpoint_list_set_desired_state (LnEndpointList *list, LcDesired *desired)
{
  lc_desired_unref (list->desired);
  list->desired = lc_desired_ref (desired);
  lc_subset_clear_required_services (list->subset);
  for (size_t i = 0; i < desired->n_services; i++)
    lc_subset_add_required_service (list->subset, desired->services[i].name);
}

/* Parses the row, and rejects an endpoint whose service is not in the desired state: no route leads
 * to the endpoint, but if it is an engine, it would be given weights and samples. Until the desired
 * state is known, no endpoint is rejected. */
static const LcRegistration *
parse_registration_of_desired_service (LnEndpointList *list, const LpRow *row, LbError *error)
{
  const LcRegistration *registration = ln_row_cache_get_content (list->row_cache, row, error);

  if (!registration || !list->desired
      || lc_desired_find_service (list->desired, registration->service))
    return registration;
  lb_error_set (error, LB_ERROR_UNKNOWN_SERVICE, row->key, "no such service: %s",
                registration->service);
  return NULL;
}

static void
append_registration (LnEndpointList *list, const LcRegistration *registration)
{
  if (list->n_registrations == list->capacity)
    {
      list->capacity = list->capacity > 0 ? 2 * list->capacity : 64;
      list->registrations
          = lb_realloc (list->registrations, list->capacity * sizeof *list->registrations);
    }
  list->registrations[list->n_registrations++] = *registration;
}

static void
add_endpoint_of_row (LnEndpointList *list, const LpRow *row)
{
  LbError error = { 0 };
  const LcRegistration *registration = parse_registration_of_desired_service (list, row, &error);

  if (!registration)
    {
      ln_unreadable_rows_log_once (list->unreadable_rows, row->key, &error);
      return;
    }
  const LcSubsetRow subset_row = { .service = registration->service,
                                   .n_models = registration->n_models,
                                   .slots = registration->slots,
                                   .leaving = registration->leaving };
  if (lc_subset_add_row (list->subset, row->key, &subset_row))
    append_registration (list, registration);
}

static void
finish_endpoint_list (LnEndpointList *list)
{
  ln_unreadable_rows_end_list (list->unreadable_rows);
  ln_row_cache_end_list (list->row_cache);
  list->is_in_progress = false;
  if (list->n_pages != list->logged_pages)
    lb_log (LB_LOG_INFO, "endpoint_pages", LB_INT ("pages", list->n_pages),
            LB_INT ("before", list->logged_pages), LB_INT ("known", list->n_registrations));
  list->logged_pages = list->n_pages;
  list->handlers.on_listed (list->registrations, list->n_registrations, list->requested_at,
                            list->user);
}

static void request_endpoint_page (LnEndpointList *list, const char *after);

static void
on_endpoint_page_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnEndpointList *list = user;
  const char *last = n_rows > 0 ? rows[n_rows - 1].key : "";
  bool is_last = (int64_t)n_rows < list->page_size;

  if (error != LB_OK)
    {
      lb_log (LB_LOG_DEBUG, "endpoints_not_listed", LB_TEXT ("error", lb_error_name (error)));
      list->is_in_progress = false;
      list->handlers.on_failed (list->user);
      return;
    }
  list->n_pages++;
  for (size_t i = 0; i < n_rows; i++)
    add_endpoint_of_row (list, &rows[i]);
  if (lc_subset_end_page (list->subset, last, is_last))
    request_endpoint_page (list, last);
  else
    finish_endpoint_list (list);
}

/* Requests the page of endpoint rows that follows the key `after`; "": the first page. */
static void
request_endpoint_page (LnEndpointList *list, const char *after)
{
  LpPlatform *platform = list->context->platform;
  const char *prefix = list->context->dialect->endpoint_key_prefix;
  char *from = after[0] ? lb_asprintf ("%s\x01", after + strlen (prefix)) : NULL;

  platform->klass->list (platform, prefix, from, list->page_size, on_endpoint_page_listed, list);
  free (from);
}

void
ln_endpoint_list_request (LnEndpointList *list, LbTime now)
{
  list->is_in_progress = true;
  list->requested_at = now;
  list->page_size = lc_subset_page_size (list->subset);
  list->n_registrations = 0;
  ln_unreadable_rows_begin_list (list->unreadable_rows);
  ln_row_cache_begin_list (list->row_cache);
  lc_subset_begin_list (list->subset, now);
  list->n_pages = 0;
  request_endpoint_page (list, "");
}

bool
ln_endpoint_list_is_in_progress (const LnEndpointList *list)
{
  return list->is_in_progress;
}

LbTime
ln_endpoint_list_get_request_time (const LnEndpointList *list)
{
  return list->requested_at;
}

LcSubset *
ln_endpoint_list_get_subset (LnEndpointList *list)
{
  return list->subset;
}

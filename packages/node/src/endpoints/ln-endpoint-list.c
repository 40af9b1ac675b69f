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
  LnRowCacheClass rows_class;
  LnRowCache *rows;
  LnUnreadableRows *unreadable;
  LcSubset *subset;
  LcDesired *desired; /* NULL: not known yet */
  bool is_asked;
  LbTime asked_at;
  int64_t page_size;
  size_t n_pages;
  size_t told_pages;      /* in the log */
  LcRegistration *listed; /* of the pages so far */
  size_t n_listed;
  size_t capacity;
};

static bool
read_row (const LpRow *row, void *content, LbError *error, void *user)
{
  const LnEndpointList *list = user;

  return list->context->dialect->read_listed (row->key, row->value, content, error);
}

LnEndpointList *
ln_endpoint_list_new (LnContext *context, const LnEndpointListHandlers *handlers, void *user)
{
  LnEndpointList *list = LB_NEW (LnEndpointList);

  list->context = context;
  list->handlers = *handlers;
  list->user = user;
  list->rows_class = (LnRowCacheClass){ .size = sizeof (LcRegistration),
                                        .parse = read_row,
                                        .counter_prefix = context->dialect->listed_count_mark };
  list->rows = ln_row_cache_new (&list->rows_class, list);
  list->unreadable = ln_unreadable_rows_new ();
  list->subset = lc_subset_new ();
  return list;
}

void
ln_endpoint_list_free (LnEndpointList *list)
{
  ln_unreadable_rows_free (list->unreadable);
  ln_row_cache_free (list->rows);
  lc_subset_free (list->subset);
  lc_desired_unref (list->desired);
  free (list->listed);
  free (list);
}

void
ln_endpoint_list_set_desired (LnEndpointList *list, LcDesired *desired)
{
  lc_desired_unref (list->desired);
  list->desired = lc_desired_ref (desired);
  lc_subset_clear_expected (list->subset);
  for (size_t i = 0; i < desired->n_services; i++)
    lc_subset_expect_service (list->subset, desired->services[i].name);
}

/* An endpoint of a service that the operators do not name serves no route, and an engine of it
 * would be given weights and texts. Before the routes are known nothing is ruled out. */
static const LcRegistration *
read_endpoint (LnEndpointList *list, const LpRow *row, LbError *error)
{
  const LcRegistration *listed = ln_row_cache_parse (list->rows, row, error);

  if (!listed || !list->desired || lc_desired_find_service (list->desired, listed->service))
    return listed;
  lb_error_set (error, LB_ERROR_UNKNOWN_SERVICE, row->key, "no such service: %s", listed->service);
  return NULL;
}

static void
keep (LnEndpointList *list, const LcRegistration *listed)
{
  if (list->n_listed == list->capacity)
    {
      list->capacity = list->capacity > 0 ? 2 * list->capacity : 64;
      list->listed = lb_realloc (list->listed, list->capacity * sizeof *list->listed);
    }
  list->listed[list->n_listed++] = *listed;
}

static void
take_row (LnEndpointList *list, const LpRow *row)
{
  LbError error = { 0 };
  const LcRegistration *listed = read_endpoint (list, row, &error);

  if (!listed)
    {
      ln_unreadable_rows_report (list->unreadable, row->key, &error);
      return;
    }
  const LcSubsetRow endpoint = { .service = listed->service,
                                 .n_models = listed->n_models,
                                 .slots = listed->slots,
                                 .leaving = listed->leaving };
  if (lc_subset_add_row (list->subset, row->key, &endpoint))
    keep (list, listed);
}

static void
finish (LnEndpointList *list)
{
  ln_unreadable_rows_end_list (list->unreadable);
  ln_row_cache_end_list (list->rows);
  list->is_asked = false;
  if (list->n_pages != list->told_pages)
    lb_log (LB_LOG_INFO, "endpoint_pages", LB_INT ("pages", list->n_pages),
            LB_INT ("before", list->told_pages), LB_INT ("known", list->n_listed));
  list->told_pages = list->n_pages;
  list->handlers.on_listed (list->listed, list->n_listed, list->asked_at, list->user);
}

static void ask_page (LnEndpointList *list, const char *after);

static void
on_page (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnEndpointList *list = user;
  const char *last = n_rows > 0 ? rows[n_rows - 1].key : "";
  bool is_last = (int64_t)n_rows < list->page_size;

  if (error != LB_OK)
    {
      lb_log (LB_LOG_DEBUG, "endpoints_not_listed", LB_TEXT ("error", lb_error_name (error)));
      list->is_asked = false;
      list->handlers.on_failed (list->user);
      return;
    }
  list->n_pages++;
  for (size_t i = 0; i < n_rows; i++)
    take_row (list, &rows[i]);
  if (lc_subset_end_page (list->subset, last, is_last))
    ask_page (list, last);
  else
    finish (list);
}

/* after: the last key of the page before; "": the first page. */
static void
ask_page (LnEndpointList *list, const char *after)
{
  LpPlatform *platform = list->context->platform;
  const char *prefix = list->context->dialect->endpoint_rows;
  char *from = after[0] ? lb_asprintf ("%s\x01", after + strlen (prefix)) : NULL;

  platform->klass->list (platform, prefix, from, list->page_size, on_page, list);
  free (from);
}

void
ln_endpoint_list_request (LnEndpointList *list, LbTime now)
{
  list->is_asked = true;
  list->asked_at = now;
  list->page_size = lc_subset_page_size (list->subset);
  list->n_listed = 0;
  ln_unreadable_rows_begin_list (list->unreadable);
  ln_row_cache_begin_list (list->rows);
  lc_subset_begin_list (list->subset, now);
  list->n_pages = 0;
  ask_page (list, "");
}

bool
ln_endpoint_list_is_in_progress (const LnEndpointList *list)
{
  return list->is_asked;
}

LbTime
ln_endpoint_list_requested_at (const LnEndpointList *list)
{
  return list->asked_at;
}

LcSubset *
ln_endpoint_list_subset (LnEndpointList *list)
{
  return list->subset;
}

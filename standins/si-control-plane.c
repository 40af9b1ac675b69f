#include "si-control-plane.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

static SiUsageReport *
find_usage_report (SiControlPlane *control_plane, int64_t window_sequence)
{
  for (size_t i = 0; i < control_plane->n_reports; i++)
    if (control_plane->reports[i].window_sequence == window_sequence)
      return &control_plane->reports[i];
  return NULL;
}

static void
record_usage_report (SiControlPlane *control_plane,
                     const char *duty_holder,
                     struct json_object *body)
{
  int64_t window_sequence = si_json_get_int (body, "windowSeq", -1);
  struct json_object *counts = NULL;
  SiUsageReport *report = find_usage_report (control_plane, window_sequence);

  json_object_object_get_ex (body, "counts", &counts);
  const char *counts_json = json_object_to_json_string_ext (counts, JSON_C_TO_STRING_PLAIN);
  if (report)
    {
      control_plane->conflicting_reports += strcmp (report->counts, counts_json) != 0;
      return;
    }
  if (control_plane->n_reports == SI_MAX_USAGE_REPORTS)
    return;
  report = &control_plane->reports[control_plane->n_reports++];
  report->window_sequence = window_sequence;
  report->counts = lb_strdup (counts_json);
  LB_COPY (report->duty_holder, duty_holder);
}

static void
record_scale_order (SiControlPlane *control_plane, struct json_object *body)
{
  SiScaleOrder *order = &control_plane->orders[control_plane->n_orders++ % SI_MAX_SCALE_ORDERS];

  LB_COPY (order->service, si_json_get_text (body, "service", ""));
  LB_COPY (order->data_centre, si_json_get_text (body, "zone", ""));
  order->endpoints = si_json_get_int (body, "targetGroups", -1);
  order->is_spot = si_json_get_bool (body, "spot", false);
}

/* Counts the call and returns the HTTP status of its reply: 429 in mode BUSY, 409 if the fencing
 * token is outdated, otherwise 200. */
static int
count_call_and_get_reply_status (SiControlPlane *control_plane,
                                 const char *duty_holder,
                                 const char *fence_text)
{
  int64_t fence = fence_text ? atoll (fence_text) : -1;

  control_plane->calls++;
  control_plane->unidentified_calls += !duty_holder || fence < 0;
  if (control_plane->mode == SI_CONTROL_PLANE_BUSY)
    return 429;
  if (fence < control_plane->last_fence)
    {
      control_plane->stale_calls++;
      return 409;
    }
  control_plane->last_fence = fence;
  return 200;
}

static void
on_control_plane_request (struct evhttp_request *request, void *user)
{
  SiControlPlane *control_plane = user;
  const char *duty_holder = si_request_get_header (request, "Duty-Holder");
  int status = count_call_and_get_reply_status (control_plane, duty_holder,
                                                si_request_get_header (request, "Fence-Token"));
  struct json_object *body = si_request_parse_body (request);

  if (status == 200 && si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/usage"))
    record_usage_report (control_plane, duty_holder ? duty_holder : "", body);
  else if (status == 200 && si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/scale"))
    record_scale_order (control_plane, body);
  json_object_put (body);
  if (control_plane->mode == SI_CONTROL_PLANE_LOSES_REPLY)
    si_request_close_connection (request);
  else
    evhttp_send_reply (request, status, NULL, NULL);
}

bool
si_control_plane_init (SiControlPlane *control_plane, struct event_base *base)
{
  memset (control_plane, 0, sizeof *control_plane);
  return si_server_init (&control_plane->server, base, 0, on_control_plane_request, control_plane);
}

void
si_control_plane_clear (SiControlPlane *control_plane)
{
  for (size_t i = 0; i < control_plane->n_reports; i++)
    free (control_plane->reports[i].counts);
  si_server_clear (&control_plane->server);
}

int64_t
si_control_plane_count_reported_requests (const SiControlPlane *control_plane,
                                          const char *organisation)
{
  int64_t n_requests = 0;

  for (size_t i = 0; i < control_plane->n_reports; i++)
    {
      struct json_object *counts = json_tokener_parse (control_plane->reports[i].counts);
      n_requests += si_json_get_int (counts, organisation, 0);
      json_object_put (counts);
    }
  return n_requests;
}

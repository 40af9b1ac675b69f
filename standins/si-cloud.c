#include "si-cloud.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

static SiReport *
find_report (SiCloud *cloud, int64_t window)
{
  for (size_t i = 0; i < cloud->n_reports; i++)
    if (cloud->reports[i].window == window)
      return &cloud->reports[i];
  return NULL;
}

static void
take_report (SiCloud *cloud, const char *holder, struct json_object *body)
{
  int64_t window = si_json_int (body, "windowSeq", -1);
  struct json_object *counts = NULL;
  SiReport *report = find_report (cloud, window);

  json_object_object_get_ex (body, "counts", &counts);
  const char *text = json_object_to_json_string_ext (counts, JSON_C_TO_STRING_PLAIN);
  if (report)
    {
      cloud->differing += strcmp (report->counts, text) != 0;
      return;
    }
  if (cloud->n_reports == SI_MAX_REPORTS)
    return;
  report = &cloud->reports[cloud->n_reports++];
  report->window = window;
  report->counts = lb_strdup (text);
  LB_COPY (report->holder, holder);
}

static void
take_order (SiCloud *cloud, struct json_object *body)
{
  SiScaleOrder *order = &cloud->orders[cloud->n_orders++ % SI_MAX_ORDERS];

  LB_COPY (order->service, si_json_text (body, "service", ""));
  LB_COPY (order->data_centre, si_json_text (body, "zone", ""));
  order->endpoints = si_json_int (body, "targetGroups", -1);
  order->is_spot = si_json_bool (body, "spot", false);
}

static int
judge (SiCloud *cloud, const char *holder, const char *fence)
{
  int64_t number = fence ? atoll (fence) : -1;

  cloud->calls++;
  cloud->without_one += !holder || number < 0;
  if (cloud->mode == SI_CLOUD_BUSY)
    return 429;
  if (number < cloud->last_fence)
    {
      cloud->stale++;
      return 409;
    }
  cloud->last_fence = number;
  return 200;
}

static void
on_request (struct evhttp_request *request, void *user)
{
  SiCloud *cloud = user;
  const char *holder = si_request_header (request, "Duty-Holder");
  int status = judge (cloud, holder, si_request_header (request, "Fence-Token"));
  struct json_object *body = si_request_json (request);

  if (status == 200 && si_request_is (request, EVHTTP_REQ_POST, "/usage"))
    take_report (cloud, holder ? holder : "", body);
  else if (status == 200 && si_request_is (request, EVHTTP_REQ_POST, "/scale"))
    take_order (cloud, body);
  json_object_put (body);
  if (cloud->mode == SI_CLOUD_LOSES_REPLY)
    si_reply_drop (request);
  else
    evhttp_send_reply (request, status, NULL, NULL);
}

bool
si_cloud_init (SiCloud *cloud, struct event_base *base)
{
  memset (cloud, 0, sizeof *cloud);
  return si_server_init (&cloud->server, base, 0, on_request, cloud);
}

void
si_cloud_clear (SiCloud *cloud)
{
  for (size_t i = 0; i < cloud->n_reports; i++)
    free (cloud->reports[i].counts);
  si_server_clear (&cloud->server);
}

int64_t
si_cloud_requests_of (const SiCloud *cloud, const char *organisation)
{
  int64_t n = 0;

  for (size_t i = 0; i < cloud->n_reports; i++)
    {
      struct json_object *counts = json_tokener_parse (cloud->reports[i].counts);
      n += si_json_int (counts, organisation, 0);
      json_object_put (counts);
    }
  return n;
}

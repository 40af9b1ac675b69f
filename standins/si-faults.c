#include "si-faults.h"

#include "lb-alloc.h"
#include "si-server.h"

#include <string.h>

static const char *const fault_mode_names[SI_N_FAULTS] = {
  [SI_FAULT_CRASH] = "crash",
  [SI_FAULT_REFUSE] = "refuse",
  [SI_FAULT_BREAK] = "break",
  [SI_FAULT_HANG] = "hang",
  [SI_FAULT_OMIT_VERSION] = "omit_version",
  [SI_FAULT_CONTRADICT] = "contradict",
  [SI_FAULT_FAIL_SWAP] = "fail_swap",
  [SI_FAULT_SLOW] = "slow",
  [SI_FAULT_LEAVING] = "leaving",
  [SI_FAULT_LOSE_REPLY] = "lose_reply",
  [SI_FAULT_DOWN] = "down",
  [SI_FAULT_BUSY] = "busy",
};

bool
si_faults_set (SiFaults *faults, struct json_object *settings)
{
  const char *mode = si_json_get_text (settings, "mode", "");

  if (strcmp (mode, "none") == 0)
    {
      memset (faults, 0, sizeof *faults);
      return true;
    }
  for (int i = 0; i < SI_N_FAULTS; i++)
    if (strcmp (fault_mode_names[i], mode) == 0)
      {
        faults->faults[i] = (SiFault){ .remaining = si_json_get_int (settings, "count", -1),
                                       .tokens = si_json_get_int (settings, "tokens", 0),
                                       .delay = si_json_get_int (settings, "ms", 0) * LB_MSEC };
        LB_COPY (faults->faults[i].path_prefix, si_json_get_text (settings, "path", ""));
        return true;
      }
  return false;
}

void
si_faults_set_from_request (SiFaults *faults, struct evhttp_request *request)
{
  struct json_object *settings = si_request_parse_body (request);

  if (settings && si_faults_set (faults, settings))
    si_reply_json (request, 200, json_object_new_object ());
  else
    si_reply_error (request, 400, "bad_value");
  json_object_put (settings);
}

bool
si_faults_is_on (const SiFaults *faults, SiFaultMode mode)
{
  return faults->faults[mode].remaining != 0;
}

bool
si_faults_consume_occurrence (SiFaults *faults, SiFaultMode mode)
{
  SiFault *fault = &faults->faults[mode];

  if (fault->remaining == 0)
    return false;
  if (fault->remaining > 0)
    fault->remaining--;
  return true;
}

bool
si_faults_consume_occurrence_at_path (SiFaults *faults, SiFaultMode mode, const char *path)
{
  const char *path_prefix = faults->faults[mode].path_prefix;

  return strncmp (path, path_prefix, strlen (path_prefix)) == 0
         && si_faults_consume_occurrence (faults, mode);
}

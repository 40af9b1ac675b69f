#include "si-run-log.h"

#include "lb-alloc.h"
#include "si-json.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct SiRunCount
{
  UT_hash_handle hh;
  char *key;
  int64_t runs;
};

void
si_run_log_clear (SiRunLog *log)
{
  SiRunCount *count, *next;

  HASH_ITER (hh, log->counts, count, next)
  {
    HASH_DEL (log->counts, count);
    free (count->key);
    free (count);
  }
}

int64_t
si_run_log_count_execution (SiRunLog *log, const char *key)
{
  SiRunCount *count = NULL;

  log->started++;
  HASH_FIND_STR (log->counts, key, count);
  if (!count)
    {
      count = LB_NEW (SiRunCount);
      count->key = lb_strdup (key);
      HASH_ADD_KEYPTR (hh, log->counts, count->key, strlen (count->key), count);
    }
  return ++count->runs;
}

struct json_object *
si_run_log_to_json (const SiRunLog *log)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *runs = json_object_new_object ();

  for (const SiRunCount *count = log->counts; count; count = count->hh.next)
    si_json_set_int (runs, count->key, count->runs);
  json_object_object_add (object, "runs", runs);
  si_json_set_int (object, "started", log->started);
  si_json_set_int (object, "finished", log->finished);
  si_json_set_int (object, "cancelled", log->cancelled);
  si_json_set_int (object, "refused", log->refused);
  si_json_set_int (object, "resumed", log->resumed);
  si_json_set_int (object, "resume_mismatches", log->resume_mismatches);
  return object;
}

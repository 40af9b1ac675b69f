#include "pt-shared.h"

#include "si-raw-endpoint.h"

#include "lb-clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_ITEMS 24
/* AddressSanitizer keeps up to 256 MB of freed memory and a shadow of all memory. */
#ifdef __SANITIZE_ADDRESS__
#define MACHINE_MEMORY_MB (256 + 512)
#else
#define MACHINE_MEMORY_MB 256
#endif

static void
start_cluster_with_raw_endpoint (PsCluster *cluster, SiRawEndpoint *raw, const char *reply)
{
  ps_cluster_init (cluster);
  cr_assert (si_raw_endpoint_init (raw, cluster->base, &cluster->store, "i-raw"));
  raw->reply = reply;
}

static void
clear_cluster_with_raw_endpoint (PsCluster *cluster, SiRawEndpoint *raw)
{
  si_raw_endpoint_clear (raw);
  ps_cluster_clear (cluster);
}

/* Runs a batch at three sound engines and a fourth one that answers with the bytes of `raw`.
 * Asserts that the fourth engine was asked and that all items are listed with complete texts. */
static void
assert_batch_is_complete_beside (PsCluster *cluster, SiRawEndpoint *raw)
{
  si_raw_endpoint_register (raw, "engines", "m", 8);
  ps_start_instance (cluster);
  ps_submit_batch (cluster, 0, "b1", N_ITEMS);
  cr_assert_eq (cluster->response_status, 202);
  PS_WAIT_UNTIL (cluster, ps_count_results_on_first_page (cluster, 0, "b1") == N_ITEMS);
  cr_assert_gt (raw->n_requests, 0, "expected the engine that breaks off to be asked");
  ps_assert_each_item_has_one_result (cluster, 0, "b1", N_ITEMS);
}

#define STREAM_HEAD                                                                                \
  "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1"   \
  "\r\n"

/* An engine whose answers end with their connection crashes in the middle of an event. The text so
 * far must not be listed as complete, but go on at another engine. */
Test (answers, a_stream_that_ends_inside_an_event_is_resumed)
{
  static const char *const replies[] = {
    STREAM_HEAD "\r\nid: 1\ndata: %ID%.1\n\nid: 2\ndata: %I",
    STREAM_HEAD "\r\nid: 1\ndata: %ID%.1\n\nid: 2\ndata: %ID%.2\n",
    STREAM_HEAD "\r\nid: 1\ndata: %ID%.1\n\nid: 2\n",
    STREAM_HEAD "\r\nid: 1\ndata: %ID%.1\n\nweight-versions: 1\n",
    STREAM_HEAD "\r\nid: 1\ndata: %ID%.1\n\ni",
    STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\n8\r\nid: 1\nda\r\n0\r\n\r\n",
  };

  for (size_t i = 0; i < sizeof replies / sizeof replies[0]; i++)
    {
      PsCluster cluster;
      SiRawEndpoint raw;
      start_cluster_with_raw_endpoint (&cluster, &raw, replies[i]);
      assert_batch_is_complete_beside (&cluster, &raw);
      clear_cluster_with_raw_endpoint (&cluster, &raw);
    }
}

/* A plain service streams events to a caller, with no length, and crashes in the middle of one. The
 * caller must not get the part before as a complete answer. */
Test (answers, a_reply_of_events_that_ends_inside_one_is_no_answer)
{
  PsCluster cluster;
  SiRawEndpoint raw;

  start_cluster_with_raw_endpoint (&cluster, &raw,
                                   STREAM_HEAD
                                   "Server-Stamp: s\r\n\r\nid: 1\ndata: a\n\nid: 2\nda");
  ps_put_desired_state (&cluster, 1,
                        ", {\"name\": \"live\", \"host\": \"h.example\", \"prefix\": \"/live/\","
                        " \"kind\": \"streaming\", \"timeoutMs\": 20000, \"service\": \"others\","
                        " \"attempts\": 1}");
  si_raw_endpoint_register (&raw, "others", "", 8);
  ps_start_instance (&cluster);
  ps_call_and_wait (&cluster, 0, "POST", "/live/1", "c1", "hello");
  cr_assert_eq (cluster.response_status, 502, "got status %d: %s", cluster.response_status,
                cluster.response_body);
  raw.reply = STREAM_HEAD "Server-Stamp: s\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  ps_call_and_wait (&cluster, 0, "POST", "/live/1", "c2", "hello");
  cr_assert_eq (cluster.response_status, 200);
  cr_assert_str_eq (cluster.response_body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  clear_cluster_with_raw_endpoint (&cluster, &raw);
}

#define LIVE_ROUTE                                                                                 \
  ", {\"name\": \"live\", \"host\": \"h.example\", \"prefix\": \"/live/\", \"kind\": \"safe\","    \
  " \"timeoutMs\": 5000, \"service\": \"others\", \"attempts\": 1}"

/* An endpoint in trouble answers with a status line that is none. The caller must not get it as an
 * answer, nor anything that bears the endpoint's signature. */
Test (answers, a_status_that_is_none_is_no_answer)
{
  static const char *const statuses[]
      = { "000", "0",   "00200", "12",  "99",  "-12", "+200", "20",    "2000",  "1000",
          "600", "999", "200x",  "2 0", "101", "103", "199",  "\t200", "0x0c8", "" };
  PsCluster cluster;
  SiRawEndpoint raw;
  char reply[256];
  char id[16];

  start_cluster_with_raw_endpoint (&cluster, &raw, "");
  ps_put_desired_state (&cluster, 1, LIVE_ROUTE);
  si_raw_endpoint_register (&raw, "others", "", 8);
  ps_start_instance (&cluster);
  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      snprintf (id, sizeof id, "c%zu", i);
      snprintf (reply, sizeof reply,
                "HTTP/1.1 %s OK\r\nAttempt-Id: %%ID%%\r\nServer-Stamp: s\r\n"
                "Content-Length: 2\r\n\r\nok",
                statuses[i]);
      raw.reply = reply;
      int n_before = raw.n_requests;
      ps_call_and_wait (&cluster, 0, "POST", "/live/1", id, "hello");
      cr_expect (cluster.response_status == 502 || cluster.response_status == 503,
                 "status \"%s\" reached the caller as %d", statuses[i], cluster.response_status);
      cr_expect_str_eq (cluster.server_stamp, "", "status \"%s\" has the endpoint's signature",
                        statuses[i]);
      cr_expect (raw.n_requests > n_before || cluster.response_status == 503,
                 "expected 503 only if the endpoint was not asked");
    }
  clear_cluster_with_raw_endpoint (&cluster, &raw);
}

/* Engines and scorers answer with a status that is none. Their events and scores must not be used:
 * every item is listed with the text and score of sound endpoints. */
Test (answers, items_use_no_answer_whose_status_is_none)
{
  static const char *const services[][2] = { { "engines", "m" }, { "lookups", "" } };

  for (size_t i = 0; i < 2; i++)
    {
      PsCluster cluster;
      SiRawEndpoint raw;
      start_cluster_with_raw_endpoint (&cluster, &raw,
                                       "HTTP/1.1 0200 OK\r\nAttempt-Id: %ID%\r\nServer-Stamp: false"
                                       "\r\nContent-Length: 19\r\n\r\nid: 1\ndata: false\n\n");
      si_raw_endpoint_register (&raw, services[i][0], services[i][1], 8);
      ps_start_instance (&cluster);
      ps_submit_batch (&cluster, 0, "b1", N_ITEMS);
      PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == N_ITEMS);
      cr_assert_gt (raw.n_requests, 0);
      ps_assert_each_item_has_one_result (&cluster, 0, "b1", N_ITEMS);
      clear_cluster_with_raw_endpoint (&cluster, &raw);
    }
}

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* An engine in trouble sends bytes without end, fast or slowly, in the head or the body of its
 * answer. The instance must close the connection, and each item must be listed with the text of a
 * sound engine. */
Test (answers, bytes_without_end_from_an_engine_do_not_hold_items)
{
  static const struct
  {
    const char *reply;
    const char *filler;
    SiRawEnd end;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nX: ", "a", SI_RAW_REPEAT },
    { "HTTP/1.1 200 OK\r\n", "X: 1\r\n", SI_RAW_TRICKLE },
    { STREAM_HEAD "\r\n", "a", SI_RAW_REPEAT },
    { STREAM_HEAD "\r\n", "\n", SI_RAW_REPEAT },
    { STREAM_HEAD "\r\n", ": comment\n", SI_RAW_TRICKLE },
    { STREAM_HEAD "\r\nid: 1\ndata: %ID%.1\n\n", "a", SI_RAW_TRICKLE },
    { STREAM_HEAD "\r\n", "id: 1\ndata: x\n\n", SI_RAW_TRICKLE },
    { STREAM_HEAD CHUNKED, "0", SI_RAW_REPEAT },
    { STREAM_HEAD CHUNKED "5", ";x", SI_RAW_TRICKLE },
    { "HTTP/1.1 500 E\r\nAttempt-Id: %ID%\r\n\r\n", "a", SI_RAW_REPEAT },
    { "HTTP/1.1 503 E\r\nNot-Run: 1\r\n" CHUNKED, "1\r\na\r\n", SI_RAW_TRICKLE },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      PsCluster cluster;
      SiRawEndpoint raw;
      start_cluster_with_raw_endpoint (&cluster, &raw, cases[i].reply);
      raw.filler = cases[i].filler;
      raw.end = cases[i].end;
      si_raw_endpoint_register (&raw, "engines", "m", 8);
      ps_start_instance (&cluster);
      ps_submit_batch (&cluster, 0, "b1", N_ITEMS);
      PS_WAIT_UNTIL (&cluster, raw.n_requests > 0);
      LbTime end = lb_clock_monotonic () + 20 * LB_SEC;
      while (ps_count_results_on_first_page (&cluster, 0, "b1") < N_ITEMS
             && lb_clock_monotonic () < end)
        ps_run_event_loop_once (&cluster);
      cr_expect_eq (ps_count_results_on_first_page (&cluster, 0, "b1"), N_ITEMS,
                    "items wait at the engine of case %zu", i);
      PS_WAIT_UNTIL (&cluster, lb_list_is_empty (&raw.connections)
                                   || lb_clock_monotonic () > end + 10 * LB_SEC);
      cr_expect (lb_list_is_empty (&raw.connections), "case %zu is still read", i);
      clear_cluster_with_raw_endpoint (&cluster, &raw);
    }
}

/* Returns the peak of the instance's resident memory in MiB. */
static long
read_peak_memory_mb (const PsCluster *cluster)
{
  char path[64];
  char line[128];
  long kb = 0;

  snprintf (path, sizeof path, "/proc/%d/status", (int)cluster->instances[0].process.pid);
  FILE *file = fopen (path, "r");
  cr_assert (file);
  while (fgets (line, sizeof line, file))
    if (strncmp (line, "VmHWM:", 6) == 0)
      kb = strtol (line + 6, NULL, 10);
  fclose (file);
  return kb / 1024;
}

/* Endpoints of a plain service answer ten calls at once with bodies without end. The calls must
 * fail, and their bytes must not fill the memory of the instance. */
Test (answers, bodies_without_end_do_not_fill_the_memory)
{
  PsCluster cluster;
  SiRawEndpoint raw;
  char id[16];

  start_cluster_with_raw_endpoint (&cluster, &raw, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n");
  raw.filler = "0123456789abcdef";
  raw.end = SI_RAW_REPEAT;
  ps_put_desired_state (&cluster, 1, LIVE_ROUTE);
  si_raw_endpoint_register (&raw, "others", "", 16);
  ps_start_instance (&cluster);
  for (int i = 0; i < 10; i++)
    {
      snprintf (id, sizeof id, "c%d", i);
      ps_start_call (&cluster, 0, "POST", "/live/1", id, "hello");
    }
  int n_before = cluster.n_responses;
  PS_WAIT_UNTIL (&cluster, cluster.n_responses >= n_before + 10);
  cr_assert_gt (raw.n_requests, 1);
  cr_assert_geq (cluster.response_status, 500);
  cr_assert_leq (read_peak_memory_mb (&cluster), MACHINE_MEMORY_MB, "peak of %ld MiB",
                 read_peak_memory_mb (&cluster));
  clear_cluster_with_raw_endpoint (&cluster, &raw);
}

/* A scorer fails five times, where its route allows six attempts. The item must be scored and
 * listed as completed, not be abandoned after fewer failures than the route allows. */
Test (answers, a_scorer_may_fail_as_often_as_its_route_allows)
{
  static const char failure[] = "HTTP/1.1 500 E\r\nAttempt-Id: %ID%\r\nContent-Length: 0\r\n\r\n";
  static const char answer[] = "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\nServer-Stamp: stamp-%ID%"
                               "\r\nContent-Length: 0\r\n\r\n";
  PsCluster cluster;
  SiRawEndpoint raw;

  start_cluster_with_raw_endpoint (&cluster, &raw, failure);
  raw.end = SI_RAW_KEEP_OPEN;
  ps_put_desired_state (
      &cluster, 1,
      ", {\"name\": \"scores\", \"host\": \"h.example\", \"prefix\": \"/lookup/s\","
      " \"kind\": \"safe\", \"timeoutMs\": 5000, \"service\": \"others\","
      " \"attempts\": 6}");
  si_raw_endpoint_register (&raw, "others", "", 8);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 1);
  PS_WAIT_UNTIL (&cluster, raw.n_requests >= 5);
  raw.reply = answer;
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 1);
  ps_assert_each_item_has_one_result (&cluster, 0, "b1", 1);
  clear_cluster_with_raw_endpoint (&cluster, &raw);
}

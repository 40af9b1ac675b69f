#include "pt-shared.h"

#include "si-raw-endpoint.h"

#include <criterion/criterion.h>

#define N_ITEMS 24

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

#include "lw-frame.h"
#include "lw-handshake.h"
#include "lw-message.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static LcInstance
make_instance (const char *name)
{
  LcInstance result = { .epoch = 1700000000000, .version = 3, .load = 250 };

  LB_COPY (result.name, name);
  LB_COPY (result.incarnation, "5f3a");
  LB_COPY (result.data_centre, "hall-a");
  LB_COPY (result.caller_address, "127.0.0.1:8080");
  LB_COPY (result.peer_address, "127.0.0.1:8081");
  return result;
}

static LwMessage
make_message (LwMessageType type, LcInstance *instances)
{
  LwMessage message = { .type = type,
                        .instance = instances[0],
                        .digest = UINT64_MAX,
                        .instances = instances,
                        .n_instances = 2,
                        .is_reply = true,
                        .origin_epoch = 9,
                        .sequence = 70000,
                        .is_broadcast = true,
                        .payload = "a\0b",
                        .payload_length = 3 };

  memset (message.nonce, 7, sizeof message.nonce);
  memset (message.mac, 9, sizeof message.mac);
  LB_COPY (message.origin, "i1");
  LB_COPY (message.topic, "config");
  return message;
}

Test (message, every_type_survives_encoding_and_decoding)
{
  LcInstance instances[] = { make_instance ("i1"), { .name = "i2", .state = LC_INSTANCE_DEAD } };

  for (int type = LW_HELLO; type < LW_N_MESSAGES; type++)
    {
      LwMessage message = make_message ((LwMessageType)type, instances);
      size_t length, reencoded_length;
      uint8_t *bytes = lw_message_encode (&message, &length);
      LwFrame frame;
      LwMessage decoded;

      cr_assert_eq (lw_frame_parse (bytes, length, LW_FRAME_MAX_BODY_BYTES, &frame, NULL),
                    LW_FRAME_COMPLETE);
      cr_assert_eq (frame.consumed, length);
      cr_assert (lw_message_decode (frame.body, frame.length, &decoded, NULL),
                 "encoded message of type %d was not decoded", type);
      uint8_t *reencoded = lw_message_encode (&decoded, &reencoded_length);
      cr_assert_eq (length, reencoded_length);
      cr_assert_eq (memcmp (bytes, reencoded, length), 0);
      for (size_t truncated_length = 0; truncated_length < length; truncated_length++)
        cr_assert_eq (lw_frame_parse (bytes, truncated_length, LW_FRAME_MAX_BODY_BYTES, &frame,
                                      NULL),
                      LW_FRAME_PARTIAL);
      lw_message_clear (&decoded);
      free (bytes);
      free (reencoded);
    }
}

/* An instance of another version connects, or a client of another protocol whose first four bytes
 * are a length of gigabytes: the reader would wait for ever and buffer all input. Both must be
 * refused from the header alone. */
Test (frame, wrong_version_and_size_are_refused_from_the_header_alone)
{
  uint8_t bytes[LW_FRAME_HEADER_BYTES];
  LbError error;
  LwFrame frame;

  lw_frame_write_header (bytes, 100);
  bytes[4]++;
  cr_assert_eq (lw_frame_parse (bytes, sizeof bytes, LW_FRAME_MAX_BODY_BYTES, &frame, &error),
                LW_FRAME_INVALID);
  cr_assert_eq (error.code, LB_ERROR_FRAME_VERSION);
  lw_frame_write_header (bytes, LW_FRAME_MAX_UNAUTHENTICATED_BODY_BYTES + 1);
  cr_assert_eq (lw_frame_parse (bytes, sizeof bytes, LW_FRAME_MAX_UNAUTHENTICATED_BODY_BYTES,
                                &frame, &error),
                LW_FRAME_INVALID);
  cr_assert_eq (error.code, LB_ERROR_FRAME_TOO_LARGE);
}

static long
read_peak_memory_kb (void)
{
  char line[256];
  long peak = 0;
  FILE *in = fopen ("/proc/self/status", "r");

  while (in && fgets (line, sizeof line, in))
    sscanf (line, "VmPeak: %ld", &peak);
  if (in)
    fclose (in);
  return peak;
}

static void
assert_body_refused_without_allocation (const uint8_t *body, size_t length)
{
  long peak_before_kb = read_peak_memory_kb ();
  LwMessage message;
  LbError error;

  cr_assert_not (lw_message_decode (body, length, &message, &error));
  cr_assert_eq (error.code, LB_ERROR_FRAME_GARBLED);
  cr_assert_lt (read_peak_memory_kb () - peak_before_kb, 1 << 18);
}

/* After a bit error or from a hostile client, a small frame may have an array header that claims
 * many million elements, or an array of as many one-byte elements. Decoding it would allocate
 * gigabytes, and the process would be killed for lack of memory. */
Test (message, false_element_counts_are_refused_without_allocation)
{
  static const uint8_t bodies[][8] = { { 0xdd, 0x0a, 0xaa, 0xaa, 0xaa, 0x05 },
                                       { 0x92, 0x06, 0xdd, 0x0a, 0xaa, 0xaa, 0xaa, 0x90 },
                                       { 0xdf, 0x05, 0xff, 0xff, 0xff, 0x01, 0x01 },
                                       { 0x92, 0x04, 0xc6, 0x7f, 0xff, 0xff, 0xff, 0x01 } };
  static const uint8_t array_header[] = { 0x92, 0x06, 0xdd, 0x00, 0x3d, 0x09, 0x00 };
  const size_t n_elements = 4000000;
  uint8_t *large_body = lb_malloc (n_elements + sizeof array_header);

  for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
    assert_body_refused_without_allocation (bodies[i], sizeof bodies[i]);
  memset (large_body, 1, n_elements + sizeof array_header);
  memcpy (large_body, array_header, sizeof array_header);
  assert_body_refused_without_allocation (large_body, n_elements + sizeof array_header);
  free (large_body);
}

/* Valid frames with random byte changes must be refused with FRAME_GARBLED or decoded as a message,
 * without a leak or a read beyond the end (checked by the sanitizers). */
Test (message, damaged_frames_are_refused_or_decoded)
{
  LcInstance instances[] = { make_instance ("i1"), { .name = "i2" } };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  size_t refused = 0;

  for (int round = 0; round < 20000; round++)
    {
      LwMessage message
          = make_message ((LwMessageType)(1 + round % (LW_N_MESSAGES - 1)), instances);
      size_t length;
      uint8_t *bytes = lw_message_encode (&message, &length);
      size_t body = gsl_rng_uniform_int (rng, length - LW_FRAME_HEADER_BYTES) + 1;
      LwMessage decoded;
      LbError error = { .code = LB_OK };

      for (int damage = 0; damage < 3; damage++)
        bytes[LW_FRAME_HEADER_BYTES + gsl_rng_uniform_int (rng, body)]
            = (uint8_t)gsl_rng_uniform_int (rng, 256);
      if (round % 2)
        body = length - LW_FRAME_HEADER_BYTES;
      if (lw_message_decode (bytes + LW_FRAME_HEADER_BYTES, body, &decoded, &error))
        lw_message_clear (&decoded);
      else
        refused += error.code == LB_ERROR_FRAME_GARBLED;
      free (bytes);
    }
  gsl_rng_free (rng);
  cr_assert_gt (refused, 10000);
}

typedef struct
{
  LwHandshake dialler;
  LwHandshake acceptor;
  LwMessage hello;
  LwMessage challenge;
  LwMessage proof;
  LwMessage no_message;
  LbError error;
} HandshakePair;

static void
handshake_pair_init (HandshakePair *pair, const char *dialler_key, const char *acceptor_key)
{
  uint8_t nonces[2][LW_NONCE_BYTES] = { { 1 }, { 2 } };
  LcInstance instances_of_ends[] = { make_instance ("i1"), make_instance ("i2") };

  memset (pair, 0, sizeof *pair);
  lw_handshake_init (&pair->dialler, true, dialler_key, &instances_of_ends[0], nonces[0]);
  lw_handshake_init (&pair->acceptor, false, acceptor_key, &instances_of_ends[1], nonces[1]);
  lw_handshake_build_hello (&pair->dialler, &pair->hello);
}

static bool
deliver_hello_to_acceptor (HandshakePair *pair)
{
  return lw_handshake_verify_and_answer_message (&pair->acceptor, &pair->hello, &pair->challenge,
                                                 &pair->error);
}

static bool
deliver_challenge_to_dialler (HandshakePair *pair)
{
  return lw_handshake_verify_and_answer_message (&pair->dialler, &pair->challenge, &pair->proof,
                                                 &pair->error);
}

static bool
deliver_proof_to_acceptor (HandshakePair *pair)
{
  return lw_handshake_verify_and_answer_message (&pair->acceptor, &pair->proof, &pair->no_message,
                                                 &pair->error);
}

Test (handshake, both_ends_learn_the_peers_instance)
{
  HandshakePair pair;

  handshake_pair_init (&pair, "key", "key");
  cr_assert (deliver_hello_to_acceptor (&pair) && deliver_challenge_to_dialler (&pair)
             && deliver_proof_to_acceptor (&pair));
  cr_assert (pair.dialler.done && pair.acceptor.done);
  cr_assert_str_eq (pair.dialler.peer.name, "i2");
  cr_assert_str_eq (pair.acceptor.peer.name, "i1");
}

/* An instance of another cluster, or one with an old cluster key, connects. If either end accepted
 * the other, two clusters would mix their members and configurations. The dialler must detect the
 * wrong key from the CHALLENGE; the acceptor from the PROOF, if the dialler sends one anyway. */
Test (handshake, different_key_is_refused_by_either_end)
{
  HandshakePair pair;

  handshake_pair_init (&pair, "key", "other");
  cr_assert (deliver_hello_to_acceptor (&pair));
  cr_assert_not (deliver_challenge_to_dialler (&pair));
  cr_assert_eq (pair.error.code, LB_ERROR_WRONG_KEY);
  cr_assert_not (pair.dialler.done);
  pair.proof.type = LW_PROOF;
  cr_assert_not (deliver_proof_to_acceptor (&pair));
  cr_assert_eq (pair.error.code, LB_ERROR_WRONG_KEY);
  cr_assert_not (pair.acceptor.done);
}

/* A peer without the cluster key returns the proof that it received (reflection), or an attacker on
 * the network path changes the address of the instance in a message to redirect frames. The
 * handshake must fail in both cases. */
Test (handshake, reflected_proof_and_altered_instance_are_refused)
{
  HandshakePair pair;

  handshake_pair_init (&pair, "key", "key");
  pair.hello.instance = pair.acceptor.self;
  deliver_hello_to_acceptor (&pair);
  memcpy (pair.proof.mac, pair.challenge.mac, sizeof pair.proof.mac);
  pair.proof.type = LW_PROOF;
  cr_assert_not (deliver_proof_to_acceptor (&pair));

  handshake_pair_init (&pair, "key", "key");
  deliver_hello_to_acceptor (&pair);
  LB_COPY (pair.challenge.instance.caller_address, "127.0.0.1:6666");
  cr_assert_not (deliver_challenge_to_dialler (&pair));
  cr_assert_eq (pair.error.code, LB_ERROR_WRONG_KEY);
}

Test (handshake, ping_and_early_proof_are_refused_before_the_challenge)
{
  HandshakePair pair;
  LwMessage ping = { .type = LW_PING };

  handshake_pair_init (&pair, "key", "key");
  cr_assert_not (lw_handshake_verify_and_answer_message (&pair.acceptor, &ping, &pair.no_message,
                                                         &pair.error));
  cr_assert_eq (pair.error.code, LB_ERROR_FRAME_GARBLED);
  pair.proof.type = LW_PROOF;
  cr_assert_not (deliver_proof_to_acceptor (&pair));
}

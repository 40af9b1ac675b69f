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
instance (const char *name)
{
  LcInstance made = { .epoch = 1700000000000, .version = 3, .load = 250 };

  LB_COPY (made.name, name);
  LB_COPY (made.incarnation, "5f3a");
  LB_COPY (made.data_centre, "hall-a");
  LB_COPY (made.caller_address, "127.0.0.1:8080");
  LB_COPY (made.peer_address, "127.0.0.1:8081");
  return made;
}

static LwMessage
example (LwMessageType type, LcInstance *instances)
{
  LwMessage message = { .type = type,
                        .instance = instances[0],
                        .digest = UINT64_MAX,
                        .instances = instances,
                        .n_instances = 2,
                        .is_reply = true,
                        .origin_epoch = 9,
                        .sequence = 70000,
                        .to_all = true,
                        .payload = "a\0b",
                        .length = 3 };

  memset (message.nonce, 7, sizeof message.nonce);
  memset (message.mac, 9, sizeof message.mac);
  LB_COPY (message.origin, "i1");
  LB_COPY (message.topic, "config");
  return message;
}

Test (message, every_type_reads_as_written)
{
  LcInstance instances[] = { instance ("i1"), { .name = "i2", .state = LC_INSTANCE_DEAD } };

  for (int type = LW_HELLO; type < LW_N_MESSAGES; type++)
    {
      LwMessage message = example ((LwMessageType)type, instances);
      size_t length, again_length;
      uint8_t *bytes = lw_message_encode (&message, &length);
      LwFrame frame;
      LwMessage read;

      cr_assert_eq (lw_frame_read (bytes, length, LW_FRAME_MAX_BODY, &frame, NULL),
                    LW_FRAME_COMPLETE);
      cr_assert_eq (frame.consumed, length);
      cr_assert (lw_message_decode (frame.body, frame.length, &read, NULL), "type %d", type);
      uint8_t *again = lw_message_encode (&read, &again_length);
      cr_assert_eq (length, again_length);
      cr_assert_eq (memcmp (bytes, again, length), 0);
      for (size_t cut = 0; cut < length; cut++)
        cr_assert_eq (lw_frame_read (bytes, cut, LW_FRAME_MAX_BODY, &frame, NULL),
                      LW_FRAME_PARTIAL);
      lw_message_clear (&read);
      free (bytes);
      free (again);
    }
}

/* After an upgrade gone wrong, an instance of another version connects; or bytes of another
 * protocol arrive whose first four make a length of gigabytes. The reader would wait for them for
 * ever and store all that comes. The header alone must be enough to refuse. */
Test (frame, wrong_version_and_size_are_refused_by_the_header)
{
  uint8_t bytes[LW_FRAME_HEADER];
  LbError error;
  LwFrame frame;

  lw_frame_write_header (bytes, 100);
  bytes[4]++;
  cr_assert_eq (lw_frame_read (bytes, sizeof bytes, LW_FRAME_MAX_BODY, &frame, &error),
                LW_FRAME_INVALID);
  cr_assert_eq (error.code, LB_ERROR_FRAME_VERSION);
  lw_frame_write_header (bytes, LW_FRAME_MAX_BODY_UNAUTHENTICATED + 1);
  cr_assert_eq (lw_frame_read (bytes, sizeof bytes, LW_FRAME_MAX_BODY_UNAUTHENTICATED, &frame,
                               &error),
                LW_FRAME_INVALID);
  cr_assert_eq (error.code, LB_ERROR_FRAME_TOO_LARGE);
}

static long
peak_memory_kb (void)
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
refuse_without_memory (const uint8_t *body, size_t length)
{
  long before = peak_memory_kb ();
  LwMessage message;
  LbError error;

  cr_assert_not (lw_message_decode (body, length, &message, &error));
  cr_assert_eq (error.code, LB_ERROR_FRAME_GARBLED);
  cr_assert_lt (peak_memory_kb () - before, 1 << 18);
}

/* One flipped bit, or somebody who writes to the port, sends a list that claims many million
 * elements, or has so many of one byte each. The process asks for gigabytes for a frame of a few
 * bytes, and the instance may be ended for it. */
Test (message, a_false_claim_of_elements_is_refused_before_any_memory_is_asked_for)
{
  static const uint8_t bodies[][8] = { { 0xdd, 0x0a, 0xaa, 0xaa, 0xaa, 0x05 },
                                       { 0x92, 0x06, 0xdd, 0x0a, 0xaa, 0xaa, 0xaa, 0x90 },
                                       { 0xdf, 0x05, 0xff, 0xff, 0xff, 0x01, 0x01 },
                                       { 0x92, 0x04, 0xc6, 0x7f, 0xff, 0xff, 0xff, 0x01 } };
  static const uint8_t head[] = { 0x92, 0x06, 0xdd, 0x00, 0x3d, 0x09, 0x00 };
  const size_t many = 4000000;
  uint8_t *list = lb_malloc (many + sizeof head);

  for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
    refuse_without_memory (bodies[i], sizeof bodies[i]);
  memset (list, 1, many + sizeof head);
  memcpy (list, head, sizeof head);
  refuse_without_memory (list, many + sizeof head);
  free (list);
}

/* Random damage of true frames: each is refused with a type or read as some message that can be
 * written again; nothing leaks or is read beyond its end (the sanitizers' run shows that). */
Test (message, damaged_frames_are_refused_or_read)
{
  LcInstance instances[] = { instance ("i1"), { .name = "i2" } };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  size_t refused = 0;

  for (int round = 0; round < 20000; round++)
    {
      LwMessage message = example ((LwMessageType)(1 + round % (LW_N_MESSAGES - 1)), instances);
      size_t length;
      uint8_t *bytes = lw_message_encode (&message, &length);
      size_t body = gsl_rng_uniform_int (rng, length - LW_FRAME_HEADER) + 1;
      LwMessage read;
      LbError error = { .code = LB_OK };

      for (int damage = 0; damage < 3; damage++)
        bytes[LW_FRAME_HEADER + gsl_rng_uniform_int (rng, body)]
            = (uint8_t)gsl_rng_uniform_int (rng, 256);
      if (round % 2)
        body = length - LW_FRAME_HEADER;
      if (lw_message_decode (bytes + LW_FRAME_HEADER, body, &read, &error))
        lw_message_clear (&read);
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
  LwMessage none;
  LbError error;
} Shake;

static void
shake_init (Shake *shake, const char *dialler_key, const char *acceptor_key)
{
  uint8_t nonces[2][LW_NONCE_BYTES] = { { 1 }, { 2 } };
  LcInstance ends[] = { instance ("i1"), instance ("i2") };

  memset (shake, 0, sizeof *shake);
  lw_handshake_init (&shake->dialler, true, dialler_key, &ends[0], nonces[0]);
  lw_handshake_init (&shake->acceptor, false, acceptor_key, &ends[1], nonces[1]);
  lw_handshake_hello (&shake->dialler, &shake->hello);
}

static bool
shake_to_challenge (Shake *shake)
{
  return lw_handshake_receive (&shake->acceptor, &shake->hello, &shake->challenge, &shake->error);
}

static bool
shake_to_proof (Shake *shake)
{
  return lw_handshake_receive (&shake->dialler, &shake->challenge, &shake->proof, &shake->error);
}

static bool
shake_to_end (Shake *shake)
{
  return lw_handshake_receive (&shake->acceptor, &shake->proof, &shake->none, &shake->error);
}

Test (handshake, both_ends_learn_the_other)
{
  Shake shake;

  shake_init (&shake, "key", "key");
  cr_assert (shake_to_challenge (&shake) && shake_to_proof (&shake) && shake_to_end (&shake));
  cr_assert (shake.dialler.done && shake.acceptor.done);
  cr_assert_str_eq (shake.dialler.peer.name, "i2");
  cr_assert_str_eq (shake.acceptor.peer.name, "i1");
}

/* An instance of another cluster, or one with last year's key, connects. If either end went on, two
 * clusters would mix their members and configurations. The dialler must find out by the challenge,
 * and the acceptor by the proof, also of a dialler that goes on regardless. */
Test (handshake, another_key_is_refused_by_either_end)
{
  Shake shake;

  shake_init (&shake, "key", "other");
  cr_assert (shake_to_challenge (&shake));
  cr_assert_not (shake_to_proof (&shake));
  cr_assert_eq (shake.error.code, LB_ERROR_WRONG_KEY);
  cr_assert_not (shake.dialler.done);
  shake.proof.type = LW_PROOF;
  cr_assert_not (shake_to_end (&shake));
  cr_assert_eq (shake.error.code, LB_ERROR_WRONG_KEY);
  cr_assert_not (shake.acceptor.done);
}

/* Somebody without the key repeats to us the proof that we gave (reflection), or changes the
 * address in what a true instance said, so that frames would go to him. */
Test (handshake, reflected_and_altered_words_are_refused)
{
  Shake shake;

  shake_init (&shake, "key", "key");
  shake.hello.instance = shake.acceptor.self;
  shake_to_challenge (&shake);
  memcpy (shake.proof.mac, shake.challenge.mac, sizeof shake.proof.mac);
  shake.proof.type = LW_PROOF;
  cr_assert_not (shake_to_end (&shake));

  shake_init (&shake, "key", "key");
  shake_to_challenge (&shake);
  LB_COPY (shake.challenge.instance.caller_address, "127.0.0.1:6666");
  cr_assert_not (shake_to_proof (&shake));
  cr_assert_eq (shake.error.code, LB_ERROR_WRONG_KEY);
}

Test (handshake, nothing_else_is_taken_before_its_end)
{
  Shake shake;
  LwMessage ping = { .type = LW_PING };

  shake_init (&shake, "key", "key");
  cr_assert_not (lw_handshake_receive (&shake.acceptor, &ping, &shake.none, &shake.error));
  cr_assert_eq (shake.error.code, LB_ERROR_FRAME_GARBLED);
  shake.proof.type = LW_PROOF;
  cr_assert_not (shake_to_end (&shake));
}

#include "lw-handshake.h"

#include "lb-alloc.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

void
lw_handshake_init (LwHandshake *handshake,
                   bool dialler,
                   const char *key,
                   const LcInstance *self,
                   const uint8_t nonce[LW_NONCE_BYTES])
{
  memset (handshake, 0, sizeof *handshake);
  handshake->dialler = dialler;
  LB_COPY (handshake->key, key);
  handshake->self = *self;
  memcpy (handshake->nonce, nonce, LW_NONCE_BYTES);
}

void
lw_handshake_hello (const LwHandshake *handshake, LwMessage *out)
{
  memset (out, 0, sizeof *out);
  out->type = LW_HELLO;
  out->instance = handshake->self;
  memcpy (out->nonce, handshake->nonce, LW_NONCE_BYTES);
}

/* The role is part of what is signed: without it, an end that does not know the key could send our
 * own proof back to us. Both nonces are, so that a recorded proof is worth nothing; so is the
 * instance, so that nobody between the ends can change the name or addresses it states. */
static bool
prove (const LwHandshake *handshake,
       bool by_dialler,
       const LcInstance *prover,
       uint8_t mac[LW_MAC_BYTES])
{
  const uint8_t *dialler = handshake->dialler ? handshake->nonce : handshake->peer_nonce;
  const uint8_t *acceptor = handshake->dialler ? handshake->peer_nonce : handshake->nonce;
  size_t instance_length;
  uint8_t *instance = lw_message_encode_instance (prover, &instance_length);
  size_t length = 1 + 2 * LW_NONCE_BYTES + instance_length;
  uint8_t *text = lb_malloc (length);
  unsigned mac_length = 0;

  text[0] = by_dialler ? 'D' : 'A';
  memcpy (text + 1, dialler, LW_NONCE_BYTES);
  memcpy (text + 1 + LW_NONCE_BYTES, acceptor, LW_NONCE_BYTES);
  memcpy (text + 1 + 2 * LW_NONCE_BYTES, instance, instance_length);
  bool ok = HMAC (EVP_sha256 (), handshake->key, (int)strlen (handshake->key), text, length, mac,
                  &mac_length)
            && mac_length == LW_MAC_BYTES;
  free (text);
  free (instance);
  return ok;
}

static bool
is_proved (const LwHandshake *handshake, bool by_dialler, const uint8_t mac[LW_MAC_BYTES])
{
  uint8_t expected[LW_MAC_BYTES];

  return prove (handshake, by_dialler, &handshake->peer, expected)
         && CRYPTO_memcmp (expected, mac, LW_MAC_BYTES) == 0;
}

static bool
wrong_key (LbError *error)
{
  return lb_error_set (error, LB_ERROR_WRONG_KEY, "handshake", "the other end has another key");
}

static bool
receive_hello (LwHandshake *handshake, const LwMessage *in, LwMessage *out, LbError *error)
{
  handshake->challenged = true;
  handshake->peer = in->instance;
  memcpy (handshake->peer_nonce, in->nonce, LW_NONCE_BYTES);
  out->type = LW_CHALLENGE;
  out->instance = handshake->self;
  memcpy (out->nonce, handshake->nonce, LW_NONCE_BYTES);
  if (!prove (handshake, false, &handshake->self, out->mac))
    return lb_error_set (error, LB_ERROR_INTERNAL, "handshake", "HMAC failed");
  return true;
}

static bool
receive_challenge (LwHandshake *handshake, const LwMessage *in, LwMessage *out, LbError *error)
{
  handshake->peer = in->instance;
  memcpy (handshake->peer_nonce, in->nonce, LW_NONCE_BYTES);
  if (!is_proved (handshake, false, in->mac))
    return wrong_key (error);
  out->type = LW_PROOF;
  if (!prove (handshake, true, &handshake->self, out->mac))
    return lb_error_set (error, LB_ERROR_INTERNAL, "handshake", "HMAC failed");
  handshake->done = true;
  return true;
}

bool
lw_handshake_receive (LwHandshake *handshake, const LwMessage *in, LwMessage *out, LbError *error)
{
  memset (out, 0, sizeof *out);
  if (handshake->done)
    return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "handshake", "it is over");
  if (in->instance.peer_address[0] == '\0' && in->type != LW_PROOF)
    return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "handshake", "no address");
  if (!handshake->dialler && !handshake->challenged && in->type == LW_HELLO)
    return receive_hello (handshake, in, out, error);
  if (handshake->dialler && in->type == LW_CHALLENGE)
    return receive_challenge (handshake, in, out, error);
  if (handshake->challenged && in->type == LW_PROOF)
    {
      handshake->done = is_proved (handshake, true, in->mac);
      return handshake->done ? true : wrong_key (error);
    }
  return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "handshake", "message %d out of turn",
                       (int)in->type);
}

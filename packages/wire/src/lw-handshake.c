#include "lw-handshake.h"

#include "lb-alloc.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

void
lw_handshake_init (LwHandshake *handshake,
                   bool is_dialler,
                   const char *key,
                   const LcInstance *self,
                   const uint8_t nonce[LW_NONCE_BYTES])
{
  memset (handshake, 0, sizeof *handshake);
  handshake->is_dialler = is_dialler;
  LB_COPY (handshake->key, key);
  handshake->self = *self;
  memcpy (handshake->nonce, nonce, LW_NONCE_BYTES);
}

void
lw_handshake_build_hello (const LwHandshake *handshake, LwMessage *out)
{
  memset (out, 0, sizeof *out);
  out->type = LW_HELLO;
  out->instance = handshake->self;
  memcpy (out->nonce, handshake->nonce, LW_NONCE_BYTES);
}

/* Computes the MAC by which one end, the prover, proves that it knows the cluster key. The MAC
 * covers the prover's role, against reflection of this end's own proof; both nonces, against replay
 * of a recorded proof; and the prover's instance, against changes to its name or addresses. */
static bool
compute_mac (const LwHandshake *handshake,
             bool by_dialler,
             const LcInstance *prover,
             uint8_t mac[LW_MAC_BYTES])
{
  const uint8_t *dialler = handshake->is_dialler ? handshake->nonce : handshake->peer_nonce;
  const uint8_t *acceptor = handshake->is_dialler ? handshake->peer_nonce : handshake->nonce;
  size_t instance_length;
  uint8_t *instance = lw_message_encode_instance (prover, &instance_length);
  size_t length = 1 + 2 * LW_NONCE_BYTES + instance_length;
  uint8_t *signed_bytes = lb_malloc (length);
  unsigned mac_length = 0;

  signed_bytes[0] = by_dialler ? 'D' : 'A';
  memcpy (signed_bytes + 1, dialler, LW_NONCE_BYTES);
  memcpy (signed_bytes + 1 + LW_NONCE_BYTES, acceptor, LW_NONCE_BYTES);
  memcpy (signed_bytes + 1 + 2 * LW_NONCE_BYTES, instance, instance_length);
  bool ok = HMAC (EVP_sha256 (), handshake->key, (int)strlen (handshake->key), signed_bytes, length,
                  mac, &mac_length)
            && mac_length == LW_MAC_BYTES;
  free (signed_bytes);
  free (instance);
  return ok;
}

static bool
is_peer_mac_valid (const LwHandshake *handshake, bool by_dialler, const uint8_t mac[LW_MAC_BYTES])
{
  uint8_t expected[LW_MAC_BYTES];

  return compute_mac (handshake, by_dialler, &handshake->peer, expected)
         && CRYPTO_memcmp (expected, mac, LW_MAC_BYTES) == 0;
}

static bool
set_wrong_key_error (LbError *error)
{
  return lb_error_set (error, LB_ERROR_WRONG_KEY, "handshake",
                       "the peer has a different cluster key");
}

static bool
answer_hello_with_challenge (LwHandshake *handshake,
                             const LwMessage *in,
                             LwMessage *out,
                             LbError *error)
{
  handshake->has_challenged = true;
  handshake->peer = in->instance;
  memcpy (handshake->peer_nonce, in->nonce, LW_NONCE_BYTES);
  out->type = LW_CHALLENGE;
  out->instance = handshake->self;
  memcpy (out->nonce, handshake->nonce, LW_NONCE_BYTES);
  if (!compute_mac (handshake, false, &handshake->self, out->mac))
    return lb_error_set (error, LB_ERROR_INTERNAL, "handshake", "HMAC computation failed");
  return true;
}

static bool
answer_challenge_with_proof (LwHandshake *handshake,
                             const LwMessage *in,
                             LwMessage *out,
                             LbError *error)
{
  handshake->peer = in->instance;
  memcpy (handshake->peer_nonce, in->nonce, LW_NONCE_BYTES);
  if (!is_peer_mac_valid (handshake, false, in->mac))
    return set_wrong_key_error (error);
  out->type = LW_PROOF;
  if (!compute_mac (handshake, true, &handshake->self, out->mac))
    return lb_error_set (error, LB_ERROR_INTERNAL, "handshake", "HMAC computation failed");
  handshake->done = true;
  return true;
}

bool
lw_handshake_verify_and_answer_message (LwHandshake *handshake,
                                        const LwMessage *in,
                                        LwMessage *out,
                                        LbError *error)
{
  memset (out, 0, sizeof *out);
  if (handshake->done)
    return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "handshake",
                         "expected no message after the end of the handshake");
  if (in->instance.peer_address[0] == '\0' && in->type != LW_PROOF)
    return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "handshake",
                         "expected an instance with a peer address, got an empty address");
  if (!handshake->is_dialler && !handshake->has_challenged && in->type == LW_HELLO)
    return answer_hello_with_challenge (handshake, in, out, error);
  if (handshake->is_dialler && in->type == LW_CHALLENGE)
    return answer_challenge_with_proof (handshake, in, out, error);
  if (handshake->has_challenged && in->type == LW_PROOF)
    {
      handshake->done = is_peer_mac_valid (handshake, true, in->mac);
      return handshake->done ? true : set_wrong_key_error (error);
    }
  return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "handshake",
                       "expected the next handshake message, got type %d", (int)in->type);
}

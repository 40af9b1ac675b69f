#ifndef LW_HANDSHAKE_H
#define LW_HANDSHAKE_H

#include "lw-message.h"

/* Handshake of a connection: both ends prove that they know the cluster key, by the messages HELLO,
 * CHALLENGE and PROOF. */
typedef struct
{
  bool is_dialler;               /* this end opened the connection; false: this end accepted it */
  bool done;                     /* the peer has proved that it knows the cluster key */
  bool has_challenged;           /* this end has sent a CHALLENGE and expects a PROOF */
  char key[128];                 /* cluster key, a shared secret */
  uint8_t nonce[LW_NONCE_BYTES]; /* random bytes that this end chose */
  uint8_t peer_nonce[LW_NONCE_BYTES];
  LcInstance self;
  LcInstance peer; /* instance at the other end; not to be trusted before done is set */
} LwHandshake;

/* Starts a handshake. nonce has random bytes that no other connection uses. */
void lw_handshake_init (LwHandshake *handshake,
                        bool is_dialler,
                        const char *key,
                        const LcInstance *self,
                        const uint8_t nonce[LW_NONCE_BYTES]);
void lw_handshake_build_hello (const LwHandshake *handshake, LwMessage *out);
/* Verifies a handshake message of the peer. Sets *out to the reply to send; out->type is 0 if there
 * is none. Returns false with WRONG_KEY, or with FRAME_GARBLED for an unexpected message. */
bool lw_handshake_verify_and_answer_message (LwHandshake *handshake,
                                             const LwMessage *in,
                                             LwMessage *out,
                                             LbError *error);

#endif

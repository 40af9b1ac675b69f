#ifndef LW_HANDSHAKE_H
#define LW_HANDSHAKE_H

#include "lw-message.h"

/* Proof of the cluster key in both directions: HELLO, CHALLENGE, PROOF. */
typedef struct
{
  bool dialler;
  bool done;
  bool challenged; /* acceptor: HELLO was answered */
  char key[128];
  uint8_t nonce[LW_NONCE_BYTES];
  uint8_t peer_nonce[LW_NONCE_BYTES];
  LcInstance self;
  LcInstance peer; /* valid once done */
} LwHandshake;

/* nonce: random bytes, new for each connection. */
void lw_handshake_init (LwHandshake *handshake,
                        bool dialler,
                        const char *key,
                        const LcInstance *self,
                        const uint8_t nonce[LW_NONCE_BYTES]);
void lw_handshake_hello (const LwHandshake *handshake, LwMessage *out);
/* out->type is 0 when nothing is to be sent. Errors: WRONG_KEY, FRAME_GARBLED (out of turn). */
bool
lw_handshake_receive (LwHandshake *handshake, const LwMessage *in, LwMessage *out, LbError *error);

#endif

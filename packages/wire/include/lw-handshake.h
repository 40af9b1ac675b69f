#ifndef LW_HANDSHAKE_H
#define LW_HANDSHAKE_H

#include "lw-message.h"

/* Mutual proof of the cluster key by the messages HELLO, CHALLENGE and PROOF. */
typedef struct
{
  bool is_dialler;     /* this side has opened the connection */
  bool done;           /* the peer has proved the key */
  bool has_challenged; /* acceptor: sent the CHALLENGE */
  char key[128];
  uint8_t nonce[LW_NONCE_BYTES]; /* of this side */
  uint8_t peer_nonce[LW_NONCE_BYTES];
  LcInstance self;
  LcInstance peer; /* valid once done */
} LwHandshake;

/* nonce: random bytes, unique to the connection. */
void lw_handshake_init (LwHandshake *handshake,
                        bool is_dialler,
                        const char *key,
                        const LcInstance *self,
                        const uint8_t nonce[LW_NONCE_BYTES]);
void lw_handshake_build_hello (const LwHandshake *handshake, LwMessage *out);
/* Sets out to the message to send next, its type to 0 for none. Errors: WRONG_KEY, FRAME_GARBLED
 * (unexpected message). */
bool lw_handshake_handle_message (LwHandshake *handshake,
                                  const LwMessage *in,
                                  LwMessage *out,
                                  LbError *error);

#endif

#ifndef LW_MESSAGE_H
#define LW_MESSAGE_H

#include "lc-instance.h"
#include "lw-frame.h"

#define LW_NONCE_BYTES 16
#define LW_MAC_BYTES 32

/* Message types with the members that each uses, and in the handshake with its sender. */
typedef enum
{
  LW_HELLO = 1, /* dialler: nonce, instance */
  LW_CHALLENGE, /* acceptor: nonce, instance, mac */
  LW_PROOF,     /* dialler: mac */
  LW_PING,      /* digest */
  LW_PONG,      /* digest */
  LW_INSTANCES, /* instances */
  LW_COMPARE,   /* instances in short form, is_reply */
  LW_DATA,      /* origin, origin_epoch, sequence, is_broadcast, topic, payload */
  LW_N_MESSAGES
} LwMessageType;

/* One message between instances; the type determines which members are used. */
typedef struct
{
  LwMessageType type;
  uint8_t nonce[LW_NONCE_BYTES];
  uint8_t mac[LW_MAC_BYTES];
  LcInstance instance;
  uint64_t digest; /* of the sender's view of all instances */
  /* Owned. An instance without peer_address is in short form: the name is its only string. */
  LcInstance *instances;
  size_t n_instances;
  bool is_reply; /* of a COMPARE: answers another one */
  LbName origin; /* the instance that sent the DATA first */
  uint64_t origin_epoch;
  uint64_t sequence; /* number of the frame at its origin */
  bool is_broadcast; /* broadcast, which each receiver forwards; else for the receiver only */
  LbName topic;
  char *payload; /* owned */
  size_t payload_length;
} LwMessage;

/* Returns the whole frame, header included; the caller frees it. */
uint8_t *lw_message_encode (const LwMessage *message, size_t *length);
bool lw_message_decode (const uint8_t *body, size_t length, LwMessage *message, LbError *error);
void lw_message_clear (LwMessage *message);
/* Encodes an instance as the key proof covers it; the caller frees the result. */
uint8_t *lw_message_encode_instance (const LcInstance *instance, size_t *length);

#endif

#ifndef LW_MESSAGE_H
#define LW_MESSAGE_H

#include "lc-instance.h"
#include "lw-frame.h"

#define LW_NONCE_BYTES 16
#define LW_MAC_BYTES 32

/* Types of messages between instances. In brackets: the LwMessage members that each type sends. */
typedef enum
{
  LW_HELLO = 1, /* first message of the handshake, from the dialler [nonce, instance] */
  LW_CHALLENGE, /* the acceptor's answer to the HELLO [nonce, instance, mac] */
  LW_PROOF,     /* last message of the handshake, from the dialler [mac] */
  LW_PING,      /* heartbeat [digest] */
  LW_PONG,      /* answer to a PING [digest] */
  LW_INSTANCES, /* changed states of instances [instances] */
  LW_COMPARE,   /* short form of all known instances, to find differences [instances, is_reply] */
  LW_DATA,      /* payload for a topic [origin, and all members after it] */
  LW_N_MESSAGES
} LwMessageType;

/* One message between instances. LwMessageType lists the members that each type uses. */
typedef struct
{
  LwMessageType type;
  uint8_t nonce[LW_NONCE_BYTES];
  uint8_t mac[LW_MAC_BYTES];
  LcInstance instance;
  uint64_t digest; /* hash of the sender's view of all instances; equal views need no COMPARE */
  /* Owned by the message. An instance whose peer_address is empty is sent in short form, with its
   * name as the only string. */
  LcInstance *instances;
  size_t n_instances;
  bool is_reply; /* this COMPARE is the answer to another COMPARE, so it gets no answer */
  LbName origin; /* name of the instance that created the DATA message */
  uint64_t origin_epoch;
  uint64_t sequence; /* counts the origin's broadcasts, to detect duplicates */
  bool is_broadcast; /* true: each receiver forwards the message; false: for the receiver only */
  LbName topic;
  char *payload; /* owned by the message */
  size_t payload_length;
} LwMessage;

/* Returns the whole frame, header included; the caller frees it. */
uint8_t *lw_message_encode (const LwMessage *message, size_t *length);
bool lw_message_decode (const uint8_t *body, size_t length, LwMessage *message, LbError *error);
void lw_message_clear (LwMessage *message);
/* Encodes an instance for the handshake's MAC, which covers these bytes; the caller frees them. */
uint8_t *lw_message_encode_instance (const LcInstance *instance, size_t *length);

#endif

#include "lw-message.h"

#include "lb-alloc.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define FULL_FIELDS 10
#define SHORT_FIELDS 6
/* An instance is hundreds of bytes here but may be one byte in a frame: without this, eight million
 * such bytes would ask for gigabytes. */
#define MAX_INSTANCES 8192

static void
pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str_with_body (packer, text, strlen (text));
}

static void
pack_bytes (msgpack_packer *packer, const void *bytes, size_t length)
{
  msgpack_pack_bin_with_body (packer, bytes, length);
}

static void
pack_bool (msgpack_packer *packer, bool value)
{
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

static void
pack_instance (msgpack_packer *packer, const LcInstance *instance)
{
  bool full = instance->peer_address[0] != '\0';

  msgpack_pack_array (packer, full ? FULL_FIELDS : SHORT_FIELDS);
  pack_text (packer, instance->name);
  msgpack_pack_uint64 (packer, instance->epoch);
  msgpack_pack_uint64 (packer, instance->version);
  msgpack_pack_int (packer, (int)instance->state);
  pack_bool (packer, instance->draining);
  msgpack_pack_int64 (packer, instance->load);
  if (!full)
    return;
  pack_text (packer, instance->incarnation);
  pack_text (packer, instance->data_centre);
  pack_text (packer, instance->caller_address);
  pack_text (packer, instance->peer_address);
}

static void
pack_instances (msgpack_packer *packer, const LwMessage *message)
{
  msgpack_pack_array (packer, message->n_instances);
  for (size_t i = 0; i < message->n_instances; i++)
    pack_instance (packer, &message->instances[i]);
}

static void
pack_data (msgpack_packer *packer, const LwMessage *message)
{
  pack_text (packer, message->origin);
  msgpack_pack_uint64 (packer, message->origin_epoch);
  msgpack_pack_uint64 (packer, message->sequence);
  pack_bool (packer, message->to_all);
  pack_text (packer, message->topic);
  pack_bytes (packer, message->payload, message->length);
}

/* Fields of each type of message, the type itself included. */
static const size_t n_fields[LW_N_MESSAGES] = {
  [LW_HELLO] = 3, [LW_CHALLENGE] = 4, [LW_PROOF] = 2,   [LW_PING] = 2,
  [LW_PONG] = 2,  [LW_INSTANCES] = 2, [LW_COMPARE] = 3, [LW_DATA] = 7,
};

static void
pack_message (msgpack_packer *packer, const LwMessage *message)
{
  msgpack_pack_array (packer, n_fields[message->type]);
  msgpack_pack_int (packer, (int)message->type);
  switch (message->type)
    {
    case LW_HELLO:
      pack_bytes (packer, message->nonce, sizeof message->nonce);
      pack_instance (packer, &message->instance);
      break;
    case LW_CHALLENGE:
      pack_bytes (packer, message->nonce, sizeof message->nonce);
      pack_instance (packer, &message->instance);
      pack_bytes (packer, message->mac, sizeof message->mac);
      break;
    case LW_PROOF:
      pack_bytes (packer, message->mac, sizeof message->mac);
      break;
    case LW_PING:
    case LW_PONG:
      msgpack_pack_uint64 (packer, message->digest);
      break;
    case LW_INSTANCES:
      pack_instances (packer, message);
      break;
    case LW_COMPARE:
      pack_instances (packer, message);
      pack_bool (packer, message->is_reply);
      break;
    case LW_DATA:
      pack_data (packer, message);
      break;
    case LW_N_MESSAGES:
      break;
    }
}

uint8_t *
lw_message_encode (const LwMessage *message, size_t *length)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  pack_message (&packer, message);

  uint8_t *frame = lb_malloc (LW_FRAME_HEADER + buffer.size);
  lw_frame_write_header (frame, buffer.size);
  memcpy (frame + LW_FRAME_HEADER, buffer.data, buffer.size);
  *length = LW_FRAME_HEADER + buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return frame;
}

uint8_t *
lw_message_encode_instance (const LcInstance *instance, size_t *length)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  pack_instance (&packer, instance);
  uint8_t *bytes = lb_memdup (buffer.data, buffer.size);
  *length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

/* Reads the fields of an array one after the other; the first wrong one makes all the rest fail. */
typedef struct
{
  const msgpack_object *next;
  size_t left;
  bool bad;
} Fields;

static const msgpack_object *
take (Fields *fields, msgpack_object_type type)
{
  if (fields->bad || fields->left == 0 || fields->next->type != type)
    {
      fields->bad = true;
      return NULL;
    }
  fields->left--;
  return fields->next++;
}

static uint64_t
take_uint (Fields *fields)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return object ? object->via.u64 : 0;
}

static uint64_t
take_below (Fields *fields, uint64_t end)
{
  uint64_t value = take_uint (fields);

  if (value >= end)
    fields->bad = true;
  return fields->bad ? 0 : value;
}

static bool
take_bool (Fields *fields)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_BOOLEAN);

  return object && object->via.boolean;
}

static void
take_name (Fields *fields, LbName name)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_STR);

  name[0] = '\0';
  if (!object)
    return;
  size_t length = object->via.str.size;
  if (length >= LB_NAME_MAX || memchr (object->via.str.ptr, '\0', length))
    {
      fields->bad = true;
      return;
    }
  memcpy (name, object->via.str.ptr, length);
  name[length] = '\0';
}

static void
take_bytes (Fields *fields, uint8_t *bytes, size_t length)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_BIN);

  if (object && object->via.bin.size == length)
    memcpy (bytes, object->via.bin.ptr, length);
  else
    fields->bad = true;
}

static void
take_payload (Fields *fields, LwMessage *message)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_BIN);

  if (!object)
    return;
  message->length = object->via.bin.size;
  message->payload = lb_malloc (message->length + 1);
  memcpy (message->payload, object->via.bin.ptr, message->length);
  message->payload[message->length] = '\0';
}

static Fields
take_array (Fields *fields)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_ARRAY);

  if (!object)
    return (Fields){ .bad = true };
  return (Fields){ .next = object->via.array.ptr, .left = object->via.array.size };
}

static void
take_instance (Fields *fields, LcInstance *instance)
{
  Fields inner = take_array (fields);
  bool full = inner.left == FULL_FIELDS;

  if (!full && inner.left != SHORT_FIELDS)
    inner.bad = true;
  take_name (&inner, instance->name);
  instance->epoch = take_uint (&inner);
  instance->version = take_uint (&inner);
  instance->state = (LcInstanceState)take_below (&inner, LC_N_INSTANCE_STATES);
  instance->draining = take_bool (&inner);
  instance->load = (int64_t)take_below (&inner, LC_INSTANCE_MAX_LOAD + 1);
  if (full)
    {
      take_name (&inner, instance->incarnation);
      take_name (&inner, instance->data_centre);
      take_name (&inner, instance->caller_address);
      take_name (&inner, instance->peer_address);
      inner.bad = inner.bad || instance->peer_address[0] == '\0';
    }
  fields->bad = fields->bad || inner.bad || instance->name[0] == '\0';
}

static void
take_instances (Fields *fields, LwMessage *message)
{
  Fields inner = take_array (fields);

  if (inner.left > MAX_INSTANCES)
    {
      fields->bad = true;
      return;
    }
  message->instances = LB_NEW_ARRAY (LcInstance, inner.left);
  message->n_instances = inner.left;
  for (size_t i = 0; i < message->n_instances && !inner.bad; i++)
    take_instance (&inner, &message->instances[i]);
  fields->bad = fields->bad || inner.bad;
}

static void
take_data (Fields *fields, LwMessage *message)
{
  take_name (fields, message->origin);
  message->origin_epoch = take_uint (fields);
  message->sequence = take_uint (fields);
  message->to_all = take_bool (fields);
  take_name (fields, message->topic);
  take_payload (fields, message);
}

static void
take_message (Fields *fields, LwMessage *message)
{
  size_t count = fields->left;

  message->type = (LwMessageType)take_below (fields, LW_N_MESSAGES);
  if (n_fields[message->type] != count)
    fields->bad = true;
  switch (message->type)
    {
    case LW_HELLO:
      take_bytes (fields, message->nonce, sizeof message->nonce);
      take_instance (fields, &message->instance);
      break;
    case LW_CHALLENGE:
      take_bytes (fields, message->nonce, sizeof message->nonce);
      take_instance (fields, &message->instance);
      take_bytes (fields, message->mac, sizeof message->mac);
      break;
    case LW_PROOF:
      take_bytes (fields, message->mac, sizeof message->mac);
      break;
    case LW_PING:
    case LW_PONG:
      message->digest = take_uint (fields);
      break;
    case LW_INSTANCES:
      take_instances (fields, message);
      break;
    case LW_COMPARE:
      take_instances (fields, message);
      message->is_reply = take_bool (fields);
      break;
    case LW_DATA:
      take_data (fields, message);
      break;
    case LW_N_MESSAGES:
      fields->bad = true;
      break;
    }
}

static uint64_t
big_endian (const uint8_t *bytes, size_t width)
{
  uint64_t value = 0;

  for (size_t i = 0; i < width; i++)
    value = value << 8 | bytes[i];
  return value;
}

/* Bytes of a length or number that follow the tag, 0 when the tag says all. */
static size_t
tag_width (uint8_t tag)
{
  switch (tag)
    {
    case 0xc4: /* bin */
    case 0xd9: /* str */
    case 0xcc: /* uint */
    case 0xd0: /* int */
      return 1;
    case 0xc5:
    case 0xda:
    case 0xcd:
    case 0xd1:
    case 0xdc: /* array */
      return 2;
    case 0xc6:
    case 0xdb:
    case 0xce:
    case 0xd2:
    case 0xdd:
      return 4;
    case 0xcf:
    case 0xd3:
      return 8;
    default:
      return 0;
    }
}

static bool
is_used_tag (uint8_t tag)
{
  bool map = tag >= 0x80 && tag <= 0x8f;
  bool single = tag <= 0xbf || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 || tag == 0xc3;

  return !map && (single || tag_width (tag) > 0);
}

/* Size of the value that begins here without its elements, and how many elements it claims. */
static uint64_t
value_size (const uint8_t *bytes, size_t width, uint64_t *elements)
{
  uint8_t tag = bytes[0];
  uint64_t number = big_endian (bytes + 1, width);
  bool array = (tag & 0xf0) == 0x90 || tag == 0xdc || tag == 0xdd;
  bool text = (tag & 0xe0) == 0xa0;
  bool long_text = (tag >= 0xc4 && tag <= 0xc6) || (tag >= 0xd9 && tag <= 0xdb);

  *elements = !array ? 0 : width ? number : tag & 0x0fU;
  return 1 + width + (text ? tag & 0x1fU : long_text ? number : 0);
}

/* The failure: five bytes that claim an array of many million elements make msgpack-c ask for
 * gigabytes before it looks for the first of them, and a nest of such arrays for more than the
 * machine can promise. Every element takes at least a byte, so claims that sum to more than the
 * bytes left are false. Maps, floats and extensions are in no message of ours and are refused. */
static bool
claims_fit (const uint8_t *bytes, size_t length)
{
  uint64_t wanted = 1;
  uint64_t elements;
  size_t at = 0;

  while (wanted > 0)
    {
      if (at >= length || !is_used_tag (bytes[at]))
        return false;
      size_t width = tag_width (bytes[at]);
      if (length - at < 1 + width)
        return false;
      uint64_t size = value_size (bytes + at, width, &elements);
      if (size > length - at)
        return false;
      at += size;
      wanted += elements - 1;
      if (wanted > length - at)
        return false;
    }
  return at == length;
}

static bool
decode_fields (const uint8_t *body, size_t length, LwMessage *message)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool ok = false;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, (const char *)body, length, &offset)
      != MSGPACK_UNPACK_SUCCESS)
    goto out;
  Fields outer = { .next = &unpacked.data, .left = 1 };
  Fields fields = take_array (&outer);
  take_message (&fields, message);
  ok = !fields.bad;
out:
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

/* Decodes the body of one frame. A pure function over the bytes. Error: FRAME_GARBLED; then the
 * message owns nothing. */
bool
lw_message_decode (const uint8_t *body, size_t length, LwMessage *message, LbError *error)
{
  memset (message, 0, sizeof *message);
  if (claims_fit (body, length) && decode_fields (body, length, message))
    return true;
  lw_message_clear (message);
  return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "frame",
                       "no message of version %d in %zu bytes", LW_FRAME_VERSION, length);
}

void
lw_message_clear (LwMessage *message)
{
  free (message->instances);
  free (message->payload);
  message->instances = NULL;
  message->n_instances = 0;
  message->payload = NULL;
  message->length = 0;
}

#include "lw-message.h"

#include "lb-alloc.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define FULL_INSTANCE_FIELDS 10
#define SHORT_INSTANCE_FIELDS 6
/* An instance takes hundreds of bytes in memory but may be a single byte in a frame: without this
 * limit, eight million such bytes would allocate gigabytes. */
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

  msgpack_pack_array (packer, full ? FULL_INSTANCE_FIELDS : SHORT_INSTANCE_FIELDS);
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
  pack_bool (packer, message->is_broadcast);
  pack_text (packer, message->topic);
  pack_bytes (packer, message->payload, message->payload_length);
}

/* Number of fields of each message type, including the type itself. */
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

  uint8_t *frame = lb_malloc (LW_FRAME_HEADER_BYTES + buffer.size);
  lw_frame_write_header (frame, buffer.size);
  memcpy (frame + LW_FRAME_HEADER_BYTES, buffer.data, buffer.size);
  *length = LW_FRAME_HEADER_BYTES + buffer.size;
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

/* Reads the fields of an array in order; after the first invalid one all further reads fail. */
typedef struct
{
  const msgpack_object *next;
  size_t n_left;
  bool is_invalid;
} Fields;

static const msgpack_object *
next_field (Fields *fields, msgpack_object_type type)
{
  if (fields->is_invalid || fields->n_left == 0 || fields->next->type != type)
    {
      fields->is_invalid = true;
      return NULL;
    }
  fields->n_left--;
  return fields->next++;
}

static uint64_t
read_uint (Fields *fields)
{
  const msgpack_object *object = next_field (fields, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return object ? object->via.u64 : 0;
}

static uint64_t
read_uint_below (Fields *fields, uint64_t limit)
{
  uint64_t value = read_uint (fields);

  if (value >= limit)
    fields->is_invalid = true;
  return fields->is_invalid ? 0 : value;
}

static bool
read_bool (Fields *fields)
{
  const msgpack_object *object = next_field (fields, MSGPACK_OBJECT_BOOLEAN);

  return object && object->via.boolean;
}

static void
read_name (Fields *fields, LbName name)
{
  const msgpack_object *object = next_field (fields, MSGPACK_OBJECT_STR);

  name[0] = '\0';
  if (!object)
    return;
  size_t length = object->via.str.size;
  if (length >= LB_NAME_MAX || memchr (object->via.str.ptr, '\0', length))
    {
      fields->is_invalid = true;
      return;
    }
  memcpy (name, object->via.str.ptr, length);
  name[length] = '\0';
}

static void
read_bytes (Fields *fields, uint8_t *bytes, size_t length)
{
  const msgpack_object *object = next_field (fields, MSGPACK_OBJECT_BIN);

  if (object && object->via.bin.size == length)
    memcpy (bytes, object->via.bin.ptr, length);
  else
    fields->is_invalid = true;
}

static void
read_payload (Fields *fields, LwMessage *message)
{
  const msgpack_object *object = next_field (fields, MSGPACK_OBJECT_BIN);

  if (!object)
    return;
  message->payload_length = object->via.bin.size;
  message->payload = lb_malloc (message->payload_length + 1);
  memcpy (message->payload, object->via.bin.ptr, message->payload_length);
  message->payload[message->payload_length] = '\0';
}

static Fields
read_array (Fields *fields)
{
  const msgpack_object *object = next_field (fields, MSGPACK_OBJECT_ARRAY);

  if (!object)
    return (Fields){ .is_invalid = true };
  return (Fields){ .next = object->via.array.ptr, .n_left = object->via.array.size };
}

static void
read_instance (Fields *fields, LcInstance *instance)
{
  Fields inner = read_array (fields);
  bool full = inner.n_left == FULL_INSTANCE_FIELDS;

  if (!full && inner.n_left != SHORT_INSTANCE_FIELDS)
    inner.is_invalid = true;
  read_name (&inner, instance->name);
  instance->epoch = read_uint (&inner);
  instance->version = read_uint (&inner);
  instance->state = (LcInstanceState)read_uint_below (&inner, LC_N_INSTANCE_STATES);
  instance->draining = read_bool (&inner);
  instance->load = (int64_t)read_uint_below (&inner, LC_INSTANCE_MAX_LOAD + 1);
  if (full)
    {
      read_name (&inner, instance->incarnation);
      read_name (&inner, instance->data_centre);
      read_name (&inner, instance->caller_address);
      read_name (&inner, instance->peer_address);
      inner.is_invalid = inner.is_invalid || instance->peer_address[0] == '\0';
    }
  fields->is_invalid = fields->is_invalid || inner.is_invalid || instance->name[0] == '\0';
}

static void
read_instances (Fields *fields, LwMessage *message)
{
  Fields inner = read_array (fields);

  if (inner.n_left > MAX_INSTANCES)
    {
      fields->is_invalid = true;
      return;
    }
  message->instances = LB_NEW_ARRAY (LcInstance, inner.n_left);
  message->n_instances = inner.n_left;
  for (size_t i = 0; i < message->n_instances && !inner.is_invalid; i++)
    read_instance (&inner, &message->instances[i]);
  fields->is_invalid = fields->is_invalid || inner.is_invalid;
}

static void
read_data (Fields *fields, LwMessage *message)
{
  read_name (fields, message->origin);
  message->origin_epoch = read_uint (fields);
  message->sequence = read_uint (fields);
  message->is_broadcast = read_bool (fields);
  read_name (fields, message->topic);
  read_payload (fields, message);
}

static void
read_message (Fields *fields, LwMessage *message)
{
  size_t count = fields->n_left;

  message->type = (LwMessageType)read_uint_below (fields, LW_N_MESSAGES);
  if (n_fields[message->type] != count)
    fields->is_invalid = true;
  switch (message->type)
    {
    case LW_HELLO:
      read_bytes (fields, message->nonce, sizeof message->nonce);
      read_instance (fields, &message->instance);
      break;
    case LW_CHALLENGE:
      read_bytes (fields, message->nonce, sizeof message->nonce);
      read_instance (fields, &message->instance);
      read_bytes (fields, message->mac, sizeof message->mac);
      break;
    case LW_PROOF:
      read_bytes (fields, message->mac, sizeof message->mac);
      break;
    case LW_PING:
    case LW_PONG:
      message->digest = read_uint (fields);
      break;
    case LW_INSTANCES:
      read_instances (fields, message);
      break;
    case LW_COMPARE:
      read_instances (fields, message);
      message->is_reply = read_bool (fields);
      break;
    case LW_DATA:
      read_data (fields, message);
      break;
    case LW_N_MESSAGES:
      fields->is_invalid = true;
      break;
    }
}

static uint64_t
read_big_endian (const uint8_t *bytes, size_t width)
{
  uint64_t value = 0;

  for (size_t i = 0; i < width; i++)
    value = value << 8 | bytes[i];
  return value;
}

/* Size in bytes of the length or number after the tag; 0 if the tag itself contains it. */
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
is_supported_tag (uint8_t tag)
{
  bool is_map = tag >= 0x80 && tag <= 0x8f;
  bool is_single_byte = tag <= 0xbf || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 || tag == 0xc3;

  return !is_map && (is_single_byte || tag_width (tag) > 0);
}

/* Returns the size of the value at bytes without its elements; sets *elements to the number of
 * elements it claims. width: see tag_width. */
static uint64_t
value_size (const uint8_t *bytes, size_t width, uint64_t *elements)
{
  uint8_t tag = bytes[0];
  uint64_t number = read_big_endian (bytes + 1, width);
  bool is_array = (tag & 0xf0) == 0x90 || tag == 0xdc || tag == 0xdd;
  bool is_short_string = (tag & 0xe0) == 0xa0;
  bool is_long_string = (tag >= 0xc4 && tag <= 0xc6) || (tag >= 0xd9 && tag <= 0xdb);

  *elements = !is_array ? 0 : width ? number : tag & 0x0fU;
  return 1 + width + (is_short_string ? tag & 0x1fU : is_long_string ? number : 0);
}

/* Five bytes that claim an array of many million elements make msgpack-c allocate gigabytes before
 * it reads the first element, and nested arrays more than the machine can commit. Each element
 * takes at least one byte, so claims that exceed the remaining bytes are false. Maps, floats and
 * extension types occur in no message and are refused. */
static bool
has_plausible_sizes (const uint8_t *bytes, size_t length)
{
  uint64_t n_expected = 1;
  uint64_t elements;
  size_t offset = 0;

  while (n_expected > 0)
    {
      if (offset >= length || !is_supported_tag (bytes[offset]))
        return false;
      size_t width = tag_width (bytes[offset]);
      if (length - offset < 1 + width)
        return false;
      uint64_t size = value_size (bytes + offset, width, &elements);
      if (size > length - offset)
        return false;
      offset += size;
      n_expected += elements - 1;
      if (n_expected > length - offset)
        return false;
    }
  return offset == length;
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
  Fields outer = { .next = &unpacked.data, .n_left = 1 };
  Fields fields = read_array (&outer);
  read_message (&fields, message);
  ok = !fields.is_invalid;
out:
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

/* Decodes the body of one frame. Error: FRAME_GARBLED; the message then owns no memory. */
bool
lw_message_decode (const uint8_t *body, size_t length, LwMessage *message, LbError *error)
{
  memset (message, 0, sizeof *message);
  if (has_plausible_sizes (body, length) && decode_fields (body, length, message))
    return true;
  lw_message_clear (message);
  return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "frame",
                       "expected a message of version %d in the body of %zu bytes",
                       LW_FRAME_VERSION, length);
}

void
lw_message_clear (LwMessage *message)
{
  free (message->instances);
  free (message->payload);
  message->instances = NULL;
  message->n_instances = 0;
  message->payload = NULL;
  message->payload_length = 0;
}

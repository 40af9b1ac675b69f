#include "lw-message.h"

#include "lb-alloc.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/* Number of msgpack fields of an instance in full form, and in short form, whose only string is the
 * instance's name. */
#define N_FULL_FORM_INSTANCE_FIELDS 10
#define N_SHORT_FORM_INSTANCE_FIELDS 6
/* Largest number of instances in a frame. A single byte in a frame can claim to be an instance,
 * which takes hundreds of bytes in memory: without a limit, a frame of 8 MiB would allocate
 * gigabytes. */
#define MAX_INSTANCES_PER_FRAME 8192

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

  msgpack_pack_array (packer, full ? N_FULL_FORM_INSTANCE_FIELDS : N_SHORT_FORM_INSTANCE_FIELDS);
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
pack_data_message_fields (msgpack_packer *packer, const LwMessage *message)
{
  pack_text (packer, message->origin);
  msgpack_pack_uint64 (packer, message->origin_epoch);
  msgpack_pack_uint64 (packer, message->sequence);
  pack_bool (packer, message->is_broadcast);
  pack_text (packer, message->topic);
  pack_bytes (packer, message->payload, message->payload_length);
}

/* Number of msgpack array fields of each message type, including the type itself. */
static const size_t message_field_counts[LW_N_MESSAGES] = {
  [LW_HELLO] = 3, [LW_CHALLENGE] = 4, [LW_PROOF] = 2,   [LW_PING] = 2,
  [LW_PONG] = 2,  [LW_INSTANCES] = 2, [LW_COMPARE] = 3, [LW_DATA] = 7,
};

static void
pack_message (msgpack_packer *packer, const LwMessage *message)
{
  msgpack_pack_array (packer, message_field_counts[message->type]);
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
      pack_data_message_fields (packer, message);
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

/* Reader of a msgpack array that reads its fields in order. After the first invalid field, all
 * further reads fail. */
typedef struct
{
  const msgpack_object *next;
  size_t n_unread;
  bool is_invalid;
} FieldReader;

static const msgpack_object *
read_typed_field (FieldReader *reader, msgpack_object_type type)
{
  if (reader->is_invalid || reader->n_unread == 0 || reader->next->type != type)
    {
      reader->is_invalid = true;
      return NULL;
    }
  reader->n_unread--;
  return reader->next++;
}

static uint64_t
read_uint (FieldReader *reader)
{
  const msgpack_object *object = read_typed_field (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return object ? object->via.u64 : 0;
}

static uint64_t
read_uint_below (FieldReader *reader, uint64_t limit)
{
  uint64_t value = read_uint (reader);

  if (value >= limit)
    reader->is_invalid = true;
  return reader->is_invalid ? 0 : value;
}

static bool
read_bool (FieldReader *reader)
{
  const msgpack_object *object = read_typed_field (reader, MSGPACK_OBJECT_BOOLEAN);

  return object && object->via.boolean;
}

static void
read_name (FieldReader *reader, LbName name)
{
  const msgpack_object *object = read_typed_field (reader, MSGPACK_OBJECT_STR);

  name[0] = '\0';
  /* An empty text may have no bytes to point at. */
  if (!object || object->via.str.size == 0)
    return;
  size_t length = object->via.str.size;
  if (length >= LB_NAME_MAX || memchr (object->via.str.ptr, '\0', length))
    {
      reader->is_invalid = true;
      return;
    }
  memcpy (name, object->via.str.ptr, length);
  name[length] = '\0';
}

static void
read_bytes (FieldReader *reader, uint8_t *bytes, size_t length)
{
  const msgpack_object *object = read_typed_field (reader, MSGPACK_OBJECT_BIN);

  if (object && object->via.bin.size == length)
    memcpy (bytes, object->via.bin.ptr, length);
  else
    reader->is_invalid = true;
}

static void
read_payload (FieldReader *reader, LwMessage *message)
{
  const msgpack_object *object = read_typed_field (reader, MSGPACK_OBJECT_BIN);

  if (!object)
    return;
  message->payload_length = object->via.bin.size;
  message->payload = lb_malloc (message->payload_length + 1);
  memcpy (message->payload, object->via.bin.ptr, message->payload_length);
  message->payload[message->payload_length] = '\0';
}

static FieldReader
open_nested_array (FieldReader *reader)
{
  const msgpack_object *object = read_typed_field (reader, MSGPACK_OBJECT_ARRAY);

  if (!object)
    return (FieldReader){ .is_invalid = true };
  return (FieldReader){ .next = object->via.array.ptr, .n_unread = object->via.array.size };
}

static void
read_instance (FieldReader *reader, LcInstance *instance)
{
  FieldReader inner = open_nested_array (reader);
  bool full = inner.n_unread == N_FULL_FORM_INSTANCE_FIELDS;

  if (!full && inner.n_unread != N_SHORT_FORM_INSTANCE_FIELDS)
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
  reader->is_invalid = reader->is_invalid || inner.is_invalid || instance->name[0] == '\0';
}

static void
read_instances (FieldReader *reader, LwMessage *message)
{
  FieldReader inner = open_nested_array (reader);

  if (inner.n_unread > MAX_INSTANCES_PER_FRAME)
    {
      reader->is_invalid = true;
      return;
    }
  message->instances = LB_NEW_ARRAY (LcInstance, inner.n_unread);
  message->n_instances = inner.n_unread;
  for (size_t i = 0; i < message->n_instances && !inner.is_invalid; i++)
    read_instance (&inner, &message->instances[i]);
  reader->is_invalid = reader->is_invalid || inner.is_invalid;
}

static void
read_data_message_fields (FieldReader *reader, LwMessage *message)
{
  read_name (reader, message->origin);
  message->origin_epoch = read_uint (reader);
  message->sequence = read_uint (reader);
  message->is_broadcast = read_bool (reader);
  read_name (reader, message->topic);
  read_payload (reader, message);
}

static void
read_message_fields (FieldReader *reader, LwMessage *message)
{
  size_t count = reader->n_unread;

  message->type = (LwMessageType)read_uint_below (reader, LW_N_MESSAGES);
  if (message_field_counts[message->type] != count)
    reader->is_invalid = true;
  switch (message->type)
    {
    case LW_HELLO:
      read_bytes (reader, message->nonce, sizeof message->nonce);
      read_instance (reader, &message->instance);
      break;
    case LW_CHALLENGE:
      read_bytes (reader, message->nonce, sizeof message->nonce);
      read_instance (reader, &message->instance);
      read_bytes (reader, message->mac, sizeof message->mac);
      break;
    case LW_PROOF:
      read_bytes (reader, message->mac, sizeof message->mac);
      break;
    case LW_PING:
    case LW_PONG:
      message->digest = read_uint (reader);
      break;
    case LW_INSTANCES:
      read_instances (reader, message);
      break;
    case LW_COMPARE:
      read_instances (reader, message);
      message->is_reply = read_bool (reader);
      break;
    case LW_DATA:
      read_data_message_fields (reader, message);
      break;
    case LW_N_MESSAGES:
      reader->is_invalid = true;
      break;
    }
}

static uint64_t
read_big_endian_uint (const uint8_t *bytes, size_t operand_bytes)
{
  uint64_t value = 0;

  for (size_t i = 0; i < operand_bytes; i++)
    value = value << 8 | bytes[i];
  return value;
}

/* Returns the size in bytes of the length or number that follows a msgpack tag; 0 if the tag itself
 * contains the value. */
static size_t
get_msgpack_operand_size (uint8_t tag)
{
  switch (tag)
    {
    case 0xc4: /* msgpack bin 8 */
    case 0xd9: /* msgpack str 8 */
    case 0xcc: /* msgpack uint 8 */
    case 0xd0: /* msgpack int 8 */
      return 1;
    case 0xc5:
    case 0xda:
    case 0xcd:
    case 0xd1:
    case 0xdc: /* msgpack array 16 */
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
is_supported_msgpack_tag (uint8_t tag)
{
  bool is_map = tag >= 0x80 && tag <= 0x8f;
  bool is_single_byte = tag <= 0xbf || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 || tag == 0xc3;

  return !is_map && (is_single_byte || get_msgpack_operand_size (tag) > 0);
}

/* Returns the size in bytes of the msgpack value at bytes, array elements excluded. Sets
 * *n_elements to the number of elements that the value claims to have. operand_bytes is the result
 * of get_msgpack_operand_size for its tag. */
static uint64_t
get_msgpack_value_size (const uint8_t *bytes, size_t operand_bytes, uint64_t *n_elements)
{
  uint8_t tag = bytes[0];
  uint64_t number = read_big_endian_uint (bytes + 1, operand_bytes);
  bool is_array = (tag & 0xf0) == 0x90 || tag == 0xdc || tag == 0xdd;
  bool is_short_string = (tag & 0xe0) == 0xa0;
  bool is_long_string = (tag >= 0xc4 && tag <= 0xc6) || (tag >= 0xd9 && tag <= 0xdb);

  *n_elements = !is_array ? 0 : operand_bytes ? number : tag & 0x0fU;
  return 1 + operand_bytes + (is_short_string ? tag & 0x1fU : is_long_string ? number : 0);
}

/* Whether the body is long enough for its element counts: each element takes at least one byte. An
 * array header of five bytes that claims many million elements makes msgpack-c allocate gigabytes
 * before it reads the first element; nested arrays exceed the machine's memory. Maps, floats and
 * extension types occur in no message and are refused. */
static bool
has_plausible_msgpack_sizes (const uint8_t *bytes, size_t length)
{
  uint64_t n_expected = 1;
  uint64_t n_elements;
  size_t offset = 0;

  while (n_expected > 0)
    {
      if (offset >= length || !is_supported_msgpack_tag (bytes[offset]))
        return false;
      size_t operand_bytes = get_msgpack_operand_size (bytes[offset]);
      if (length - offset < 1 + operand_bytes)
        return false;
      uint64_t size = get_msgpack_value_size (bytes + offset, operand_bytes, &n_elements);
      if (size > length - offset)
        return false;
      offset += size;
      n_expected += n_elements - 1;
      if (n_expected > length - offset)
        return false;
    }
  return offset == length;
}

static bool
decode_msgpack_body (const uint8_t *body, size_t length, LwMessage *message)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool ok = false;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, (const char *)body, length, &offset)
      != MSGPACK_UNPACK_SUCCESS)
    goto out;
  FieldReader body_reader = { .next = &unpacked.data, .n_unread = 1 };
  FieldReader reader = open_nested_array (&body_reader);
  read_message_fields (&reader, message);
  ok = !reader.is_invalid;
out:
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

/* Decodes the body of one frame. On failure, returns false with FRAME_GARBLED, and the message owns
 * no memory. */
bool
lw_message_decode (const uint8_t *body, size_t length, LwMessage *message, LbError *error)
{
  memset (message, 0, sizeof *message);
  if (has_plausible_msgpack_sizes (body, length) && decode_msgpack_body (body, length, message))
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

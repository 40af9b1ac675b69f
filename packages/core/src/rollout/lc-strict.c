#include "lc-strict.h"

#include "lc-deliver.h"

#include "lb-alloc.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

/* Separates, in the ledger row, the cursor with an unconfirmed chunk from the one before it. */
#define CURSOR_SEPARATOR '.'

/* Returns the slots of a chunk that another owner made and that did not arrive to the slots whose
 * samples have to be generated. */
static void
return_lost_chunk (LcStep *step)
{
  const LcCursor *before = &step->acked_before_unconfirmed;

  lb_log (LB_LOG_INFO, "chunk-lost", LB_TEXT ("subscription", step->spec.subscription),
          LB_INT ("step", step->spec.step), LB_INT ("chunk", step->acked_chunk_id),
          LB_INT ("samples",
                  lc_cursor_count_slots (&step->acked) - lc_cursor_count_slots (before)));
  for (size_t i = 0; i < step->n_slots; i++)
    if (lc_cursor_has_slot (&step->acked, i) && !lc_cursor_has_slot (before, i))
      lc_step_set_slot_state (step, &step->slots[i], LC_SLOT_WAITING);
  step->acked_chunk_id = lc_cursor_get_chunk_id (before);
  lc_cursor_copy (&step->acked, before);
  step->acked.session = step->session;
  step->closed_at = 0;
  step->status.completed_at = 0;
}

bool
lc_strict_accept_chunk_id (LcRollouts *rollouts,
                           LcStep *step,
                           int64_t received_chunk_id,
                           LbTime now,
                           LbList *actions,
                           LbError *error)
{
  bool is_unconfirmed = step->is_last_chunk_unconfirmed;

  if (step->chunk.slots && received_chunk_id == lc_cursor_get_chunk_id (&step->chunk.cursor))
    lc_deliver_acknowledge_chunk (rollouts, step, now, actions);
  else if (step->chunk.slots && received_chunk_id == step->acked_chunk_id)
    lc_deliver_require_session_check (step);
  else if (is_unconfirmed
           && received_chunk_id == lc_cursor_get_chunk_id (&step->acked_before_unconfirmed))
    return_lost_chunk (step);
  else if (received_chunk_id != step->acked_chunk_id)
    return lb_error_set (error, LB_ERROR_BAD_CURSOR, "received",
                         "expected the chunk of this step's last reply, or the one before");
  step->is_last_chunk_unconfirmed = false;
  return true;
}

static char *
encode_cursor_with_chunk_id (const LcStep *step, const LcCursor *source, int64_t chunk_id)
{
  LcCursor cursor = { 0 };
  char *text = NULL;

  lc_cursor_copy (&cursor, source);
  lc_cursor_set_chunk_id (&cursor, chunk_id);
  text = lc_cursor_encode (&cursor, step->spec_hash);
  lc_cursor_clear (&cursor);
  return text;
}

/* Joins the cursor with an unconfirmed chunk and the one before; takes ownership of both. */
static char *
join_cursors (char *with_chunk, char *before)
{
  char *text = lb_asprintf ("%s%c%s", with_chunk, CURSOR_SEPARATOR, before);

  free (with_chunk);
  free (before);
  return text;
}

char *
lc_strict_encode_ledger (const LcStep *step)
{
  const LcChunk *chunk = &step->chunk;

  if (chunk->ledger_change && !chunk->is_numbered)
    return lc_cursor_encode (&chunk->cursor, step->spec_hash);
  char *acked = encode_cursor_with_chunk_id (step, &step->acked, step->acked_chunk_id);
  if (chunk->ledger_change)
    return join_cursors (lc_cursor_encode (&chunk->cursor, step->spec_hash), acked);
  if (step->is_last_chunk_unconfirmed)
    return join_cursors (acked,
                         lc_cursor_encode (&step->acked_before_unconfirmed, step->spec_hash));
  return acked;
}

bool
lc_strict_restore_ledger (LcStep *step, const char *text, LbError *error)
{
  const char *separator = strchr (text, CURSOR_SEPARATOR);
  char *latest = separator ? lb_strndup (text, (size_t)(separator - text)) : lb_strdup (text);
  LcCursor cursor = { 0 };
  bool ok = lc_cursor_decode (&cursor, latest, step->n_slots, step->spec_hash, error);

  if (ok)
    {
      step->acked_chunk_id = lc_cursor_get_chunk_id (&cursor);
      lc_deliver_restore_acknowledged_slots (step, &cursor);
    }
  if (ok && separator)
    {
      ok = lc_cursor_decode (&step->acked_before_unconfirmed, separator + 1, step->n_slots,
                             step->spec_hash, error);
      step->is_last_chunk_unconfirmed = true;
    }
  lc_cursor_clear (&cursor);
  free (latest);
  return ok;
}

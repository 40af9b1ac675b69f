#include "lc-step.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
lc_step_spec_clear (LcStepSpec *spec)
{
  for (size_t i = 0; i < spec->n_groups; i++)
    free (spec->groups[i].prompt);
  free (spec->groups);
  memset (spec, 0, sizeof *spec);
}

static void
add_text_to_hash (XXH64_state_t *state, const char *text)
{
  XXH64_update (state, text, strlen (text) + 1);
}

static void
add_number_to_hash (XXH64_state_t *state, int64_t number)
{
  XXH64_update (state, &number, sizeof number);
}

uint64_t
lc_step_spec_hash (const LcStepSpec *spec)
{
  XXH64_state_t *state = XXH64_createState ();

  XXH64_reset (state, 0);
  add_text_to_hash (state, spec->subscription);
  add_number_to_hash (state, spec->step);
  for (size_t i = 0; i < spec->n_groups; i++)
    {
      add_text_to_hash (state, spec->groups[i].id);
      add_text_to_hash (state, spec->groups[i].prompt);
      add_number_to_hash (state, spec->groups[i].samples);
      add_number_to_hash (state, spec->groups[i].max_tokens);
    }
  uint64_t hash = XXH64_digest (state);
  XXH64_freeState (state);
  return hash;
}

static size_t
count_slots_of_step_spec (const LcStepSpec *spec)
{
  size_t count = 0;

  for (size_t i = 0; i < spec->n_groups; i++)
    count += (size_t)spec->groups[i].samples;
  return count;
}

static void
init_groups_and_slots (LcStep *step)
{
  size_t next_slot = 0;

  for (size_t g = 0; g < step->spec.n_groups; g++)
    {
      const LcGroupSpec *spec = &step->spec.groups[g];

      step->groups[g] = (LcGroup){ .first_slot = next_slot, .n_slots = (size_t)spec->samples };
      for (int64_t i = 0; i < spec->samples; i++, next_slot++)
        {
          step->slots[next_slot].group_index = g;
          step->slots[next_slot].index = i;
          lb_list_init (&step->slots[next_slot].jobs);
        }
    }
}

LcStep *
lc_step_new (LcStepSpec *spec, uint64_t session, LcDeferredFree *deferred_free, LbTime now)
{
  LcStep *step = LB_NEW (LcStep);

  step->spec_hash = lc_step_spec_hash (spec);
  step->spec = *spec;
  memset (spec, 0, sizeof *spec);
  step->deferred_free = deferred_free;
  step->session = session;
  step->retry_at = LB_TIME_NEVER;
  step->n_slots = count_slots_of_step_spec (&step->spec);
  step->slots = LB_NEW_ARRAY (LcSlot, step->n_slots);
  step->groups = LB_NEW_ARRAY (LcGroup, step->spec.n_groups);
  step->n_in_state[LC_SLOT_WAITING] = step->n_slots;
  step->trainer_version = step->spec.trainer_version;
  step->status.slots = (int64_t)step->n_slots;
  step->status.opened_at = now;
  step->ledger.last_write_at = now;
  init_groups_and_slots (step);
  lc_cursor_init (&step->acked, step->n_slots);
  lb_list_init (&step->waiting_pulls);
  return step;
}

void
lc_deferred_free_add (LcDeferredFree *deferred, void *item)
{
  if (!item)
    return;
  if (deferred->n_items == deferred->capacity)
    {
      deferred->capacity = deferred->capacity ? 2 * deferred->capacity : 64;
      deferred->items = lb_realloc (deferred->items, deferred->capacity * sizeof *deferred->items);
    }
  deferred->items[deferred->n_items++] = item;
}

void
lc_deferred_free_release_all (LcDeferredFree *deferred)
{
  for (size_t i = 0; i < deferred->n_items; i++)
    free (deferred->items[i]);
  free (deferred->items);
  memset (deferred, 0, sizeof *deferred);
}

void
lc_chunk_clear (LcChunk *chunk)
{
  free (chunk->slots);
  lc_cursor_clear (&chunk->cursor);
  memset (chunk, 0, sizeof *chunk);
}

void
lc_step_free (LcStep *step)
{
  for (size_t i = 0; i < step->n_slots; i++)
    lc_step_clear_sample (step, &step->slots[i]);
  free (step->slots);
  free (step->groups);
  lc_chunk_clear (&step->chunk);
  lc_cursor_clear (&step->acked);
  lc_cursor_clear (&step->acked_before_unconfirmed);
  for (size_t i = 0; i < step->spec.n_groups; i++)
    lc_deferred_free_add (step->deferred_free, step->spec.groups[i].prompt);
  lc_deferred_free_add (step->deferred_free, step->spec.groups);
  free (step);
}

void
lc_step_set_slot_state (LcStep *step, LcSlot *slot, LcSlotState state)
{
  step->n_in_state[slot->state]--;
  slot->state = state;
  step->n_in_state[state]++;
}

void
lc_step_clear_sample (LcStep *step, LcSlot *slot)
{
  lc_deferred_free_add (step->deferred_free, slot->text);
  lc_deferred_free_add (step->deferred_free, slot->label);
  slot->text = NULL;
  slot->label = NULL;
  slot->has_score = false;
}

void
lc_step_reset_slot (LcStep *step, LcSlot *slot)
{
  lc_step_clear_sample (step, slot);
  lc_step_set_slot_state (step, slot, LC_SLOT_WAITING);
}

size_t
lc_step_count_unsent_slots (const LcStep *step)
{
  return step->n_slots - step->n_in_state[LC_SLOT_ACKED] - step->n_in_state[LC_SLOT_SENT];
}

LcReadySample
lc_step_make_ready_sample (const LcStep *step, const LcSlot *slot)
{
  return (LcReadySample){ .group = lc_step_group_spec (step, slot)->id,
                          .index = slot->index,
                          .text = slot->text,
                          .label = slot->label,
                          .has_score = slot->has_score,
                          .score = slot->score };
}

LcSlot *
lc_step_find_slot (LcStep *step, const char *group, int64_t index)
{
  for (size_t g = 0; g < step->spec.n_groups; g++)
    {
      if (strcmp (step->spec.groups[g].id, group) != 0)
        continue;
      if (index < 0 || index >= (int64_t)step->groups[g].n_slots)
        return NULL;
      return &step->slots[step->groups[g].first_slot + (size_t)index];
    }
  return NULL;
}

const LcGroupSpec *
lc_step_group_spec (const LcStep *step, const LcSlot *slot)
{
  return &step->spec.groups[slot->group_index];
}

bool
lc_step_is_group_complete (const LcStep *step, size_t group_index)
{
  const LcGroup *group = &step->groups[group_index];

  for (size_t i = group->first_slot; i < group->first_slot + group->n_slots; i++)
    if (step->slots[i].state < LC_SLOT_READY)
      return false;
  return true;
}

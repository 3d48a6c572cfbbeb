/* Assembles snapshots from their parts, and selects the preferred one.  */

#include <glib.h>
#include <string.h>

#include "log/snapshot_stream.h"
#include "proto/record.pb-c.h"

enum
{
  ID_SIZE_BYTES = 16
};

/* A snapshot of which not all parts have been added.  */
struct pending_snapshot
{
  uint8_t id[ID_SIZE_BYTES];
  uint64_t offset;
  uint32_t parts;
  uint32_t received_parts;
  bool rescue;
  uint64_t position; /* of its last part in the stream */
  GBytes **data;     /* by part number; NULL if not added */
};

struct snap_assembly
{
  GPtrArray *pending;
  GByteArray *best;
  uint64_t best_offset;
  bool best_is_rescue;
  uint64_t best_position;
  uint64_t lowest_offset; /* of all parts that were added, complete or not */
};

static void
pending_free (gpointer data)
{
  struct pending_snapshot *pending = data;
  uint32_t i;

  for (i = 0; i < pending->parts; i++)
    if (pending->data[i] != NULL)
      g_bytes_unref (pending->data[i]);
  g_free (pending->data);
  g_free (pending);
}

struct snap_assembly *
snap_assembly_new (void)
{
  struct snap_assembly *assembly = g_new0 (struct snap_assembly, 1);

  assembly->lowest_offset = UINT64_MAX;
  assembly->pending = g_ptr_array_new_with_free_func (pending_free);
  return assembly;
}

void
snap_assembly_free (struct snap_assembly *assembly)
{
  if (assembly == NULL)
    return;
  g_ptr_array_free (assembly->pending, TRUE);
  if (assembly->best != NULL)
    g_byte_array_unref (assembly->best);
  g_free (assembly);
}

static bool
part_is_valid (const Ft__SnapshotPart *part)
{
  return part->id.len == ID_SIZE_BYTES && part->parts > 0
         && part->parts <= SNAP_PARTS_LIMIT && part->part < part->parts
         && part->data.len <= SNAP_PART_SIZE_BYTES;
}

static struct pending_snapshot *
find_or_add_pending (const struct snap_assembly *assembly,
                     const Ft__SnapshotPart *part)
{
  struct pending_snapshot *pending;
  guint i;

  for (i = 0; i < assembly->pending->len; i++)
    {
      pending = g_ptr_array_index (assembly->pending, i);
      if (memcmp (pending->id, part->id.data, ID_SIZE_BYTES) == 0)
        return pending;
    }
  pending = g_new0 (struct pending_snapshot, 1);
  memcpy (pending->id, part->id.data, ID_SIZE_BYTES);
  pending->offset = part->offset;
  pending->parts = part->parts;
  pending->rescue = part->rescue;
  pending->data = g_new0 (GBytes *, part->parts);
  g_ptr_array_add (assembly->pending, pending);
  return pending;
}

static void
join_parts (struct snap_assembly *assembly,
            const struct pending_snapshot *pending)
{
  gsize size_bytes;
  const void *data;
  uint32_t i;

  if (assembly->best != NULL)
    g_byte_array_unref (assembly->best);
  assembly->best = g_byte_array_new ();
  assembly->best_offset = pending->offset;
  assembly->best_is_rescue = pending->rescue;
  assembly->best_position = pending->position;
  for (i = 0; i < pending->parts; i++)
    {
      data = g_bytes_get_data (pending->data[i], &size_bytes);
      g_byte_array_append (assembly->best, data, (guint)size_bytes);
    }
}

static bool
is_preferred (const struct snap_assembly *assembly,
              const struct pending_snapshot *pending)
{
  if (assembly->best == NULL)
    return true;
  if (pending->offset != assembly->best_offset)
    return pending->offset > assembly->best_offset;
  if (pending->rescue != assembly->best_is_rescue)
    return assembly->best_is_rescue;
  return pending->position < assembly->best_position;
}

static void
add_part (struct snap_assembly *assembly, const Ft__SnapshotPart *part,
          uint64_t position)
{
  struct pending_snapshot *pending = find_or_add_pending (assembly, part);

  assembly->lowest_offset = MIN (assembly->lowest_offset, part->offset);
  if (pending->parts != part->parts || pending->offset != part->offset
      || pending->data[part->part] != NULL)
    return;
  pending->position = MAX (pending->position, position);
  pending->data[part->part] = g_bytes_new (part->data.data, part->data.len);
  if (++pending->received_parts < pending->parts)
    return;
  if (is_preferred (assembly, pending))
    join_parts (assembly, pending);
  g_ptr_array_remove (assembly->pending, pending);
}

void
snap_assembly_add (struct snap_assembly *assembly, uint64_t position,
                   const uint8_t *data, size_t size_bytes)
{
  Ft__SnapshotPart *part = ft__snapshot_part__unpack (NULL, size_bytes, data);

  if (part == NULL)
    return;
  if (part_is_valid (part))
    add_part (assembly, part, position);
  ft__snapshot_part__free_unpacked (part, NULL);
}

const uint8_t *
snap_assembly_best (const struct snap_assembly *assembly, uint64_t *offset,
                    size_t *size_bytes)
{
  if (assembly->best == NULL)
    return NULL;
  *offset = assembly->best_offset;
  *size_bytes = assembly->best->len;
  return assembly->best->data;
}

/* While the preferred snapshot is a rescue, another one with the same offset
   may lie further back in the stream, unless a part with a lower offset has
   been read.  */
bool
snap_assembly_is_final (const struct snap_assembly *assembly, uint64_t wanted)
{
  if (assembly->best == NULL || assembly->best_offset < wanted)
    return false;
  return !assembly->best_is_rescue
         || assembly->lowest_offset < assembly->best_offset;
}

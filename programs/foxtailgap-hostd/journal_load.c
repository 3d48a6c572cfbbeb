/* Loading a topic: the newest record of each key replaces what this host knew
   before, also by its absence.  */

#include <string.h>

#include "common/logging.h"
#include "journal_private.h"

static const char PART[] = "journal";

/* Order in which the loaded records are applied: jobs before the records that
   refer to them, and the term last, so that a host that finds its own term
   there starts planning with all state that was stored before it.  */
static int
compare_load_order (const void *a, const void *b)
{
  /* Kinds of records, see the keys in journal_private.h.  */
  static const char order[] = "hjcpqwt";
  const struct so_record *left = *(struct so_record *const *)a;
  const struct so_record *right = *(struct so_record *const *)b;
  const char *left_rank = strchr (order, left->key[0]);
  const char *right_rank = strchr (order, right->key[0]);

  if (left_rank != right_rank)
    return left_rank < right_rank ? -1 : 1;
  return left->offset < right->offset ? -1 : left->offset > right->offset;
}

static bool
is_job (const struct so_record *record)
{
  return g_str_has_prefix (record->key, "j/");
}

void
jr_begin_load (struct topic_reader *reader)
{
  struct journal *journal = reader->journal;
  GHashTableIter iter;
  void *id;

  if (reader != &journal->jobs_reader)
    return;
  g_hash_table_remove_all (journal->jobs_before_load);
  g_hash_table_iter_init (&iter, journal->table->jobs);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    g_hash_table_add (journal->jobs_before_load, g_strdup (id));
}

/* Removes the jobs that this host knew and that have no record any more: their
   removal was stored while it read nothing.  The planner has removed its jobs
   itself, and still refers to the others.  */
static void
remove_jobs_without_record (struct journal *journal)
{
  GHashTableIter iter;
  void *id;

  g_hash_table_iter_init (&iter, journal->jobs_before_load);
  while (journal->own_term == 0 && g_hash_table_iter_next (&iter, &id, NULL))
    {
      char *key = g_strconcat ("j/", (const char *)id, NULL);
      struct so_record removal = { .key = key };

      lg_info (PART, "A job has no record any more; it is removed.", "job", id,
               NULL);
      jr_fold_jobs_record (journal, &removal);
      g_free (key);
    }
  g_hash_table_remove_all (journal->jobs_before_load);
}

/* Opens the data centres whose records were removed while this host read
   nothing.  */
static void
open_without_record (struct journal *journal, const GPtrArray *records)
{
  GHashTable *found;
  GPtrArray *gone = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  void *name;
  guint i;

  if (journal->params.decode_closing == NULL)
    goto out;
  found = g_hash_table_new (g_str_hash, g_str_equal);
  for (i = 0; i < records->len; i++)
    {
      const struct so_record *record = g_ptr_array_index (records, i);
      const char *data_centre = NULL;

      journal->params.decode_closing (&data_centre, record->key, NULL, 0);
      if (data_centre != NULL)
        g_hash_table_add (found, (char *)data_centre);
    }
  g_hash_table_iter_init (&iter, journal->closed);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (found, name))
      g_ptr_array_add (gone, g_strdup (name));
  g_hash_table_destroy (found);
  for (i = 0; i < gone->len; i++)
    jr_set_closed (journal, g_ptr_array_index (gone, i), false, true);

out:
  g_ptr_array_free (gone, TRUE);
}

/* An empty list of leases is stored as a record without a value, which leaves
   nothing to load.  */
static void
forget_leases (struct journal *journal)
{
  if (journal->leases != NULL)
    g_hash_table_destroy (journal->leases);
  journal->leases = NULL;
}

void
jr_apply_newest_records (struct topic_reader *reader)
{
  struct journal *journal = reader->journal;
  bool has_leases = false;
  guint i;

  g_ptr_array_sort (reader->newest_records, compare_load_order);
  for (i = 0; i < reader->newest_records->len; i++)
    {
      const struct so_record *record
          = g_ptr_array_index (reader->newest_records, i);

      if (is_job (record))
        g_hash_table_remove (journal->jobs_before_load, record->key + 2);
      has_leases = has_leases || strcmp (record->key, "w") == 0;
    }
  if (reader == &journal->jobs_reader)
    {
      remove_jobs_without_record (journal);
      if (!has_leases)
        forget_leases (journal);
    }
  else
    open_without_record (journal, reader->newest_records);
  /* Before the records are applied: they may show that this host's term is
     over, and then the topic is to be loaded once more.  */
  reader->next_offset = reader->first_page_end_offset;
  reader->loaded = true;
  reader->caught_up = false;
  reader->ever_loaded = true;
  for (i = 0; i < reader->newest_records->len; i++)
    {
      const struct so_record *record
          = g_ptr_array_index (reader->newest_records, i);

      /* Records stored while the pages were read are skipped here: they are
         read again, in order, from first_page_end_offset on.  A job may have
         been stored a second time, and its other records need it.  */
      if (record->offset < reader->first_page_end_offset || is_job (record))
        reader->apply_record (journal, record);
    }
  g_ptr_array_set_size (reader->newest_records, 0);
  lg_info (PART, "A topic has been loaded.", "topic", reader->topic, "next",
           lg_number (reader->next_offset), NULL);
}

/* Applies records of the topics to the table of jobs, the planner term, the
   hosts and the catalog.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "journal_private.h"

static const char PART[] = "journal";

/* --- Jobs --- */

/* Another host may have accepted or run JOB by a newer catalog than this host
   has read.  */
static void
note_catalog_of_job (struct journal *journal, const struct jb_job *job)
{
  const struct ct_queue *queue = job->queue_config;

  if (queue == NULL || journal->catalog == NULL
      || queue->version <= journal->catalog->version
      || queue->version <= journal->job_catalog_version)
    return;
  journal->job_catalog_version = queue->version;
  journal->job_catalog_found_ms = clk_monotonic_ms (NULL);
  lg_info (PART, "A job is of a newer configuration than this host has read.",
           "job", job->id, "version", lg_number (queue->version),
           "catalog_version", lg_number (journal->catalog->version),
           "catalog_age_ms", lg_number (jr_catalog_age_ms (journal)), NULL);
}

static void
apply_job (struct journal *journal, const char *id,
           const struct so_record *record)
{
  struct jb_job *job = jb_table_find (journal->table, id);
  struct jb_spec *spec = NULL;
  int error;

  if (record->value == NULL)
    {
      if (job == NULL)
        return;
      if (journal->observer.job_removed != NULL)
        journal->observer.job_removed (journal->observer.ctx, job);
      jb_table_remove (journal->table, id);
      return;
    }
  if (job != NULL && job->spec != NULL)
    return; /* submitted twice: the first record counts */
  error = jb_decode_spec (&spec, record->value, record->size_bytes);
  if (error != JB_OK)
    {
      lg_warning (PART, "A job's record cannot be decoded; it is ignored.",
                  "job", id, "error", lg_number (error), NULL);
      return;
    }
  job = jb_table_add (journal->table, id, spec, clk_monotonic_ms (NULL));
  note_catalog_of_job (journal, job);
  if (journal->observer.job_added != NULL)
    journal->observer.job_added (journal->observer.ctx, job);
}

void
jr_apply_stored_record (struct journal *journal,
                        const struct so_record *record)
{
  if (record->key[0] == 'j')
    apply_job (journal, record->key + 2, record);
}

static void
apply_cancel (struct journal *journal, const char *id,
              const struct so_record *record)
{
  struct jb_job *job = jb_table_find (journal->table, id);

  if (job == NULL || record->value == NULL || job->cancel_requested
      || jb_state_is_final (job->visible_state))
    return;
  job->cancel_requested = true;
  job->visible_state = JB_CANCELLED;
  job->final_since_ms = clk_monotonic_ms (NULL);
  lg_info (PART, "A job is cancelled.", "job", id, NULL);
  if (journal->observer.job_cancelled != NULL)
    journal->observer.job_cancelled (journal->observer.ctx, job);
}

static void
apply_progress (struct journal *journal, const char *id,
                const struct so_record *record)
{
  struct jb_job *job = jb_table_find (journal->table, id);
  uint64_t term = 0;

  if (job == NULL || record->value == NULL)
    return;
  if (journal->own_term != 0 && journal->own_term == journal->term.term)
    return; /* this host has written it */
  if (jb_apply_progress (job, &term, record->value, record->size_bytes)
      != JB_OK)
    {
      lg_warning (PART,
                  "A job's progress record cannot be decoded; it is ignored.",
                  "job", id, NULL);
      return;
    }
  note_catalog_of_job (journal, job);
  journal->last_planner_record_ms = clk_monotonic_ms (NULL);
  if (jb_state_is_final (job->visible_state) && job->final_since_ms == 0)
    job->final_since_ms = journal->last_planner_record_ms;
}

/* NAME: ID/BLOCK, of the record's key.  */
static void
apply_block (struct journal *journal, const char *name,
             const struct so_record *record)
{
  char id[JB_ID_DIGITS + 1];
  struct jb_job *job;
  uint64_t block;

  if (strlen (name) < JB_ID_DIGITS + 2 || name[JB_ID_DIGITS] != '/'
      || !g_ascii_string_to_unsigned (name + JB_ID_DIGITS + 1, 10, 0,
                                      UINT32_MAX, &block, NULL))
    return;
  g_strlcpy (id, name, sizeof id);
  job = jb_table_find (journal->table, id);
  if (job == NULL || record->value == NULL)
    return;
  if (journal->own_term != 0 && journal->own_term == journal->term.term)
    return; /* this host has written it */
  if (jb_apply_block (job, block, record->value, record->size_bytes) != JB_OK)
    lg_warning (PART,
                "A record of a job's tasks cannot be decoded; it is ignored.",
                "job", id, NULL);
}

static void
apply_term (struct journal *journal, const struct so_record *record)
{
  struct jb_term_record term = { 0 };

  if (record->value == NULL
      || jb_decode_term (&term, record->value, record->size_bytes) != JB_OK)
    return;
  if (term.term < journal->term.term)
    return;
  journal->last_planner_record_ms = clk_monotonic_ms (NULL);
  if (term.term != journal->term.term
      || strcmp (term.host, journal->term.host) != 0)
    lg_info (PART, "The planner's term.", "term",
             lg_number ((long long)term.term), "host", term.host, NULL);
  journal->term = term;
  if (journal->observer.term_read != NULL)
    journal->observer.term_read (journal->observer.ctx, &term);
}

static void
apply_leases (struct journal *journal, const struct so_record *record)
{
  GHashTable *leases = NULL;

  /* An empty list is a record without a value.  */
  if (jb_decode_leases (&leases, record->value, record->size_bytes) != JB_OK)
    {
      lg_warning (
          PART, "A record of worker leases cannot be decoded; it is ignored.",
          NULL);
      return;
    }
  if (journal->leases != NULL)
    g_hash_table_destroy (journal->leases);
  journal->leases = leases;
}

static void
apply_speeds (struct journal *journal, const struct so_record *record)
{
  if (journal->speeds != NULL)
    g_bytes_unref (journal->speeds);
  journal->speeds = g_bytes_new (record->value, record->size_bytes);
}

static void
apply_host (struct journal *journal, const char *name,
            const struct so_record *record)
{
  struct jb_host_record *host;

  if (record->value == NULL)
    {
      g_hash_table_remove (journal->hosts, name);
      return;
    }
  host = g_new0 (struct jb_host_record, 1);
  if (jb_decode_host (host, record->value, record->size_bytes) == JB_OK)
    g_hash_table_insert (journal->hosts, g_strdup (name), host);
  else
    g_free (host);
}

void
jr_fold_jobs_record (struct journal *journal, const struct so_record *record)
{
  const char *key = record->key;

  if (key[0] == 't')
    apply_term (journal, record);
  else if (strcmp (key, "w") == 0)
    apply_leases (journal, record);
  else if (strcmp (key, "s") == 0)
    apply_speeds (journal, record);
  else if (g_str_has_prefix (key, "h/"))
    {
      apply_host (journal, key + 2, record);
      jr_finish_writes_of_key (journal, key);
    }
  else if (g_str_has_prefix (key, "q/"))
    apply_block (journal, key + 2, record);
  else if (key[0] != '\0' && key[1] == '/' && jb_id_valid (key + 2))
    {
      if (key[0] == 'j')
        apply_job (journal, key + 2, record);
      else if (key[0] == 'c')
        apply_cancel (journal, key + 2, record);
      else if (key[0] == 'p')
        apply_progress (journal, key + 2, record);
      /* A removal does not show that a later write of the key is stored.  */
      if (record->value != NULL)
        jr_finish_writes_of_key (journal, key);
    }
}

/* --- The operator --- */

void
jr_set_closed (struct journal *journal, const char *data_centre, bool closed,
               bool readable)
{
  bool changes
      = closed != g_hash_table_contains (journal->closed, data_centre);

  if (closed && !readable)
    lg_warning (PART,
                "The value of a closed data centre's record cannot be read; "
                "the data centre is closed by the record's key.",
                "data_centre", data_centre, NULL);
  if (!changes)
    return;
  if (closed)
    g_hash_table_add (journal->closed, g_strdup (data_centre));
  else
    g_hash_table_remove (journal->closed, data_centre);
  lg_info (PART,
           closed ? "A data centre is closed for new work."
                  : "A data centre is open for new work again.",
           "data_centre", data_centre, "closed",
           lg_number (g_hash_table_size (journal->closed)), NULL);
  mt_set (journal->params.metrics, "foxtailgap_closed_data_centres",
          g_hash_table_size (journal->closed));
  if (journal->observer.closing_changed != NULL)
    journal->observer.closing_changed (journal->observer.ctx, data_centre,
                                       closed);
}

/* @return : whether RECORD is one of a closed data centre.  */
static bool
apply_closing (struct journal *journal, const struct so_record *record)
{
  const char *data_centre = NULL;
  enum ct_closing closing;

  if (journal->params.decode_closing == NULL)
    return false;
  closing = journal->params.decode_closing (&data_centre, record->key,
                                            record->value, record->size_bytes);
  if (closing == CT_CLOSING_NONE)
    return false;
  if (data_centre == NULL)
    lg_warning (PART,
                "The key of a record names no data centre to close; the "
                "record is ignored.",
                "key_bytes", lg_number ((long long)strlen (record->key)),
                NULL);
  else
    jr_set_closed (journal, data_centre, record->value != NULL,
                   closing == CT_CLOSING_READ);
  return true;
}

static void
apply_catalog (struct journal *journal, const struct so_record *record)
{
  struct ct_catalog *catalog = NULL;

  if (journal->params.decode_catalog (&catalog, record->value,
                                      record->size_bytes)
      < 0)
    {
      lg_error (PART,
                "The operator's configuration cannot be decoded; "
                "the previous one, if any, stays in force.",
                NULL);
      return;
    }
  if (journal->catalog != NULL && catalog->version < journal->catalog->version)
    {
      ct_catalog_free (catalog);
      return;
    }
  lg_info (PART, "A configuration is in force.", "version",
           lg_number (catalog->version), "queues",
           lg_number ((long long)catalog->queue_count), NULL);
  if (journal->observer.catalog_changed != NULL)
    journal->observer.catalog_changed (journal->observer.ctx, catalog);
  ct_catalog_free (journal->catalog);
  journal->catalog = catalog;
}

void
jr_fold_operator_record (struct journal *journal,
                         const struct so_record *record)
{
  if (apply_closing (journal, record))
    return;
  if (strcmp (record->key, journal->params.catalog_key) == 0
      && record->value != NULL)
    apply_catalog (journal, record);
}

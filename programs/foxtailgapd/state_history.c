/* Answers queries for the revisions of the configuration.  */

#include "state_history.h"

#include <glib.h>

/* Context of add_revision ().  */
struct collect
{
  uint64_t requested_revision; /* 0: all */
  GArray *revisions;
};

static void
add_revision (void *ctx, const struct st_revision *from)
{
  struct collect *collect = ctx;
  struct msg_config_revision revision
      = { .revision = from->revision, .time_ms = from->time_ms };

  if (collect->requested_revision != 0
      && collect->requested_revision != from->revision)
    return;
  revision.digest = g_strdup (from->digest);
  revision.author = g_strdup (from->author);
  revision.note = g_strdup (from->note);
  if (collect->requested_revision != 0 && from->document != NULL)
    revision.document = g_strndup (from->document, from->document_size_bytes);
  g_array_append_val (collect->revisions, revision);
}

void
hist_answer (const struct st_state *state, struct msg_config_history *history)
{
  struct collect collect
      = { .requested_revision = history->revision,
          .revisions
          = g_array_new (FALSE, TRUE, sizeof (struct msg_config_revision)) };

  st_each_revision (state, add_revision, &collect);
  history->revision_count = collect.revisions->len;
  history->revisions
      = (struct msg_config_revision *)g_array_free (collect.revisions, FALSE);
  mb_post (history->reply, MSG_CONFIG_HISTORY, history);
}

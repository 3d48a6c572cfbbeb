/* Sends changes of the folded state to the tasks that subscribed.  */

#include "state_publish.h"

#include <glib.h>

#include "common/logging.h"

enum
{
  OFFSET_DELAY_MS = 100, /* of a message in which only the offset is new */
  MS_PER_S = 1000
};

struct pub_list
{
  struct ev_loop *loop;
  GArray *subscribers; /* struct msg_subscribe */
  struct msg_log_status status;
  ev_timer offset_timer;
};

/* ===== Messages =============================================== */

static void
send_term (struct mb_box *box, const struct st_state *state, uint64_t own_term)
{
  struct msg_term *term = g_new0 (struct msg_term, 1);

  term->term = st_term (state);
  term->holder = g_strdup (st_term_holder (state));
  term->held_here = own_term != 0 && own_term == term->term;
  mb_post (box, MSG_TERM, term);
}

static void
send_config (struct mb_box *box, const struct st_revision *revision)
{
  struct env_messages messages = { 0 };
  struct env_document *document = NULL;
  struct msg_config *config;

  if (env_parse (&document, revision->document, revision->document_size_bytes,
                 &messages)
      != ENV_OK)
    {
      lg_error ("state", "The configuration in force cannot be read.",
                "revision", lg_number ((long long)revision->revision), "error",
                messages.count > 0 ? messages.items[0].text : "none", NULL);
      env_messages_clear (&messages);
      return;
    }
  env_messages_clear (&messages);
  config = g_new0 (struct msg_config, 1);
  config->revision = revision->revision;
  config->digest = g_strdup (revision->digest);
  config->author = g_strdup (revision->author);
  config->time_ms = revision->time_ms;
  config->document_text = g_strdup (revision->document);
  config->document = document;
  mb_post (box, MSG_CONFIG, config);
}

static void
send_log (struct mb_box *box, const struct msg_log_status *status)
{
  struct msg_log_status *copy = g_new (struct msg_log_status, 1);

  *copy = *status;
  mb_post (box, MSG_LOG_STATUS, copy);
}

static void
send_job (void *ctx, struct st_job *job)
{
  mb_post (ctx, MSG_JOB, st_job_ref (job));
}

static void
send_claim (void *ctx, struct st_claim *claim)
{
  mb_post (ctx, MSG_KEY_CLAIM, st_claim_ref (claim));
}

/* ===== Subscribers ============================================ */

static const struct msg_subscribe *
subscriber (const struct pub_list *list, guint i)
{
  return &g_array_index (list->subscribers, struct msg_subscribe, i);
}

void
pub_subscribe (struct pub_list *list, const struct msg_subscribe *subscribe,
               const struct st_state *state, uint64_t own_term)
{
  struct mb_box *box = subscribe->box;
  const struct st_revision *revision = st_current_config (state);

  g_array_append_val (list->subscribers, *subscribe);
  if (subscribe->terms)
    send_term (box, state, own_term);
  if (subscribe->configs && revision != NULL)
    send_config (box, revision);
  if (subscribe->jobs)
    st_each_job (state, send_job, box);
  if (subscribe->claims)
    st_each_claim (state, send_claim, box);
  if (subscribe->log)
    send_log (box, &list->status);
}

void
pub_term (struct pub_list *list, const struct st_state *state,
          uint64_t own_term)
{
  guint i;

  for (i = 0; i < list->subscribers->len; i++)
    if (subscriber (list, i)->terms)
      send_term (subscriber (list, i)->box, state, own_term);
}

void
pub_config (struct pub_list *list, const struct st_revision *revision)
{
  guint i;

  for (i = 0; i < list->subscribers->len; i++)
    if (subscriber (list, i)->configs)
      send_config (subscriber (list, i)->box, revision);
}

void
pub_job (struct pub_list *list, struct st_job *job)
{
  guint i;

  for (i = 0; i < list->subscribers->len; i++)
    if (subscriber (list, i)->jobs)
      send_job (subscriber (list, i)->box, job);
}

void
pub_job_dropped (struct pub_list *list, const char *id)
{
  guint i;

  for (i = 0; i < list->subscribers->len; i++)
    if (subscriber (list, i)->jobs)
      mb_post (subscriber (list, i)->box, MSG_JOB_DROPPED, g_strdup (id));
}

void
pub_claim (struct pub_list *list, struct st_claim *claim)
{
  guint i;

  for (i = 0; i < list->subscribers->len; i++)
    if (subscriber (list, i)->claims)
      send_claim (subscriber (list, i)->box, claim);
}

void
pub_claim_dropped (struct pub_list *list, const char *key)
{
  guint i;

  for (i = 0; i < list->subscribers->len; i++)
    if (subscriber (list, i)->claims)
      mb_post (subscriber (list, i)->box, MSG_KEY_CLAIM_DROPPED,
               g_strdup (key));
}

/* ===== Health of the log ====================================== */

static void
send_status (struct pub_list *list)
{
  guint i;

  ev_timer_stop (list->loop, &list->offset_timer);
  for (i = 0; i < list->subscribers->len; i++)
    if (subscriber (list, i)->log)
      send_log (subscriber (list, i)->box, &list->status);
}

static void
on_offset_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  send_status (watcher->data);
}

void
pub_log_status (struct pub_list *list, const struct msg_log_status *status)
{
  bool urgent = status->up != list->status.up
                || status->caught_up != list->status.caught_up;
  bool moved = status->next_offset != list->status.next_offset;

  list->status = *status;
  if (urgent)
    send_status (list);
  else if (moved && !ev_is_active (&list->offset_timer))
    {
      ev_timer_set (&list->offset_timer, (double)OFFSET_DELAY_MS / MS_PER_S,
                    0.0);
      ev_timer_start (list->loop, &list->offset_timer);
    }
}

/* ===== Create and free ======================================== */

struct pub_list *
pub_create (struct ev_loop *loop)
{
  struct pub_list *list = g_new0 (struct pub_list, 1);

  list->loop = loop;
  list->subscribers
      = g_array_new (FALSE, FALSE, sizeof (struct msg_subscribe));
  ev_init (&list->offset_timer, on_offset_timer);
  list->offset_timer.data = list;
  return list;
}

void
pub_free (struct pub_list *list)
{
  if (list == NULL)
    return;
  ev_timer_stop (list->loop, &list->offset_timer);
  g_array_free (list->subscribers, TRUE);
  g_free (list);
}

/* Follows a stream by long polls from the client's own position.  */

#include "common/logging.h"
#include "log/log_private.h"

enum
{
  HTTP_OK = 200,
  HTTP_GONE = 410,
  URL_SIZE_BYTES = 512
};

static void
read_later (struct log_client *client, uint32_t delay_ms)
{
  if (!client->paused && client->read_call == NULL)
    log_timer_start (client, &client->read_delay, delay_ms);
}

static void
read_failed (struct log_client *client, const char *why)
{
  client->read_failures++;
  read_later (client, log_retry_ms (client->read_failures));
  log_call_failed (client, "read", why);
}

static void
on_expired (struct log_client *client, const struct log_answer *answer)
{
  client->paused = true;
  client->first = answer->first;
  lg_warning ("log", "The wanted offset has expired.", "stream",
              client->params.stream, "offset",
              lg_number ((long long)client->position), "first",
              lg_number ((long long)answer->first), NULL);
  if (client->params.expired != NULL)
    client->params.expired (client->params.ctx, answer->first, answer->next);
}

/* Hands out the records in order, until one is missing or the reader is sent
   elsewhere.  */
static bool
deliver (struct log_client *client, const struct log_answer *answer)
{
  const struct log_item *item;
  size_t i;

  for (i = 0; i < answer->item_count; i++)
    {
      item = &answer->items[i];
      if (item->offset < client->position)
        continue;
      if (item->offset > client->position)
        return false;
      client->position++;
      client->params.record (client->params.ctx, item->offset, item->time_ms,
                             item->data, item->size_bytes);
    }
  return true;
}

static void
on_records (struct log_client *client, const struct log_answer *answer)
{
  if (client->position < answer->first)
    {
      on_expired (client, answer);
      return;
    }
  client->first = answer->first;
  if (!deliver (client, answer))
    {
      read_failed (client, "records are missing in the answer");
      return;
    }
  client->read_failures = 0;
  read_later (client, answer->item_count > 0 ? LOG_READ_GAP_MS : 0);
  log_call_succeeded (client, client->read_number);
  if (client->position >= answer->next && client->params.caught_up != NULL)
    client->params.caught_up (client->params.ctx, client->position);
}

static void
on_answer (struct log_client *client, const struct hc_response *response)
{
  struct log_answer answer;

  if (log_answer_parse (&answer, response->body, response->body_size_bytes)
      != LOG_OK)
    read_failed (client, "the answer cannot be understood");
  else if (response->status == HTTP_GONE)
    {
      client->read_failures = 0;
      log_call_succeeded (client, client->read_number);
      on_expired (client, &answer);
    }
  else
    on_records (client, &answer);
  log_answer_clear (&answer);
}

static void
on_read (void *ctx, const struct hc_response *response)
{
  struct log_client *client = ctx;

  client->read_call = NULL;
  client->stats.read_bytes += response->body_size_bytes;
  if (response->error == HC_ERR_TOO_LARGE && client->read_limit_records > 1)
    {
      client->read_limit_records /= 2;
      read_later (client, 0);
    }
  else if (response->error != HC_OK)
    read_failed (client, hc_strerror (response->error));
  else if (response->status == HTTP_OK || response->status == HTTP_GONE)
    on_answer (client, response);
  else
    read_failed (client, lg_number (response->status));
}

/* While the log is not known to be up, an answer is wanted at once.  */
static void
start_read (struct log_client *client)
{
  uint32_t wait_ms = client->up ? client->params.poll_wait_ms : 0;
  char url[URL_SIZE_BYTES];
  struct hc_request request
      = { .method = "GET",
          .url = url,
          .timeout_ms = wait_ms + client->params.timeout_ms,
          .connect_timeout_ms
          = MIN (client->params.timeout_ms, LOG_CONNECT_TIMEOUT_MS),
          .response_limit_bytes = LOG_READ_LIMIT_BYTES,
          .callback = on_read,
          .ctx = client };

  g_snprintf (url, sizeof url,
              "%s?from=%" G_GUINT64_FORMAT "&limit=%u&wait_ms=%u", client->url,
              client->position, client->read_limit_records, wait_ms);
  client->read_number = log_call_started (client);
  client->stats.reads++;
  if (hc_send (client->params.http, &request, &client->read_call) != HC_OK)
    {
      client->read_call = NULL;
      read_later (client, LOG_RETRY_MAX_MS);
    }
}

static void
on_read_delay (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct log_client *client = watcher->data;

  (void)loop;
  (void)events;
  if (client->read_call == NULL && !client->paused)
    start_read (client);
}

void
log_seek (struct log_client *client, uint64_t offset)
{
  if (client->read_call != NULL)
    hc_cancel (client->read_call);
  client->read_call = NULL;
  client->position = offset;
  client->paused = false;
  read_later (client, 0);
}

void
log_reads_init (struct log_client *client)
{
  client->position = client->params.from;
  client->paused = client->params.paused;
  client->read_limit_records = LOG_READ_LIMIT_RECORDS;
  ev_init (&client->read_delay, on_read_delay);
  client->read_delay.data = client;
  read_later (client, 0);
}

void
log_reads_clear (struct log_client *client)
{
  ev_timer_stop (client->params.loop, &client->read_delay);
  if (client->read_call != NULL)
    hc_cancel (client->read_call);
  client->read_call = NULL;
}

/* Follows a stream by long polls, each from the first offset that has not been
   delivered.  */

#include "common/logging.h"
#include "log/log_private.h"

enum
{
  HTTP_OK = 200,
  HTTP_GONE = 410,
  URL_SIZE_BYTES = 512
};

static void
schedule_read (struct log_client *client, uint32_t delay_ms)
{
  if (!client->paused && client->read_call == NULL)
    log_timer_start (client, &client->read_timer, delay_ms);
}

static void
handle_read_failure (struct log_client *client, const char *why)
{
  client->read_failures++;
  schedule_read (client, log_retry_ms (client->read_failures));
  log_call_failed (client, "read", why);
}

static void
handle_expired_offset (struct log_client *client,
                       const struct log_answer *answer)
{
  client->paused = true;
  client->oldest_offset = answer->first;
  lg_warning ("log",
              "The next offset to read has expired in the log; reading pauses "
              "until a snapshot is loaded.",
              "stream", client->params.stream, "offset",
              lg_number ((long long)client->next_offset), "first",
              lg_number ((long long)answer->first), NULL);
  if (client->params.on_expired != NULL)
    client->params.on_expired (client->params.ctx, answer->first,
                               answer->next);
}

/* Delivers the appends of the answer in order, without those that were
   delivered before.  Returns false at the first gap, also if the owner has
   changed next_offset by log_seek () meanwhile.  */
static bool
deliver_records (struct log_client *client, const struct log_answer *answer)
{
  const struct log_stored_append *item;
  size_t i;

  for (i = 0; i < answer->item_count; i++)
    {
      item = &answer->items[i];
      if (item->offset < client->next_offset)
        continue;
      if (item->offset > client->next_offset)
        return false;
      client->next_offset++;
      client->params.on_append (client->params.ctx, item->offset,
                                item->time_ms, item->data, item->size_bytes);
    }
  return true;
}

static void
handle_records (struct log_client *client, const struct log_answer *answer)
{
  if (client->next_offset < answer->first)
    {
      handle_expired_offset (client, answer);
      return;
    }
  client->oldest_offset = answer->first;
  if (!deliver_records (client, answer))
    {
      handle_read_failure (client, "records are missing in the answer");
      return;
    }
  client->read_failures = 0;
  schedule_read (client, answer->item_count > 0 ? LOG_READ_GAP_MS : 0);
  log_call_succeeded (client, client->read_call_number);
  if (client->next_offset >= answer->next
      && client->params.on_caught_up != NULL)
    client->params.on_caught_up (client->params.ctx, client->next_offset);
}

static void
handle_answer (struct log_client *client, const struct hc_response *response)
{
  struct log_answer answer;

  if (log_answer_parse (&answer, response->body, response->body_size_bytes)
      != LOG_OK)
    handle_read_failure (client, "the answer cannot be understood");
  else if (response->status == HTTP_GONE)
    {
      client->read_failures = 0;
      log_call_succeeded (client, client->read_call_number);
      handle_expired_offset (client, &answer);
    }
  else
    handle_records (client, &answer);
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
      schedule_read (client, 0);
    }
  else if (response->error != HC_OK)
    handle_read_failure (client, hc_strerror (response->error));
  else if (response->status == HTTP_OK || response->status == HTTP_GONE)
    handle_answer (client, response);
  else
    handle_read_failure (client, lg_number (response->status));
}

/* While the log is not known to be up, the read does not ask for a long poll:
   an immediate answer shows that the log is up again.  */
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
              client->next_offset, client->read_limit_records, wait_ms);
  client->read_call_number = log_call_started (client);
  client->stats.reads++;
  if (hc_send (client->params.http, &request, &client->read_call) != HC_OK)
    {
      client->read_call = NULL;
      schedule_read (client, LOG_RETRY_MAX_MS);
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
  client->next_offset = offset;
  client->paused = false;
  schedule_read (client, 0);
}

void
log_reads_init (struct log_client *client)
{
  client->next_offset = client->params.first_offset;
  client->paused = client->params.start_paused;
  client->read_limit_records = LOG_READ_LIMIT_RECORDS;
  ev_init (&client->read_timer, on_read_delay);
  client->read_timer.data = client;
  schedule_read (client, 0);
}

void
log_reads_clear (struct log_client *client)
{
  ev_timer_stop (client->params.loop, &client->read_timer);
  if (client->read_call != NULL)
    hc_cancel (client->read_call);
  client->read_call = NULL;
}

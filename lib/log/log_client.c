/* Creation, health and timers of the log client.  */

#include "log/log_client.h"

#include <stdlib.h>

#include "common/logging.h"
#include "log/log_private.h"

enum
{
  MS_PER_S = 1000,
  US_PER_MS = 1000
};

int64_t
log_now_ms (void)
{
  return g_get_monotonic_time () / US_PER_MS;
}

void
log_timer_start (struct log_client *client, ev_timer *timer, int64_t delay_ms)
{
  ev_timer_stop (client->params.loop, timer);
  ev_now_update (client->params.loop);
  ev_timer_set (timer, (double)MAX (delay_ms, 0) / MS_PER_S, 0.0);
  ev_timer_start (client->params.loop, timer);
}

uint32_t
log_retry_ms (uint32_t failures)
{
  uint32_t shift = MIN (failures > 0 ? failures - 1 : 0, 8);
  uint32_t delay_ms = MIN (LOG_RETRY_MIN_MS << shift, LOG_RETRY_MAX_MS);

  return delay_ms / 2 + (uint32_t)g_random_int_range (0, delay_ms / 2 + 1);
}

/* ===== Health ================================================= */

static void
set_health (struct log_client *client, bool up)
{
  client->up = up;
  if (client->params.on_health != NULL)
    client->params.on_health (client->params.ctx, up);
}

uint64_t
log_call_started (struct log_client *client)
{
  return ++client->calls_started;
}

void
log_call_succeeded (struct log_client *client, uint64_t number)
{
  if (client->up || number <= client->newest_failure_call_number)
    return;
  lg_info ("log", "The log is available.", "stream", client->params.stream,
           NULL);
  set_health (client, true);
}

void
log_call_failed (struct log_client *client, const char *what, const char *why)
{
  client->newest_failure_call_number = client->calls_started;
  if (!client->up && client->ever_failed)
    return;
  client->ever_failed = true;
  lg_warning (
      "log",
      "A call to the log failed; the log counts as unavailable until a "
      "later call succeeds.",
      "call", what, "error", why, "stream", client->params.stream, NULL);
  set_health (client, false);
}

/* ===== Creation and release =================================== */

int
log_create (struct log_client **out, const struct log_params *params)
{
  struct log_client *client = calloc (1, sizeof *client);

  if (client == NULL)
    return LOG_ERR_MEMORY;
  client->params = *params;
  client->params.stream = g_strdup (params->stream);
  client->url = g_strdup_printf ("%s/streams/%s", params->url, params->stream);
  log_appends_init (client);
  log_reads_init (client);
  *out = client;
  return LOG_OK;
}

void
log_free (struct log_client *client)
{
  if (client == NULL)
    return;
  log_reads_clear (client);
  log_appends_clear (client);
  g_free (client->url);
  g_free ((char *)client->params.stream);
  free (client);
}

bool
log_is_up (const struct log_client *client)
{
  return client->up;
}

uint64_t
log_next_offset (const struct log_client *client)
{
  return client->next_offset;
}

uint64_t
log_oldest_offset (const struct log_client *client)
{
  return client->oldest_offset;
}

void
log_stats (const struct log_client *client, struct log_stats *stats)
{
  *stats = client->stats;
}

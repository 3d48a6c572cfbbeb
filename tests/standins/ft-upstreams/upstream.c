/* One upstream instance, which runs a limited number of requests at a time. */

#include "upstream.h"

#include <jansson.h>
#include <string.h>

#include "standins/common/json_answer.h"

enum
{
  MS_PER_S = 1000,
  PERCENT = 100,
  ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
};

struct up_instance
{
  struct up_params params;
  bool leaving;
  bool fail_all;
  GQueue works;
};

/* A running request, which occupies one slot.  */
struct work
{
  GList link; /* in instance->works */
  struct up_instance *instance;
  struct hs_request *request;
  ev_timer timer;
  char *request_id;
  char *body;
  char *digest; /* of the body */
  uint64_t run_ms;
  uint64_t answer_size_bytes;
  bool fails;
};

struct up_instance *
up_create (const struct up_params *params)
{
  struct up_instance *instance = g_new0 (struct up_instance, 1);

  instance->params = *params;
  instance->params.name = g_strdup (params->name);
  g_queue_init (&instance->works);
  return instance;
}

void
up_free (struct up_instance *instance)
{
  if (instance == NULL)
    return;
  up_drop_all (instance);
  g_free ((char *)instance->params.name);
  g_free (instance);
}

static void
work_free (struct work *work)
{
  ev_timer_stop (work->instance->params.loop, &work->timer);
  g_queue_unlink (&work->instance->works, &work->link);
  g_free (work->request_id);
  g_free (work->body);
  g_free (work->digest);
  g_free (work);
}

void
up_drop_all (struct up_instance *instance)
{
  struct work *work;

  while (!g_queue_is_empty (&instance->works))
    {
      work = g_queue_peek_head (&instance->works);
      hs_close_without_response (work->request);
      work_free (work);
    }
}

/* --- Answers --- */

static void
send_answer (const struct up_instance *instance, struct hs_request *request,
             unsigned int status, const char *text, size_t size_bytes)
{
  struct hs_header headers[] = { { "Content-Type", "text/plain" },
                                 { "Foxtailgap-Upstream-State", "leaving" } };

  hs_respond (request, status, headers, instance->leaving ? 2 : 1, text,
              size_bytes);
}

/* @return : the answer, filled with periods up to the size that the request
   asks for.  */
static GString *
answer_text (const struct work *work)
{
  GString *text = g_string_new (NULL);
  uint64_t size_bytes = MIN (work->answer_size_bytes, ANSWER_LIMIT_BYTES);
  size_t used;

  g_string_printf (text, "answer %s %s %s", work->request_id,
                   work->instance->params.name, work->body);
  used = text->len;
  if (used < size_bytes)
    {
      g_string_set_size (text, size_bytes);
      memset (text->str + used, '.', size_bytes - used);
    }
  return text;
}

static void
record_answer (const struct work *work, unsigned int status,
               const GString *text)
{
  char *digest = hf_digest (text->str, text->len);

  hf_write (work->instance->params.history, work->instance->params.name,
            "answer",
            json_pack ("{s:s,s:s,s:I,s:i,s:s}", "request", work->request_id,
                       "body", work->digest, "bytes", (json_int_t)text->len,
                       "status", (int)status, "answer", digest));
  g_free (digest);
}

static void
finish_work (struct work *work)
{
  GString *text;
  unsigned int status = 200;

  if (work->fails)
    {
      status = 500;
      text = g_string_new ("failed ");
      g_string_append (text, work->request_id);
    }
  else
    text = answer_text (work);
  record_answer (work, status, text);
  send_answer (work->instance, work->request, status, text->str, text->len);
  g_string_free (text, TRUE);
  work_free (work);
}

static void
on_finished (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  finish_work (watcher->data);
}

/* --- Work --- */

static void
on_gone (void *ctx)
{
  work_free (ctx);
}

static uint64_t
randomize_run_ms (const struct up_instance *instance, uint64_t run_ms)
{
  const struct up_params *params = &instance->params;
  double share = (double)params->spread_percent / PERCENT;

  if (params->spread_percent == 0)
    return run_ms;
  return (uint64_t)((double)run_ms
                    * g_rand_double_range (params->random, 1.0 - share,
                                           1.0 + share));
}

/* Reads how the request is to be run from its body.  A body that is no JSON
   object gets the defaults.  */
static void
read_work_options (struct work *work, size_t size_bytes)
{
  const struct up_instance *instance = work->instance;
  json_t *options = json_loadb (work->body, size_bytes, 0, NULL);

  work->run_ms = randomize_run_ms (
      instance, ja_number (options, "run_ms", instance->params.run_ms));
  work->fails = instance->fail_all || ja_flag (options, "fail", false);
  work->answer_size_bytes = ja_number (options, "size_bytes", 0);
  json_decref (options);
}

static const char *
header_or_empty (const struct hs_request *request, const char *name)
{
  const char *value = hs_header (request, name);

  return value == NULL ? "" : value;
}

static void
record_run (const struct work *work)
{
  hf_write (work->instance->params.history, work->instance->params.name, "run",
            json_pack ("{s:s,s:s,s:I,s:s}", "request", work->request_id,
                       "team",
                       header_or_empty (work->request, "Foxtailgap-Team"),
                       "slots_used", (json_int_t)work->instance->works.length,
                       "body", work->digest));
}

static void
refuse_busy (struct up_instance *instance, struct hs_request *request)
{
  static const char text[]
      = "{\"error\":\"busy\",\"message\":\"All slots are taken.\"}";

  hf_write (instance->params.history, instance->params.name, "refuse",
            json_pack ("{s:s,s:s}", "request",
                       header_or_empty (request, "Foxtailgap-Request-Id"),
                       "why", "busy"));
  send_answer (instance, request, 503, text, sizeof text - 1);
}

void
up_start_work (struct up_instance *instance, struct hs_request *request)
{
  size_t size_bytes;
  const char *body = hs_body (request, &size_bytes);
  struct work *work;

  if (instance->works.length >= instance->params.slots)
    {
      refuse_busy (instance, request);
      return;
    }
  work = g_new0 (struct work, 1);
  work->instance = instance;
  work->request = request;
  work->request_id
      = g_strdup (header_or_empty (request, "Foxtailgap-Request-Id"));
  work->body = g_strndup (body, size_bytes);
  work->digest = hf_digest (body, size_bytes);
  work->link.data = work;
  g_queue_push_tail_link (&instance->works, &work->link);
  hs_on_disconnect (request, on_gone, work);
  read_work_options (work, size_bytes);
  record_run (work);
  ev_timer_init (&work->timer, on_finished, (ev_tstamp)work->run_ms / MS_PER_S,
                 0.0);
  work->timer.data = work;
  ev_timer_start (instance->params.loop, &work->timer);
}

/* --- Settings --- */

void
up_set_leaving (struct up_instance *instance, bool leaving)
{
  if (leaving != instance->leaving)
    hf_write (instance->params.history, instance->params.name, "state",
              json_pack ("{s:s}", "state", leaving ? "leaving" : "live"));
  instance->leaving = leaving;
}

void
up_set_fail_all (struct up_instance *instance, bool fail_all)
{
  instance->fail_all = fail_all;
}

void
up_set_run_ms (struct up_instance *instance, uint32_t run_ms)
{
  instance->params.run_ms = run_ms;
}

bool
up_is_leaving (const struct up_instance *instance)
{
  return instance->leaving;
}

bool
up_fails_all (const struct up_instance *instance)
{
  return instance->fail_all;
}

uint32_t
up_run_ms (const struct up_instance *instance)
{
  return instance->params.run_ms;
}

uint32_t
up_slots_used (const struct up_instance *instance)
{
  return instance->works.length;
}

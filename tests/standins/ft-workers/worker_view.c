/* JSON views of a worker for its answers.  */

#include "worker_view.h"

#include "event_list.h"
#include "lease.h"

static void
add_lease (void *ctx, const struct le_lease *lease)
{
  json_array_append_new (
      ctx, json_pack ("[s,I]", lease->job, (json_int_t)lease->attempt));
}

json_t *
wv_leases (const struct wk_worker *worker)
{
  json_t *leases = json_array ();

  wk_for_each_lease (worker, add_lease, leases);
  return leases;
}

struct usage
{
  json_t *array;
  int64_t time_ms;
};

static void
add_usage (void *ctx, const struct le_lease *lease)
{
  const struct usage *usage = ctx;
  const struct le_task *task;
  json_t *object;
  guint i;

  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      object = tk_usage (&task->task, usage->time_ms);
      if (object == NULL)
        continue;
      json_object_set_new (object, "job", json_string (lease->job));
      json_object_set_new (object, "attempt", json_integer (lease->attempt));
      json_object_set_new (object, "task", json_integer (task->task.number));
      json_array_append_new (usage->array, object);
    }
}

json_t *
wv_usage (const struct wk_worker *worker)
{
  const struct wk_params *params = wk_params (worker);
  struct usage usage
      = { .array = json_array (),
          .time_ms = tk_now_ms (params->loop) - params->usage_lag_ms };

  wk_for_each_lease (worker, add_usage, &usage);
  return usage.array;
}

static void
add_state (void *ctx, const struct le_lease *lease)
{
  json_array_append_new (ctx, le_json (lease));
}

json_t *
wv_state (struct wk_worker *worker)
{
  json_t *leases = json_array ();

  wk_for_each_lease (worker, add_state, leases);
  return json_pack ("{s:s,s:I,s:I,s:b,s:b,s:o,s:o}", "worker",
                    wk_params (worker)->name, "boot",
                    (json_int_t)wk_boot (worker), "term",
                    (json_int_t)wk_term (worker), "fail_all",
                    (int)wk_faults (worker)->fail_all, "refuse_start",
                    (int)wk_faults (worker)->refuse_start, "leases", leases,
                    "events", el_json (wk_events (worker)));
}

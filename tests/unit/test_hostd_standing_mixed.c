/* Simulated days of the scheduling core with much that test_hostd_standing
   does not draw: two services, one of which does not enforce its capacity,
   workers that shrink, labels, limits per worker, an advisor, steps, due
   times, tasks that last, refused starts, few attempts, and other hosts that
   take over.  No job waits for long beside room for it.  The days are drawn
   from a seed; with an argument, only the day of that seed is simulated.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "hostd_fixture.h"
#include "jobs/records.h"

enum
{
  DAYS = 300,
  WORKERS = 48,
  DESK_WORKERS = 32, /* the others are of the service `office` */
  WORKERS_PER_RACK = 8,
  ACCELERATORS = 8,
  CPUS_MILLI = 128000,
  MEMORY_MIB = 262144,
  STEP_MS = 50,
  POLL_MS = 500,
  HEARTBEAT_MS = 1500,
  REPORT_VALID_MS = 3200,
  TRAFFIC_END_MS = 15000,
  DAY_END_MS = 40000,
  TAKEOVER_MS = 250, /* without rounds */
  FIRST_POLLS_MS = 200,
  ADVICE_MS = 100,
  TICKET_MS = 5000,
  LASTING_START_MS = 1000, /* until it is at work */
  /* The platform's time, less the time in which a start is recorded, sent and
     answered; and in which a planner takes over.  */
  STANDING_MAX_MS = 2500,
  TAKEOVER_STANDING_MAX_MS = 3000,
  /* Of a task that lasts, from its last run.  */
  RESTART_MAX_MS = 8500
};

static const char LABEL[] = "fast";

struct sim_worker
{
  char id[8];
  char rack[8];
  bool labelled;
  bool office;
  bool failing;
  bool slow;
  bool shrunk;
  int64_t shrunk_from_ms;
  int64_t shrunk_until_ms;
  int64_t lost_from_ms;
  int64_t lost_until_ms;
  int64_t heartbeat_offset_ms;
};

struct sim_job
{
  struct jb_job *job;
  int64_t run_ms;
  int64_t standing_since_ms;       /* -1: does not stand */
  int64_t *task_standing_since_ms; /* of a job whose tasks last */
  bool *has_run;                   /* the same */
};

struct pending_answer
{
  struct sd_advisor_query *query;
  int64_t at_ms;
};

struct day
{
  GRand *rand;
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct sim_worker workers[WORKERS];
  GArray *jobs;    /* struct sim_job */
  GArray *answers; /* struct pending_answer */
  int64_t now_ms;
  int64_t takeover_ms; /* of the next one */
  int64_t last_takeover_ms;
  bool faults;
  uint32_t violations;
  bool verbose;
};

static bool
draws (struct day *day, double share)
{
  return g_rand_double (day->rand) < share;
}

/* --- Configuration --- */

static struct ct_catalog *
make_catalog (void)
{
  static const struct ct_queue queues[] = {
    { .name = (char *)"urgent", .service = (char *)"desk" },
    { .name = (char *)"batch", .service = (char *)"desk", .priority = 1 },
    { .name = (char *)"clerks", .service = (char *)"office", .priority = 1 },
    { .name = (char *)"advised",
      .service = (char *)"desk",
      .priority = 1,
      .uses_advisor = true,
      .advice_call_ms = 10,
      .advice_per_worker_ms = 2 },
  };
  struct ct_catalog *catalog = g_new0 (struct ct_catalog, 1);
  size_t i;

  catalog->version = 1;
  catalog->queue_count = G_N_ELEMENTS (queues);
  catalog->queues = g_new0 (struct ct_queue, G_N_ELEMENTS (queues));
  for (i = 0; i < G_N_ELEMENTS (queues); i++)
    {
      struct ct_queue *queue = &catalog->queues[i];

      *queue = queues[i];
      queue->name = g_strdup (queues[i].name);
      queue->service = g_strdup (queues[i].service);
      queue->host_header = g_strdup ("h");
      queue->path_prefix = g_strdup_printf ("/%s/", queues[i].name);
      queue->attempt_limit = 3;
      queue->slack_factor = 3.0;
      queue->target_ms = 1000;
    }
  catalog->team_count = 1;
  catalog->teams = g_new0 (struct ct_team, 1);
  catalog->teams[0] = (struct ct_team){ .name = g_strdup ("clinic"),
                                        .keys = g_new0 (char *, 1),
                                        .guaranteed_accelerators = 64 };
  catalog->service_count = 2;
  catalog->services = g_new0 (struct ct_service, 2);
  catalog->services[0] = (struct ct_service){ .name = g_strdup ("desk"),
                                              .enforces_capacity = true };
  catalog->services[1] = (struct ct_service){ .name = g_strdup ("office") };
  ct_index_queues (catalog);
  return catalog;
}

/* --- Jobs --- */

static void
draw_step (struct day *day, struct jb_step_spec *step, const char *queue)
{
  static const int64_t accelerators[] = { 1, 2, 4, 8 };
  bool office = strcmp (queue, "clerks") == 0;

  step->count = (uint32_t)g_rand_int_range (day->rand, 1, 13);
  step->gang = draws (day, 0.6);
  step->one_rack = step->gang && draws (day, 0.6);
  step->resources = (struct jb_resources){
    .cpus_milli = g_rand_int_range (day->rand, 4, 60) * INT64_C (1000),
    .memory_mib = g_rand_int_range (day->rand, 8, 120) * INT64_C (1000),
    .accelerators
    = office ? 0 : accelerators[g_rand_int_range (day->rand, 0, 4)]
  };
  if (draws (day, 0.2))
    step->label = g_strdup (LABEL);
  if (draws (day, 0.2))
    step->tasks_per_worker_limit = 1;
}

static void
add_job (struct day *day, const char *queue)
{
  const struct fixture_step any = { .count = 1 };
  struct jb_spec *spec = fixture_spec (queue, "clinic", &any);
  struct sim_job added = { .standing_since_ms = -1 };
  char id[JB_ID_DIGITS + 1];
  size_t i;

  added.run_ms = g_rand_int_range (day->rand, 1500, 9000);
  if (draws (day, 0.25))
    {
      spec->steps = g_renew (struct jb_step_spec, spec->steps, 2);
      spec->steps[1] = spec->steps[0];
      spec->steps[1].depends_on = g_new0 (uint32_t, 1);
      spec->steps[1].depends_on_count = 1;
      spec->step_count = 2;
    }
  for (i = 0; i < spec->step_count; i++)
    {
      draw_step (day, &spec->steps[i], queue);
      spec->steps[i].estimate_ms = (uint32_t)added.run_ms;
    }
  if (spec->step_count == 1 && draws (day, 0.15))
    {
      spec->steps[0].long_lived = true;
      spec->steps[0].gang = false;
      spec->steps[0].one_rack = false;
      spec->steps[0].count = MIN (spec->steps[0].count, 4);
    }
  else if (draws (day, 0.2))
    {
      spec->has_due_time = true;
      spec->occurrence_count = 2;
      spec->first_due_unix_ms
          = day->now_ms + g_rand_int_range (day->rand, 0, 4000);
      spec->occurrence_interval_ms = 5000;
    }
  g_snprintf (id, sizeof id, "%016x", day->jobs->len + 1);
  added.job = jb_table_add (day->table, id, spec, day->now_ms);
  added.has_run = g_new0 (bool, added.job->task_total);
  added.task_standing_since_ms = g_new (int64_t, added.job->task_total);
  for (i = 0; i < added.job->task_total; i++)
    added.task_standing_since_ms[i] = -1;
  sd_job_added (day->sched, added.job);
  g_array_append_val (day->jobs, added);
}

static void
add_arrivals (struct day *day)
{
  static const struct
  {
    const char *queue;
    double per_s;
  } arrivals[] = {
    { "urgent", 0.8 }, { "batch", 1.0 }, { "clerks", 0.7 }, { "advised", 0.3 }
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (arrivals); i++)
    if (draws (day, arrivals[i].per_s * STEP_MS / 1000.0))
      add_job (day, arrivals[i].queue);
}

/* --- Workers --- */

static struct sd_worker *
core_worker (const struct day *day, size_t index)
{
  return sd_worker_find (day->sched, day->workers[index].id);
}

static struct sim_worker *
worker_of (struct day *day, const struct jb_task *task)
{
  return &day->workers[strtoul (task->worker + 1, NULL, 10)];
}

static void
report (struct day *day, size_t index, int64_t reported_ms)
{
  const struct sim_worker *sim = &day->workers[index];
  struct sd_worker_report made
      = { .id = g_strdup (sim->id),
          .address = g_strdup ("127.0.0.1:1"),
          .service = g_strdup (sim->office ? "office" : "desk"),
          .data_centre = g_strdup ("dc"),
          .rack = g_strdup (sim->rack),
          .labels = g_new0 (char *, 2),
          .resources = { .cpus_milli = CPUS_MILLI / (sim->shrunk ? 4 : 1),
                         .memory_mib = MEMORY_MIB / (sim->shrunk ? 4 : 1),
                         .accelerators = sim->office   ? 0
                                         : sim->shrunk ? ACCELERATORS / 4
                                                       : ACCELERATORS } };

  if (sim->labelled)
    made.labels[0] = g_strdup (LABEL);
  sd_worker_listed (day->sched, &made, reported_ms);
}

static void
draw_workers (struct day *day)
{
  size_t i;

  for (i = 0; i < WORKERS; i++)
    {
      struct sim_worker *sim = &day->workers[i];
      double fault = day->faults ? g_rand_double (day->rand) : 0;

      g_snprintf (sim->id, sizeof sim->id, "w%02u", (unsigned int)i);
      g_snprintf (sim->rack, sizeof sim->rack, "r%u",
                  (unsigned int)i / WORKERS_PER_RACK);
      sim->labelled = i % 3 != 0;
      sim->office = i >= DESK_WORKERS;
      sim->heartbeat_offset_ms
          = (int64_t)STEP_MS
            * g_rand_int_range (day->rand, 0, HEARTBEAT_MS / STEP_MS);
      sim->lost_until_ms = 0;
      sim->failing = fault > 0.92;
      sim->slow = fault > 0.84 && !sim->failing;
      if (fault > 0.74 && fault <= 0.84)
        {
          sim->lost_from_ms = g_rand_int_range (day->rand, 0, TRAFFIC_END_MS);
          sim->lost_until_ms
              = sim->lost_from_ms + g_rand_int_range (day->rand, 2000, 60000);
        }
      if (fault > 0.64 && fault <= 0.74)
        {
          sim->shrunk_from_ms = g_rand_int_range (day->rand, 0, DAY_END_MS);
          sim->shrunk_until_ms = sim->shrunk_from_ms + 10000;
        }
      report (day, i, 0);
    }
}

static bool
is_lost (const struct day *day, const struct sim_worker *sim)
{
  return day->now_ms >= sim->lost_from_ms && day->now_ms < sim->lost_until_ms;
}

static void
change_workers (struct day *day)
{
  size_t i;

  for (i = 0; i < WORKERS; i++)
    {
      struct sim_worker *sim = &day->workers[i];
      struct sd_worker *worker = core_worker (day, i);

      if (day->now_ms == TRAFFIC_END_MS)
        {
          sim->failing = false;
          sim->slow = false;
        }
      sim->shrunk = day->now_ms >= sim->shrunk_from_ms
                    && day->now_ms < sim->shrunk_until_ms;
      if ((day->now_ms + sim->heartbeat_offset_ms) % HEARTBEAT_MS == 0
          && !is_lost (day, sim))
        report (day, i, day->now_ms);
      while (is_lost (day, sim) && worker->tasks->len > 0)
        sd_task_lost (day->sched, g_ptr_array_index (worker->tasks, 0),
                      day->now_ms);
      if (is_lost (day, sim))
        sd_worker_set_reachability (worker, SD_WORKER_UNREACHABLE);
      else if (day->now_ms - day->last_takeover_ms >= FIRST_POLLS_MS)
        sd_worker_set_reachability (worker, SD_WORKER_REACHABLE);
    }
}

static int64_t
run_time_ms (struct day *day, const struct sim_job *sim,
             const struct jb_task *task)
{
  const struct jb_step *step = task->step;
  bool spread = false;
  bool slow = worker_of (day, task)->slow;
  uint32_t i;

  for (i = 0; step->spec->gang && i < step->spec->count; i++)
    if (step->tasks[i].worker != NULL)
      {
        slow = slow || worker_of (day, &step->tasks[i])->slow;
        spread = spread
                 || strcmp (worker_of (day, &step->tasks[i])->rack,
                            worker_of (day, task)->rack)
                        != 0;
      }
  return sim->run_ms * (spread && step->spec->one_rack ? 3 : 1)
         * (slow ? 5 : 1);
}

static void
advance_task (struct day *day, struct sim_job *sim, struct jb_task *task)
{
  int64_t ran_ms = day->now_ms - task->started_ms;
  int64_t needs_ms;

  if (task->state == JB_TASK_STOPPING)
    {
      sd_task_ended (day->sched, task, SD_OUTCOME_STOPPED, "", day->now_ms,
                     day->now_ms);
      return;
    }
  if (!task->confirmed)
    {
      if (day->now_ms - day->last_takeover_ms >= FIRST_POLLS_MS)
        sd_task_running (day->sched, task, day->now_ms);
      return;
    }
  needs_ms = task->step->spec->long_lived ? LASTING_START_MS
                                          : run_time_ms (day, sim, task);
  if (worker_of (day, task)->failing && ran_ms >= STEP_MS)
    sd_task_ended (day->sched, task, SD_OUTCOME_FAILED, "", day->now_ms,
                   day->now_ms);
  else if (ran_ms >= needs_ms && !task->step->spec->long_lived)
    sd_task_ended (day->sched, task, SD_OUTCOME_DONE, "", day->now_ms,
                   day->now_ms);
  else if (day->now_ms % POLL_MS == 0)
    {
      sd_task_running (day->sched, task, day->now_ms);
      sd_task_progress (day->sched, task, MIN (ran_ms * 100 / needs_ms, 100),
                        day->now_ms);
    }
}

static void
advance_jobs (struct day *day)
{
  guint i;
  size_t k;

  for (i = 0; i < day->jobs->len; i++)
    {
      struct sim_job *sim = &g_array_index (day->jobs, struct sim_job, i);

      for (k = 0; k < sim->job->task_total; k++)
        if (sim->job->tasks[k].worker != NULL)
          {
            sim->has_run[k] = true;
            advance_task (day, sim, &sim->job->tasks[k]);
          }
    }
}

/* --- The advisor --- */

static bool
advisor_allows (const char *step, const char *worker)
{
  return (g_str_hash (step) + g_str_hash (worker) * 7) % 3 != 0;
}

static void
answer_query (struct day *day, const struct sd_advisor_query *query)
{
  size_t count = g_strv_length (query->workers);
  struct ap_allowed_worker *allowed = g_new0 (struct ap_allowed_worker, count);
  struct ap_answer answer
      = { .result = AP_DONE, .allowed = allowed, .validity_ms = TICKET_MS };
  size_t i;

  for (i = 0; i < count; i++)
    if (advisor_allows (query->step, query->workers[i]))
      allowed[answer.allowed_count++]
          = (struct ap_allowed_worker){ .worker = query->workers[i],
                                        .ticket = "t" };
  if (day->now_ms < TRAFFIC_END_MS && draws (day, 0.1))
    answer = (struct ap_answer){ .result = AP_NO_ANSWER };
  sd_advisor_answered (day->sched, query, &answer, day->now_ms);
  g_free (allowed);
}

static void
answer_queries (struct day *day)
{
  guint i = 0;

  while (i < day->answers->len)
    {
      struct pending_answer *pending
          = &g_array_index (day->answers, struct pending_answer, i);

      if (pending->at_ms > day->now_ms)
        {
          i++;
          continue;
        }
      answer_query (day, pending->query);
      sd_advisor_query_free (pending->query);
      g_array_remove_index (day->answers, i);
    }
}

static void
drop_queries (struct day *day)
{
  guint i;

  for (i = 0; i < day->answers->len; i++)
    sd_advisor_query_free (
        g_array_index (day->answers, struct pending_answer, i).query);
  g_array_set_size (day->answers, 0);
}

/* --- Rounds and terms --- */

static void
start (struct day *day, struct jb_task *task)
{
  enum sd_refusal reason
      = draws (day, 0.5) ? SD_REFUSED_NO_RESOURCES : SD_REFUSED_OTHER;

  if (task->state != JB_TASK_PLACED)
    return; /* its gang is being stopped */
  if (day->faults && day->now_ms < TRAFFIC_END_MS && draws (day, 0.03))
    sd_task_refused (day->sched, task, reason, day->now_ms);
  else
    sd_task_running (day->sched, task, day->now_ms);
}

static void
run_round (struct day *day)
{
  struct sd_commands commands
      = { .starts = g_ptr_array_new (),
          .stops = g_ptr_array_new (),
          .advisor_queries = sd_advisor_queries_create () };
  guint i;

  sd_round (day->sched, day->now_ms, day->now_ms, &commands);
  for (i = 0; i < commands.starts->len; i++)
    start (day, g_ptr_array_index (commands.starts, i));
  while (commands.advisor_queries->len > 0)
    {
      struct pending_answer pending
          = { .query = g_ptr_array_steal_index (commands.advisor_queries, 0),
              .at_ms = day->now_ms + ADVICE_MS };

      g_array_append_val (day->answers, pending);
    }
  g_ptr_array_free (commands.advisor_queries, TRUE);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
}

static struct sd_sched *
create_sched (struct day *day)
{
  struct sd_params params = { .remote_slowdown_factor = 3,
                              .stop_max_ms = 200,
                              .report_valid_ms = REPORT_VALID_MS,
                              .reserved_tasks_per_100_workers = 50,
                              .starts_per_round = 256 };
  struct sd_sched *sched = sd_create (&params, day->table);

  sd_set_catalog (sched, day->catalog);
  return sched;
}

/* As the records have it.
   @return : whether all of them can be decoded.  */
static bool
read_anew (struct jb_job *job)
{
  GByteArray *progress = jb_encode_progress (job, 1);
  size_t count = jb_block_count (job);
  GByteArray **blocks = g_new (GByteArray *, count + 1);
  uint64_t term;
  bool decoded;
  size_t i;

  for (i = 0; i < count; i++)
    blocks[i] = jb_encode_block (job, i);
  jb_job_reset_progress (job);
  decoded
      = jb_apply_progress (job, &term, progress->data, progress->len) == JB_OK;
  for (i = 0; i < count; i++)
    {
      decoded
          = jb_apply_block (job, i, blocks[i]->data, blocks[i]->len) == JB_OK
            && decoded;
      g_byte_array_free (blocks[i], TRUE);
    }
  g_byte_array_free (progress, TRUE);
  g_free (blocks);
  return decoded;
}

/* Another host, which has not called any worker.  */
static void
take_over (struct day *day)
{
  size_t i;

  sd_free (day->sched);
  drop_queries (day);
  for (i = 0; i < day->jobs->len; i++)
    if (!read_anew (g_array_index (day->jobs, struct sim_job, i).job))
      day->violations++;
  day->sched = create_sched (day);
  for (i = 0; i < WORKERS; i++)
    report (day, i, 0);
  sd_begin_term (day->sched, day->now_ms);
  day->last_takeover_ms = day->now_ms;
  day->takeover_ms = day->takeover_ms < TRAFFIC_END_MS ? g_rand_int_range (
                         day->rand, TRAFFIC_END_MS, TRAFFIC_END_MS + 10000)
                                                       : INT64_MAX;
  day->takeover_ms -= day->takeover_ms % STEP_MS;
}

/* --- The rule --- */

static bool
is_under_half (const struct day *day, bool office)
{
  struct jb_resources used = { 0 };
  struct jb_resources capacity = { 0 };
  size_t i;

  for (i = 0; i < WORKERS; i++)
    {
      const struct sd_worker *worker = core_worker (day, i);

      if (day->workers[i].office != office || is_lost (day, &day->workers[i]))
        continue;
      used.accelerators += worker->used_resources.accelerators;
      used.cpus_milli += worker->used_resources.cpus_milli;
      used.memory_mib += worker->used_resources.memory_mib;
      capacity.accelerators += worker->report.resources.accelerators;
      capacity.cpus_milli += worker->report.resources.cpus_milli;
      capacity.memory_mib += worker->report.resources.memory_mib;
    }
  return used.accelerators * 2 <= capacity.accelerators
         && used.cpus_milli * 2 < capacity.cpus_milli
         && used.memory_mib * 2 < capacity.memory_mib;
}

static uint32_t
count_on (const struct day *day, size_t index, const struct jb_step *step,
          const char *step_name)
{
  const struct sim_worker *sim = &day->workers[index];
  const struct sd_worker *worker = core_worker (day, index);
  const struct jb_step_spec *spec = step->spec;
  const struct jb_resources *need = &spec->resources;
  struct jb_resources left = worker->report.resources;
  int64_t copies;
  guint i;

  if (is_lost (day, sim) || (spec->label != NULL && !sim->labelled)
      || sim->office != (strcmp (step->job->queue, "clerks") == 0)
      || (strcmp (step->job->queue, "advised") == 0
          && !advisor_allows (step_name, sim->id)))
    return 0;
  left.cpus_milli -= worker->used_resources.cpus_milli;
  left.memory_mib -= worker->used_resources.memory_mib;
  left.accelerators -= worker->used_resources.accelerators;
  copies = MIN (left.cpus_milli / need->cpus_milli,
                left.memory_mib / need->memory_mib);
  if (need->accelerators > 0)
    copies = MIN (copies, left.accelerators / need->accelerators);
  if (spec->tasks_per_worker_limit > 0)
    {
      int64_t there = 0;

      for (i = 0; i < worker->tasks->len; i++)
        there += ((const struct jb_task *)g_ptr_array_index (worker->tasks, i))
                     ->step
                 == step;
      copies = MIN (copies, spec->tasks_per_worker_limit - there);
    }
  return (uint32_t)MAX (copies, 0);
}

static bool
has_room (const struct day *day, const struct jb_step *step)
{
  uint32_t needed = step->spec->gang ? step->spec->count : 1;
  char *name = g_strdup_printf ("%s.%u.%u", step->job->id, step->occurrence,
                                step->index);
  uint32_t room = 0;
  size_t i;

  for (i = 0; i < WORKERS; i++)
    room += count_on (day, i, step, name);
  g_free (name);
  return room >= 2 * needed;
}

static bool
is_ready (const struct day *day, const struct jb_step *step)
{
  const struct jb_step *first = step - step->index;

  return step->done_count < step->spec->count
         && jb_step_due_unix_ms (step) <= day->now_ms
         && (step->spec->depends_on_count == 0
             || first->done_count == first->spec->count);
}

static bool
stands (const struct day *day, const struct jb_job *job)
{
  size_t i;

  if (jb_state_is_final (job->state) || !jb_job_has_no_runs (job)
      || !is_under_half (day, strcmp (job->queue, "clerks") == 0))
    return false;
  for (i = 0; i < job->step_total; i++)
    if (is_ready (day, &job->steps[i]) && has_room (day, &job->steps[i]))
      return true;
  return false;
}

/* SINCE_MS: of the wait; -1: there was none.  */
static void
check_wait (struct day *day, const struct jb_task *task, bool waits,
            int64_t max_ms, int64_t *since_ms)
{
  const struct jb_step *step = task->step;

  if (!waits)
    {
      *since_ms = -1;
      return;
    }
  if (*since_ms < 0)
    *since_ms = day->now_ms;
  if (day->last_takeover_ms >= *since_ms - TAKEOVER_MS - FIRST_POLLS_MS)
    max_ms += TAKEOVER_STANDING_MAX_MS - STANDING_MAX_MS;
  if (day->now_ms - *since_ms < max_ms)
    return;
  day->violations++;
  if (day->verbose)
    printf ("%6" PRId64 " ms: job %s, queue %s, step %u, task %u stands: %u "
            "tasks of %" PRId64 " accelerators, %" PRId64 " cpus%s%s%s%s\n",
            day->now_ms, step->job->id, step->job->queue, step->index,
            task->index, step->spec->count, step->spec->resources.accelerators,
            step->spec->resources.cpus_milli,
            step->spec->gang ? ", a gang" : "",
            step->spec->one_rack ? ", one rack" : "",
            step->spec->label != NULL ? ", label" : "",
            step->spec->long_lived ? ", lasts" : "");
  *since_ms = INT64_MAX / 2; /* once */
}

static void
check_job (struct day *day, struct sim_job *sim)
{
  struct jb_job *job = sim->job;
  size_t i;

  if (!job->steps[0].spec->long_lived)
    {
      check_wait (day, &job->tasks[0], stands (day, job), STANDING_MAX_MS,
                  &sim->standing_since_ms);
      return;
    }
  for (i = 0; i < job->task_total; i++)
    check_wait (day, &job->tasks[i],
                job->tasks[i].worker == NULL
                    && has_room (day, job->tasks[i].step),
                sim->has_run[i] ? RESTART_MAX_MS : STANDING_MAX_MS,
                &sim->task_standing_since_ms[i]);
}

/* --- A day --- */

static void
set_up (struct day *day, uint32_t seed)
{
  *day = (struct day){
    .rand = g_rand_new_with_seed (seed),
    .table = jb_table_create (),
    .catalog = make_catalog (),
    .jobs = g_array_new (FALSE, FALSE, sizeof (struct sim_job)),
    .answers = g_array_new (FALSE, FALSE, sizeof (struct pending_answer)),
    .last_takeover_ms = -FIRST_POLLS_MS,
    .faults = seed % 3 != 0,
  };
  day->sched = create_sched (day);
  draw_workers (day);
  day->takeover_ms = seed % 2 == 0
                         ? INT64_MAX
                         : g_rand_int_range (day->rand, 2000, TRAFFIC_END_MS);
  day->takeover_ms -= day->takeover_ms % STEP_MS;
}

static void
tear_down (struct day *day)
{
  guint i;

  drop_queries (day);
  sd_free (day->sched);
  jb_table_free (day->table);
  ct_catalog_free (day->catalog);
  for (i = 0; i < day->jobs->len; i++)
    {
      g_free (g_array_index (day->jobs, struct sim_job, i).has_run);
      g_free (
          g_array_index (day->jobs, struct sim_job, i).task_standing_since_ms);
    }
  g_array_free (day->jobs, TRUE);
  g_array_free (day->answers, TRUE);
  g_rand_free (day->rand);
}

/* Jobs whose tasks last are also judged before the end of the traffic, on days
   without faults.  */
static void
check_jobs (struct day *day)
{
  guint i;

  for (i = 0; i < day->jobs->len; i++)
    {
      struct sim_job *sim = &g_array_index (day->jobs, struct sim_job, i);

      if (day->now_ms > TRAFFIC_END_MS
          || (!day->faults && sim->job->steps[0].spec->long_lived))
        check_job (day, sim);
    }
}

/* @return : how often work has stood too long.  */
static uint32_t
simulate_day (uint32_t seed, bool verbose)
{
  struct day day;

  set_up (&day, seed);
  day.verbose = verbose;
  for (day.now_ms = STEP_MS; day.now_ms < DAY_END_MS; day.now_ms += STEP_MS)
    {
      if (day.now_ms == day.takeover_ms)
        take_over (&day);
      change_workers (&day);
      if (day.now_ms < TRAFFIC_END_MS)
        add_arrivals (&day);
      advance_jobs (&day);
      answer_queries (&day);
      if (day.now_ms < day.takeover_ms - TAKEOVER_MS
          && day.now_ms - day.last_takeover_ms >= FIRST_POLLS_MS)
        run_round (&day);
      check_jobs (&day);
    }
  tear_down (&day);
  return day.violations;
}

static void
test_no_job_waits_beside_room (void)
{
  uint32_t seed;

  for (seed = 1; seed <= DAYS; seed++)
    {
      uint32_t violations = simulate_day (seed, false);

      if (violations > 0)
        printf ("day %u: %u\n", seed, violations);
      CU_ASSERT_EQUAL (violations, 0);
    }
}

/* Two tasks that last, of an advisor's queue, stood for over 3 s: a term
   begins without the advisor's answers, and that no room was known for half a
   second began the wait anew.  */
static void
test_term_without_advice_does_not_begin_the_wait_anew (void)
{
  enum
  {
    DAY = 1947
  };

  CU_ASSERT_EQUAL (simulate_day (DAY, false), 0);
}

int
main (int argc, char **argv)
{
  static const struct check_test tests[] = {
    { "no job waits beside room", test_no_job_waits_beside_room },
    { "a term without advice does not begin the wait anew",
      test_term_without_advice_does_not_begin_the_wait_anew },
  };

  if (argc > 1)
    return simulate_day ((uint32_t)strtoul (argv[1], NULL, 10), true) > 0;
  return check_run ("hostd standing, mixed", tests, G_N_ELEMENTS (tests));
}

/* The placement core's state: workers, racks, data centres and teams.  */

#include <string.h>

#include "place/place_internal.h"

int64_t
place_now (const struct place *place)
{
  return place->params.now_ms (place->params.ctx);
}

static void
centre_free (void *data)
{
  struct place_data_centre *centre = data;

  g_ptr_array_free (centre->racks, TRUE);
  g_free (centre->name);
  g_free (centre);
}

static void
rack_free (void *data)
{
  struct place_rack *rack = data;

  g_ptr_array_free (rack->workers, TRUE);
  g_free (rack->name);
  g_free (rack);
}

static void
worker_free (void *data)
{
  struct place_worker_state *worker = data;

  g_ptr_array_free (worker->jobs, TRUE);
  g_free (worker->name);
  g_free (worker);
}

static void
team_free (void *data)
{
  struct place_team_state *team = data;

  g_ptr_array_free (team->units, TRUE);
  g_ptr_array_free (team->queue, TRUE);
  g_ptr_array_free (team->urgent_queue, TRUE);
  g_hash_table_destroy (team->kinds);
  g_free (team->name);
  g_free (team);
}

static void
assignments_free (void *data)
{
  g_free (data);
}

int
place_create (struct place **out, const struct place_params *params)
{
  struct place *place;

  if (params->policy == NULL || params->now_ms == NULL)
    return PLACE_ERR_INVALID;
  place = g_new0 (struct place, 1);
  place->params = *params;
  place->data_centres = g_hash_table_new (g_str_hash, g_str_equal);
  place->data_centre_list = g_ptr_array_new_with_free_func (centre_free);
  place->racks = g_ptr_array_new_with_free_func (rack_free);
  place->workers = g_hash_table_new (g_str_hash, g_str_equal);
  place->worker_list = g_ptr_array_new_with_free_func (worker_free);
  place->teams = g_hash_table_new (g_str_hash, g_str_equal);
  place->team_list = g_ptr_array_new_with_free_func (team_free);
  place->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, place_job_free);
  place->active_teams = g_ptr_array_new ();
  place->candidates
      = g_array_new (FALSE, TRUE, sizeof (struct place_candidate));
  place->claims = g_ptr_array_new ();
  place->reservations = g_ptr_array_new ();
  place->notices = g_ptr_array_new_with_free_func (place_notice_free);
  place->commands = g_array_new (FALSE, TRUE, sizeof (struct place_command));
  place->texts = g_string_chunk_new (1024);
  place->assignment_arrays = g_ptr_array_new_with_free_func (assignments_free);
  place->failed_worker_searches
      = g_array_new (FALSE, TRUE, sizeof (struct place_search));
  place->options = place_options_new ();
  place->units_need_binding = true;
  *out = place;
  return PLACE_OK;
}

void
place_free (struct place *place)
{
  if (place == NULL)
    return;
  while (place->reservations->len > 0)
    place_reservation_drop (place, place->reservations->pdata[0]);
  g_hash_table_destroy (place->jobs);
  g_hash_table_destroy (place->teams);
  g_hash_table_destroy (place->workers);
  g_hash_table_destroy (place->data_centres);
  g_ptr_array_free (place->team_list, TRUE);
  g_ptr_array_free (place->worker_list, TRUE);
  g_ptr_array_free (place->racks, TRUE);
  g_ptr_array_free (place->data_centre_list, TRUE);
  g_ptr_array_free (place->active_teams, TRUE);
  g_array_free (place->candidates, TRUE);
  g_ptr_array_free (place->claims, TRUE);
  g_ptr_array_free (place->reservations, TRUE);
  g_ptr_array_free (place->notices, TRUE);
  g_ptr_array_free (place->assignment_arrays, TRUE);
  g_array_free (place->commands, TRUE);
  g_array_free (place->failed_worker_searches, TRUE);
  g_array_free (place->options, TRUE);
  g_string_chunk_free (place->texts);
  g_free (place);
}

/* ===== Workers ================================================ */

struct place_data_centre *
place_data_centre_get (struct place *place, const char *name)
{
  struct place_data_centre *centre
      = g_hash_table_lookup (place->data_centres, name);

  if (centre != NULL)
    return centre;
  centre = g_new0 (struct place_data_centre, 1);
  centre->name = g_strdup (name);
  centre->racks = g_ptr_array_new ();
  g_hash_table_insert (place->data_centres, centre->name, centre);
  g_ptr_array_add (place->data_centre_list, centre);
  return centre;
}

bool
place_data_centre_unknown (const struct place *place, const char *name)
{
  const struct place_data_centre *centre;

  if (name == NULL || *name == '\0' || place->racks->len == 0)
    return false;
  centre = g_hash_table_lookup (place->data_centres, name);
  return centre == NULL || centre->racks->len == 0;
}

static struct place_rack *
rack_get (struct place *place, const char *centre_name, const char *name)
{
  struct place_data_centre *centre
      = place_data_centre_get (place, centre_name);
  struct place_rack *rack;
  guint i;

  for (i = 0; i < centre->racks->len; i++)
    {
      rack = centre->racks->pdata[i];
      if (strcmp (rack->name, name) == 0)
        return rack;
    }
  rack = g_new0 (struct place_rack, 1);
  rack->name = g_strdup (name);
  rack->data_centre = centre;
  rack->workers = g_ptr_array_new ();
  g_ptr_array_add (centre->racks, rack);
  g_ptr_array_add (place->racks, rack);
  return rack;
}

struct place_worker_state *
place_worker_get (struct place *place, const char *name)
{
  struct place_worker_state *worker
      = g_hash_table_lookup (place->workers, name);

  if (worker != NULL)
    return worker;
  worker = g_new0 (struct place_worker_state, 1);
  worker->name = g_strdup (name);
  worker->number = place->next_worker_number++;
  worker->jobs = g_ptr_array_new ();
  worker->down_ms = place_now (place);
  g_hash_table_insert (place->workers, worker->name, worker);
  g_ptr_array_add (place->worker_list, worker);
  return worker;
}

bool
place_worker_usable (const struct place_worker_state *worker)
{
  return worker->up && worker->health == PLACE_HEALTHY;
}

static struct place_resource_vector
component_max (const struct place_resource_vector *a,
               const struct place_resource_vector *b)
{
  struct place_resource_vector amount
      = { .cpus_milli = MAX (a->cpus_milli, b->cpus_milli),
          .memory_mb = MAX (a->memory_mb, b->memory_mb),
          .accelerators = MAX (a->accelerators, b->accelerators) };

  return amount;
}

void
place_update_rack_summary (struct place_worker_state *worker)
{
  static const struct place_resource_vector NONE;
  struct place_rack *rack = worker->rack;
  guint i;

  if (rack == NULL)
    return;
  rack->free_max = (struct place_resource_vector){ -1, -1, -1 };
  rack->free_total = NONE;
  for (i = 0; i < rack->workers->len; i++)
    {
      const struct place_worker_state *member = rack->workers->pdata[i];
      struct place_resource_vector free
          = place_available_resources (member, PLACE_FREE_NOW);

      if (!member->up || member->health == PLACE_QUARANTINED)
        continue;
      rack->free_max = component_max (&rack->free_max, &free);
      free = component_max (&free, &NONE);
      place_resources_add (&rack->free_total, &free);
    }
}

static void
move_to_rack (struct place_worker_state *worker, struct place_rack *rack)
{
  if (worker->rack == rack)
    return;
  if (worker->rack != NULL)
    g_ptr_array_remove (worker->rack->workers, worker);
  worker->rack = rack;
  g_ptr_array_add (rack->workers, worker);
}

static const char *
empty_if_null (const char *text)
{
  return text == NULL ? "" : text;
}

int
place_worker_up (struct place *place, const struct place_worker *worker)
{
  struct place_worker_state *state;
  struct place_resource_vector capacity
      = place_resources_convert (&worker->capacity);

  if (worker->name == NULL
      || worker->capacity.accelerators > PLACE_ACCELERATOR_LIMIT)
    return PLACE_ERR_INVALID;
  state = place_worker_get (place, worker->name);
  move_to_rack (state, rack_get (place, empty_if_null (worker->data_centre),
                                 empty_if_null (worker->rack)));
  state->shrunk = !place_resources_cover (&capacity, &state->capacity);
  place->queues_need_check |= state->shrunk;
  place->capacity_lost |= state->shrunk;
  state->capacity = capacity;
  state->up = true;
  place_update_rack_summary (state);
  place->units_need_binding = true;
  place->event_pending = true;
  return PLACE_OK;
}

int
place_worker_down (struct place *place, const char *name)
{
  struct place_worker_state *worker
      = g_hash_table_lookup (place->workers, name);

  if (worker == NULL)
    return PLACE_ERR_UNKNOWN;
  if (!worker->up)
    return PLACE_OK;
  worker->up = false;
  worker->down_ms = place_now (place);
  place_update_rack_summary (worker);
  place->units_need_binding = true;
  place->event_pending = true;
  return PLACE_OK;
}

/* Whether a worker has been down long enough to be removed, and no job, claim,
   slot or reservation refers to it.  */
static bool
worker_expired (const struct place *place,
                const struct place_worker_state *worker)
{
  return !worker->up && worker->jobs->len == 0 && worker->reserved_for == NULL
         && worker->bound_slot_count == 0 && worker->claimed_task_count == 0
         && place_now (place) - worker->down_ms >= PLACE_WORKER_FORGET_MS;
}

static void
remove_from_avoided_workers (struct place *place,
                             const struct place_worker_state *worker)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct place_job_state *job = value;
      uint32_t i;

      for (i = 0; i < job->avoided_worker_count; i++)
        if (job->avoided_workers[i] == worker)
          job->avoided_workers[i] = NULL;
    }
}

void
place_remove_expired_workers (struct place *place)
{
  guint i;

  for (i = 0; i < place->worker_list->len; i++)
    {
      struct place_worker_state *worker = place->worker_list->pdata[i];

      if (!worker_expired (place, worker))
        continue;
      remove_from_avoided_workers (place, worker);
      place->queues_need_check = true;
      place->capacity_lost = true;
      if (worker->rack != NULL)
        g_ptr_array_remove (worker->rack->workers, worker);
      g_hash_table_remove (place->workers, worker->name);
      g_ptr_array_remove_index_fast (place->worker_list, i);
      i--;
    }
}

/* ===== Teams ================================================== */

struct place_team_state *
place_team_get (struct place *place, const char *name)
{
  struct place_team_state *team = g_hash_table_lookup (place->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (struct place_team_state, 1);
  team->name = g_strdup (name);
  team->units = g_ptr_array_new_with_free_func (place_unit_free);
  team->queue = g_ptr_array_new ();
  team->urgent_queue = g_ptr_array_new ();
  team->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, place_kind_free);
  team->not_configured = true;
  g_hash_table_insert (place->teams, team->name, team);
  g_ptr_array_add (place->team_list, team);
  return team;
}

void
place_remove_unused_teams (struct place *place)
{
  guint i;

  for (i = 0; i < place->team_list->len; i++)
    {
      struct place_team_state *team = place->team_list->pdata[i];

      if (!team->not_configured || team->job_count > 0)
        continue;
      g_hash_table_remove (place->teams, team->name);
      g_ptr_array_remove_index (place->team_list, i);
      i--;
    }
}

static bool
team_valid (const struct place_team *team)
{
  size_t i;

  if (team->name == NULL)
    return false;
  for (i = 0; i < team->guarantee_count; i++)
    {
      const struct place_shape *shape = &team->guarantees[i].shape;

      if (shape->tasks == 0 || shape->tasks > PLACE_TASK_LIMIT
          || shape->span > PLACE_SPAN_WORKER)
        return false;
    }
  return true;
}

int
place_configure (struct place *place, const struct place_team *teams,
                 size_t team_count)
{
  size_t i;
  guint t;

  for (i = 0; i < team_count; i++)
    if (!team_valid (&teams[i]))
      return PLACE_ERR_INVALID;
  for (t = 0; t < place->team_list->len; t++)
    ((struct place_team_state *)place->team_list->pdata[t])->not_configured
        = true;
  for (i = 0; i < team_count; i++)
    {
      struct place_team_state *team = place_team_get (place, teams[i].name);

      team->not_configured = false;
      team->weight = MAX (teams[i].weight, 1);
      team->may_borrow = teams[i].may_borrow;
      team->quota = place_resources_convert (&teams[i].quota);
      place_units_replace (place, team, teams[i].guarantees,
                           teams[i].guarantee_count);
    }
  for (t = 0; t < place->team_list->len; t++)
    if (((struct place_team_state *)place->team_list->pdata[t])
            ->not_configured)
      place_units_replace (place, place->team_list->pdata[t], NULL, 0);
  place->queues_need_check = true;
  place->units_need_binding = true;
  place->event_pending = true;
  return PLACE_OK;
}

int
place_pause (struct place *place, const char *team, bool paused)
{
  struct place_team_state *state;

  place->event_pending = true;
  if (team == NULL)
    {
      place->paused = paused;
      return PLACE_OK;
    }
  state = g_hash_table_lookup (place->teams, team);
  if (state == NULL)
    return PLACE_ERR_UNKNOWN;
  state->paused = paused;
  return PLACE_OK;
}

/* submit: submits a job given by a JSON file, by options, or by both; an
   option overrides the field of the file.  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "job_view.h"
#include "print.h"

enum
{
  STATUS_OK = 200,
  STATUS_CREATED = 201
};

/* Type of the JSON value that an option sets.  */
enum field_kind
{
  FIELD_TEXT,
  FIELD_NUMBER,
  FIELD_JSON
};

/* An option that sets one field of the job.  */
struct field
{
  const char *key;
  const char *option;
  enum field_kind kind;
  const char *datatype; /* placeholder of the value in the help text */
  const char *help;
};

static const struct field fields[] = {
  { "team", "team", FIELD_TEXT, "NAME", "team that the job counts for" },
  { "kind", "kind", FIELD_TEXT, "NAME", "kind of job" },
  { "key", "key", FIELD_TEXT, "KEY", "idempotency key (default: a new one)" },
  { "tasks", "tasks", FIELD_NUMBER, "N", "tasks of the gang" },
  { "cpus_milli", "cpus-milli", FIELD_NUMBER, "N",
    "thousandths of a core, for each task" },
  { "memory_mb", "memory-mb", FIELD_NUMBER, "N", "for each task" },
  { "accelerators", "accelerators", FIELD_NUMBER, "N", "for each task" },
  { "span", "span", FIELD_TEXT, "SPAN", "any, data_centre, rack or worker" },
  { "declared_run_ms", "declared-run-ms", FIELD_NUMBER, "N",
    "expected run time" },
  { "data_centre", "data-centre", FIELD_TEXT, "NAME", "default: any" },
  { "attempt_limit", "attempt-limit", FIELD_NUMBER, "N",
    "attempts before it is given up" },
  { "payload", "payload", FIELD_JSON, "JSON", "object for the tasks" },
};

static const char *const flags[]
    = { "checkpointable", "repeatable", "urgent" };

enum
{
  FIELD_COUNT = G_N_ELEMENTS (fields),
  FLAG_COUNT = G_N_ELEMENTS (flags)
};

struct arguments
{
  struct arg_file *file;
  struct arg_str *fields[FIELD_COUNT];
  struct arg_lit *flags[FLAG_COUNT];
  struct arg_lit *wait;
  struct arg_str *limit;
};

/* --- The job's JSON --- */

static json_t *
parse_object (const char *name, const char *text, size_t size_bytes)
{
  json_error_t error;
  json_t *json = json_loadb (text, size_bytes, JSON_REJECT_DUPLICATES, &error);

  if (json == NULL)
    fprintf (stderr, "%s:%d: %s\n", name, error.line, error.text);
  else if (!json_is_object (json))
    {
      fprintf (stderr, "%s: must be a JSON object\n", name);
      json_decref (json);
      json = NULL;
    }
  return json;
}

static json_t *
read_job (const struct arg_file *file)
{
  char *text = NULL;
  size_t size_bytes;
  json_t *job;

  if (file->count == 0)
    return json_object ();
  if (!cli_read_file (file->filename[0], CLI_BODY_LIMIT_BYTES, &text,
                      &size_bytes))
    return NULL;
  job = parse_object (file->filename[0], text, size_bytes);
  g_free (text);
  return job;
}

static json_t *
field_value (const struct field *field, const struct arg_str *argument)
{
  const char *text = argument->sval[0];
  uint64_t number;

  switch (field->kind)
    {
    case FIELD_NUMBER:
      return cli_number (argument, 0, INT64_MAX, 0, &number)
                 ? json_integer ((json_int_t)number)
                 : NULL;
    case FIELD_JSON:
      return parse_object ("--payload", text, strlen (text));
    default:
      return json_string (text);
    }
}

static bool
set_fields (json_t *job, const struct arguments *arguments)
{
  json_t *value;

  for (size_t i = 0; i < FIELD_COUNT; i++)
    {
      if (arguments->fields[i]->count == 0)
        continue;
      value = field_value (&fields[i], arguments->fields[i]);
      if (value == NULL)
        return false;
      json_object_set_new (job, fields[i].key, value);
    }
  for (size_t i = 0; i < FLAG_COUNT; i++)
    if (arguments->flags[i]->count > 0)
      json_object_set_new (job, flags[i], json_true ());
  return true;
}

/* With a key, the job can be submitted again without creating a second
   job.  */
static void
set_key (json_t *job)
{
  char *key;

  if (json_is_string (json_object_get (job, "key")))
    return;
  key = g_uuid_string_random ();
  json_object_set_new (job, "key", json_string (key));
  g_free (key);
}

/* --- Submitting --- */

static int
send_job (struct api *api, const json_t *job, struct api_answer *answer)
{
  char *body = json_dumps (job, JSON_COMPACT);
  struct api_request request = { .method = "POST",
                                 .path = "/v1/jobs",
                                 .body = body,
                                 .body_size_bytes = strlen (body),
                                 .retry_safety = API_REPEATABLE };
  int error = api_call (api, &request, answer);
  int code = CLI_CONTINUE;

  free (body);
  if (error != API_OK)
    code = api_report_error (error);
  else if (answer->status != STATUS_CREATED && answer->status != STATUS_OK)
    code = api_report_refusal (answer);
  if (code == CTL_OUTCOME_UNKNOWN)
    fprintf (stderr,
             "to submit it again without creating a second job, add "
             "--key %s\n",
             json_string_value (json_object_get (job, "key")));
  return code;
}

static int
submit (struct api *api, const json_t *job, uint64_t wait_limit_ms, bool json)
{
  static const struct pr_column columns[]
      = { { "job", "job" }, { "state", "state" } };
  struct api_answer answer = { 0 };
  int code = send_job (api, job, &answer);
  const char *id;

  if (code != CLI_CONTINUE)
    goto out;
  id = json_string_value (json_object_get (answer.json, "job"));
  if (wait_limit_ms > 0 && id != NULL)
    {
      fprintf (stderr, "job %s\n", id);
      code = jv_wait (api, id, wait_limit_ms, true, json);
      goto out;
    }
  if (json)
    pr_json (answer.json);
  else
    pr_fields (answer.json, columns, G_N_ELEMENTS (columns));
  code = CTL_DONE;
out:
  api_answer_clear (&answer);
  return code;
}

static int
run_submit (const struct arguments *arguments, const struct cli_hosts *hosts,
            bool json)
{
  struct api *api = NULL;
  uint64_t limit_ms;
  json_t *job;
  int code = CTL_USAGE;

  if (!cli_number (arguments->limit, 1, CLI_TIMEOUT_MAX_MS,
                   CLI_WAIT_LIMIT_DEFAULT_MS, &limit_ms))
    return CTL_USAGE;
  job = read_job (arguments->file);
  if (job == NULL || !set_fields (job, arguments))
    goto out;
  set_key (job);
  code = api_open_args (&api, hosts);
  if (code == CLI_CONTINUE)
    code = submit (api, job, arguments->wait->count > 0 ? limit_ms : 0, json);
out:
  api_close (api);
  json_decref (job);
  return code;
}

/* --- Arguments --- */

enum
{
  OTHER_ARGUMENT_COUNT = 9,
  TABLE_COUNT = FIELD_COUNT + FLAG_COUNT + OTHER_ARGUMENT_COUNT
};

static struct arguments
make_arguments (void)
{
  struct arguments arguments = { 0 };

  arguments.file
      = arg_file0 (NULL, NULL, "FILE.json", "the job, - for standard input");
  for (size_t i = 0; i < FIELD_COUNT; i++)
    arguments.fields[i] = arg_str0 (NULL, fields[i].option, fields[i].datatype,
                                    fields[i].help);
  arguments.flags[0]
      = arg_lit0 (NULL, flags[0], "may be stopped and continued later");
  arguments.flags[1] = arg_lit0 (NULL, flags[1], "may be run again");
  arguments.flags[2] = arg_lit0 (NULL, flags[2], "before all that is not");
  arguments.wait = arg_lit0 (NULL, "wait", "waits until it has ended");
  arguments.limit
      = arg_str0 (NULL, "wait-limit-ms", "N", "at most (default 3600000)");
  return arguments;
}

int
cmd_submit (const struct ctl_command *command, int argc, char **argv)
{
  struct arguments arguments = make_arguments ();
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[TABLE_COUNT];
  size_t count = 0;
  int code;

  table[count++] = arguments.file;
  for (size_t i = 0; i < FIELD_COUNT; i++)
    table[count++] = arguments.fields[i];
  for (size_t i = 0; i < FLAG_COUNT; i++)
    table[count++] = arguments.flags[i];
  table[count++] = arguments.wait;
  table[count++] = arguments.limit;
  table[count++] = hosts.hosts;
  table[count++] = hosts.timeout_ms;
  table[count++] = common.json;
  table[count++] = common.help;
  table[count++] = common.version;
  table[count++] = common.end;
  code = cli_parse (command, &common, table, count, argc, argv);
  if (code == CLI_CONTINUE)
    code = run_submit (&arguments, &hosts, common.json->count > 0);
  arg_freetable (table, count);
  return code;
}

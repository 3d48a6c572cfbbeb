/* Human-readable and JSON output.  Prefix: pr_.  */

#ifndef FT_PRINT_H
#define FT_PRINT_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "config/environment_diff.h"

struct pr_column
{
  const char *title;
  const char *key; /* of the member of the row's object */
};

/*! pr_json () :
 *  Prints JSON, indented. */
void pr_json (const json_t *json);

/*! pr_table () :
 *  Prints an array of objects as a table, one object a line, under the
 *  columns' titles. */
void pr_table (const json_t *rows, const struct pr_column *columns,
               size_t column_count);

/*! pr_rows () :
 *  Prints an array of objects as a table with a column for each member of
 *  the first object. */
void pr_rows (const json_t *rows);

/*! pr_fields () :
 *  Prints "title: value" for each of FIELDS that OBJECT has. */
void pr_fields (const json_t *object, const struct pr_column *fields,
                size_t field_count);

/*! pr_text () :
 *  @return : a value as text, without control characters; "-" if it is
 *            absent; to be freed by g_free (). */
char *pr_text (const json_t *value);

/*! pr_time () :
 *  @time_ms : milliseconds since 1970.
 *  @return : date and time in UTC, to be freed by g_free (). */
char *pr_time (int64_t time_ms);

/*! pr_changes (), pr_changes_json () :
 *  Prints the differences of two documents; returns them as a new JSON
 *  array. */
void pr_changes (const struct ed_changes *changes);
json_t *pr_changes_json (const struct ed_changes *changes);

#endif

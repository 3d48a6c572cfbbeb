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
  const char *key; /* of the row's object */
};

/*! pr_json () :
 *  Prints JSON, indented. */
void pr_json (const json_t *json);

/*! pr_table () :
 *  Prints the objects of an array as lines under titles. */
void pr_table (const json_t *rows, const struct pr_column *columns,
               size_t column_count);

/*! pr_rows () :
 *  Prints the objects of an array under the names of the first one's
 *  fields. */
void pr_rows (const json_t *rows);

/*! pr_fields () :
 *  Prints "title: value" for each field that OBJECT has. */
void pr_fields (const json_t *object, const struct pr_column *fields,
                size_t field_count);

/*! pr_text () :
 *  @return : a value as text, "-" if absent, to be freed by g_free (). */
char *pr_text (const json_t *value);

/*! pr_time () :
 *  @return : milliseconds since 1970 as UTC, to be freed by g_free (). */
char *pr_time (int64_t time_ms);

/*! pr_changes (), pr_changes_json () :
 *  Differences of two documents. */
void pr_changes (const struct ed_changes *changes);
json_t *pr_changes_json (const struct ed_changes *changes);

#endif

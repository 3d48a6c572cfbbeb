/* Where each value of a YAML text stands, by its path such as
   "teams[0].weight".  Refuses what no schema should see: syntax errors,
   duplicate keys, aliases, deep nesting, several documents.  Prefix: yi_.  */

#ifndef FT_YAML_INDEX_H
#define FT_YAML_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/environment.h"

enum
{
  YI_DEPTH_LIMIT = 12,
  YI_PATH_SIZE_BYTES = 256
};

struct yi_index;

struct yi_entry
{
  uint32_t line; /* from 1 */
  bool plain;    /* a scalar without quotes */
  char *text;    /* of a scalar; NULL for a mapping or a sequence */
};

/*! yi_create () :
 *  @return : ENV_OK with *out set, owned by the caller; or ENV_ERR_INVALID
 *            with one message. */
int yi_create (struct yi_index **out, const char *text, size_t size_bytes,
               struct env_messages *messages);

/*! yi_free () :
 *  Accepts NULL. */
void yi_free (struct yi_index *index);

/*! yi_entry () :
 *  @return : the entry at a path, or NULL if the text has none there. */
const struct yi_entry *yi_entry (const struct yi_index *index,
                                 const char *path);

/*! yi_line () :
 *  @return : the line of the path or of its nearest parent in the text. */
uint32_t yi_line (const struct yi_index *index, const char *path);

/*! yi_join () :
 *  Makes the path of a field of a mapping; PARENT "" is the document.
 *  @return : PATH. */
const char *yi_join (char path[YI_PATH_SIZE_BYTES], const char *parent,
                     const char *field);

#endif

/* Index of a YAML text: the line and text of each value, by its path such as
   "teams[0].weight".  Rejects texts that must not reach a schema: those with
   syntax errors, duplicate keys, aliases, deep nesting or several documents.
   Prefix: yi_.  */

#ifndef FT_YAML_INDEX_H
#define FT_YAML_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/environment.h"

enum
{
  YI_DEPTH_LIMIT = 12,     /* nesting of sequences and mappings */
  YI_PATH_SIZE_BYTES = 256 /* of a path, with its zero byte */
};

struct yi_index;

struct yi_entry
{
  uint32_t line; /* from 1 */
  bool plain;    /* a scalar without quotes */
  char *text;    /* value of a scalar; NULL for a mapping or a sequence */
};

/*! yi_create () :
 *  @return : ENV_OK with *out set, owned by the caller; ENV_ERR_INVALID with
 *            one message; or ENV_ERR_MEMORY. */
int yi_create (struct yi_index **out, const char *text, size_t size_bytes,
               struct env_messages *messages);

/*! yi_free () :
 *  Accepts NULL. */
void yi_free (struct yi_index *index);

/*! yi_entry () :
 *  @return : the entry at a path, owned by INDEX; NULL if there is none. */
const struct yi_entry *yi_entry (const struct yi_index *index,
                                 const char *path);

/*! yi_line () :
 *  @return : the line of the path, or else of its nearest parent in the text;
 *            0 if neither is there. */
uint32_t yi_line (const struct yi_index *index, const char *path);

/*! yi_join () :
 *  Writes the path of a field of a mapping into PATH, cut to its size.
 *  @parent : path of the mapping; "" is the whole document.
 *  @return : PATH. */
const char *yi_join (char path[YI_PATH_SIZE_BYTES], const char *parent,
                     const char *field);

#endif

/* Loads a YAML text into a structure by a libcyaml schema, then gives absent
   fields their defaults and checks bounds by tables.  Prefix: sc_.  */

#ifndef FT_CONFIG_SCHEMA_H
#define FT_CONFIG_SCHEMA_H

#include <cyaml/cyaml.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/environment.h"
#include "config/yaml_index.h"

/* One uint32_t member of a structure.  */
struct sc_number
{
  const char *field;
  size_t offset_bytes;
  uint32_t min;
  uint32_t max;
  uint32_t fallback; /* when absent; unused if the schema requires it */
};

/* One bool member of a structure.  */
struct sc_flag
{
  const char *field;
  size_t offset_bytes;
  bool fallback;
};

/* One mapping of the text and the structure that it was loaded into.  */
struct sc_place
{
  const struct yi_index *index;
  const char *path;
  void *target;
  struct env_messages *messages;
};

/*! sc_load () :
 *  @data : set on ENV_OK, owned by the caller; all of it by malloc ().
 *  @return : ENV_OK, or an env_error with one message. */
int sc_load (void **data, const cyaml_schema_value_t *schema, const char *text,
             size_t size_bytes, const struct yi_index *index,
             struct env_messages *messages);

/* Parses a whole text into *out, or complains in MESSAGES.  */
typedef int (*sc_parse) (void **out, const char *text, size_t size_bytes,
                         struct env_messages *messages);

/*! sc_load_file () :
 *  Reads a file of at most limit_bytes and parses it.
 *  @return : ENV_OK, ENV_ERR_FILE, ENV_ERR_INVALID, or what PARSE returned. */
int sc_load_file (void **out, const char *path, size_t limit_bytes,
                  sc_parse parse, struct env_messages *messages);

/*! sc_numbers (), sc_flags () :
 *  Give defaults and check; complaints go to the place's messages. */
void sc_numbers (const struct sc_place *place, const struct sc_number *numbers,
                 size_t count);
void sc_flags (const struct sc_place *place, const struct sc_flag *flags,
               size_t count);

/*! sc_name () :
 *  A name is 1 to 63 of a-z, 0-9, "-" and "_", starting with a letter or a
 *  digit.  TEXT is that of FIELD. */
void sc_name (const struct sc_place *place, const char *field,
              const char *text);

enum
{
  SC_NAME_LIMIT_BYTES = 63
};

#endif

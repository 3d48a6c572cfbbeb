/* Loads a YAML text into a structure by a libcyaml schema.  Tables of numbers
   and flags then set absent fields to their defaults and check bounds.
   Prefix: sc_.  */

#ifndef FT_CONFIG_SCHEMA_H
#define FT_CONFIG_SCHEMA_H

#include <cyaml/cyaml.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/environment.h"
#include "config/yaml_index.h"

/* Bounds and default of one uint32_t member of a structure.  */
struct sc_number
{
  const char *field;
  size_t offset_bytes;
  uint32_t min;
  uint32_t max;
  uint32_t default_value; /* unused if the schema requires the field */
};

/* Default of one bool member of a structure.  */
struct sc_flag
{
  const char *field;
  size_t offset_bytes;
  bool default_value;
};

/* One mapping of the text and the structure that it was loaded into.  */
struct sc_mapping
{
  const struct yi_index *index;
  const char *path; /* in the index; "" is the whole document */
  void *target;     /* the structure */
  struct env_messages *messages;
};

/*! sc_load () :
 *  @data : set on ENV_OK, owned by the caller; all parts are allocated by
 *          malloc ().
 *  @return : ENV_OK, ENV_ERR_INVALID with one message, or ENV_ERR_MEMORY. */
int sc_load (void **data, const cyaml_schema_value_t *schema, const char *text,
             size_t size_bytes, const struct yi_index *index,
             struct env_messages *messages);

/* Parses a text into *out and returns ENV_OK, or adds to MESSAGES and returns
   an env_error.  */
typedef int (*sc_parse_function) (void **out, const char *text,
                                  size_t size_bytes,
                                  struct env_messages *messages);

/*! sc_load_file () :
 *  Reads a file and parses it; a file above limit_bytes is invalid.
 *  @return : ENV_OK, ENV_ERR_FILE, ENV_ERR_INVALID, or what PARSE returned. */
int sc_load_file (void **out, const char *path, size_t limit_bytes,
                  sc_parse_function parse, struct env_messages *messages);

/*! sc_check_numbers (), sc_check_flags () :
 *  Set absent members of mapping->target to their defaults and check the
 *  others; errors are added to mapping->messages.  Only decimal numbers, and
 *  only "true" and "false", are valid. */
void sc_check_numbers (const struct sc_mapping *mapping,
                       const struct sc_number *numbers, size_t count);
void sc_check_flags (const struct sc_mapping *mapping,
                     const struct sc_flag *flags, size_t count);

/*! sc_check_name () :
 *  Checks a name: 1 to 63 characters of a-z, 0-9, "-" and "_", starting with a
 *  letter or a digit.
 *  @field : of the mapping, for the message.
 *  @text : value of the field. */
void sc_check_name (const struct sc_mapping *mapping, const char *field,
                    const char *text);

enum
{
  SC_NAME_LIMIT_BYTES = 63
};

#endif

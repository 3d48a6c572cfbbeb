/* Whether all guarantees of a document fit a stock of equal workers.
   Prefix: fs_.  */

#ifndef FT_FEASIBILITY_H
#define FT_FEASIBILITY_H

#include <stdbool.h>

#include "cli.h"
#include "config/environment.h"

struct fs_args
{
  struct arg_str *workers;
  struct arg_str *rack_size;
  struct arg_str *cpus_milli;
  struct arg_str *memory_mb;
  struct arg_str *accelerators;
};

struct fs_stock
{
  uint64_t workers; /* 0: not asked for */
  uint64_t rack_size;
  uint64_t cpus_milli;
  uint64_t memory_mb;
  uint64_t accelerators;
};

struct fs_args fs_args (void);

/*! fs_stock () :
 *  @return : false, after a message, if the arguments are wrong. */
bool fs_stock (const struct fs_args *arguments, struct fs_stock *out);

/*! fs_check () :
 *  Checks the guarantees against STOCK, all in one data centre.
 *  @text : what clashes, if the result is false. */
bool fs_check (const struct env_document *document,
               const struct fs_stock *stock, char text[PLACE_TEXT_SIZE_BYTES]);

#endif

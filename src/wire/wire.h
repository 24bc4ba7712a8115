/* Includes all codecs, which convert between JSON messages and the structs that the core uses. */
#ifndef PLOVERLOFT_WIRE_H
#define PLOVERLOFT_WIRE_H

#include "wire/cloud_codec.h"
#include "wire/job_codec.h"
#include "wire/json_parser.h"
#include "wire/json_text.h"
#include "wire/name_list.h"
#include "wire/report_codec.h"
#include "wire/store_codec.h"
#include "wire/transaction.h"

#endif

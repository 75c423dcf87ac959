#pragma once

/**
 * The route library: admission, limits, routing and retries of requests. The library only decides;
 * it does no I/O.
 */

#include "libroute/admission.h"
#include "libroute/attempt.h"
#include "libroute/ejection.h"
#include "libroute/fairqueue.h"
#include "libroute/keyedrequest.h"
#include "libroute/rendezvous.h"
#include "libroute/retrybudget.h"
#include "libroute/routeerrors.h"
#include "libroute/routereasons.h"
#include "libroute/upstreamtable.h"

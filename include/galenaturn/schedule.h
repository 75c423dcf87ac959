#pragma once

/** The schedule library: quotas, placement, leases, eviction; decisions without I/O. */

#include "libschedule/scheduleerrors.h"

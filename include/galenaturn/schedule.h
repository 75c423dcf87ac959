#pragma once

/**
 * The schedule library: quotas, placement, leases and eviction. The library only decides; it does
 * no I/O.
 */

#include "libschedule/announcedworkers.h"
#include "libschedule/assigner.h"
#include "libschedule/baselinelatency.h"
#include "libschedule/interference.h"
#include "libschedule/jobscheduler.h"
#include "libschedule/jobsizes.h"
#include "libschedule/leaseterms.h"
#include "libschedule/passtiming.h"
#include "libschedule/placement.h"
#include "libschedule/scheduleerrors.h"
#include "libschedule/steward.h"
#include "libschedule/stewardmessages.h"
#include "libschedule/taskchart.h"
#include "libschedule/workerlives.h"

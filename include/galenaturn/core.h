#pragma once

/** The core library: ids, units, errors, findings, settings input, log, metrics, state charts. */

#include "libcore/bootclock.h"
#include "libcore/catalogue.h"
#include "libcore/errors.h"
#include "libcore/findings.h"
#include "libcore/ids.h"
#include "libcore/invariant.h"
#include "libcore/log.h"
#include "libcore/logratelimiter.h"
#include "libcore/metrics.h"
#include "libcore/settings.h"
#include "libcore/statechart.h"
#include "libcore/units.h"
#include "libcore/walltime.h"
#include "libcore/yamlreader.h"

#pragma once

/** The ledger library: the replicated log, its storage and the state that it carries. */

#include "libledger/bootstrap.h"
#include "libledger/ledgererrors.h"
#include "libledger/ledgerstate.h"
#include "libledger/replica.h"
#include "libledger/statesnapshot.h"
#include "libledger/statemachine.h"
#include "libledger/storage.h"
#include "libledger/voterplan.h"

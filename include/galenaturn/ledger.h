#pragma once

/** The ledger library: the replicated log (Raft), its storage and its state machine. */

#include "libledger/bootstrap.h"
#include "libledger/ledgererrors.h"
#include "libledger/ledgerstate.h"
#include "libledger/recordclock.h"
#include "libledger/replica.h"
#include "libledger/statemachine.h"
#include "libledger/statesnapshot.h"
#include "libledger/storage.h"
#include "libledger/unknowncancels.h"
#include "libledger/voterplan.h"

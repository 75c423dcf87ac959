#pragma once

/** The ledger library: the replicated log, its storage and the state that it carries. */

#include "libledger/ledgererrors.h"
#include "libledger/ledgerstate.h"

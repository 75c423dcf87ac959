#pragma once

/** The route library: admission, limits, routing and retries; decisions without I/O. */

#include "libroute/routeerrors.h"

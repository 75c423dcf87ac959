#pragma once

/** The HTTP library: server, router, client and problem answers, on Boost.Beast. */

#include "libhttp/httpclient.h"
#include "libhttp/httpserver.h"

// The only translation unit that contains the separately compiled parts of Boost.Asio and
// Boost.Beast.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

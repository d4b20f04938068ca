#include <boost/url/src.hpp>

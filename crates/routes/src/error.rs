//! Errors of an invalid route table.

use quick_error::quick_error;

quick_error! {
    /// Why a route table is invalid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TableError {
        /// A route has a target service that the table doesn't contain.
        UnknownService(route: String, service: String) {
            display("route \"{}\" names service \"{}\", which does not exist", route, service)
        }
        /// Two routes have the same host and path prefix.
        DuplicateRoute(host: String, prefix: String) {
            display("two routes have host \"{}\" and path prefix \"{}\"", host, prefix)
        }
        /// The weights of a route's targets are all zero.
        ZeroWeight(route: String) {
            display("the weights of route \"{}\" add up to 0", route)
        }
        /// A route's timeout is zero.
        ZeroTimeout(route: String) {
            display("the timeout of route \"{}\" is 0", route)
        }
        /// A route's path prefix doesn't begin and end with a slash.
        InvalidPrefix(route: String, prefix: String) {
            display("path prefix \"{}\" of route \"{}\" must begin and end with a slash", prefix, route)
        }
        /// Two teams have the same key.
        DuplicateKey(first: String, second: String) {
            display("teams \"{}\" and \"{}\" share a key", first, second)
        }
        /// Two services or two teams have the same name.
        DuplicateName(what: &'static str, name: String) {
            display("two {} are called \"{}\"", what, name)
        }
    }
}

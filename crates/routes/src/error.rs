//! Why a route table is refused.

use quick_error::quick_error;

quick_error! {
    /// Why a route table is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TableError {
        /// A route sends requests to a service that the table doesn't hold.
        UnknownService(route: String, service: String) {
            display("route \"{}\" names service \"{}\", which does not exist", route, service)
        }
        /// Two routes have the same host and path prefix.
        SamePlace(host: String, prefix: String) {
            display("two routes have host \"{}\" and path prefix \"{}\"", host, prefix)
        }
        /// No target of a route has a weight.
        NoWeight(route: String) {
            display("the weights of route \"{}\" add up to 0", route)
        }
        /// A route's timeout is zero.
        NoTimeout(route: String) {
            display("the timeout of route \"{}\" is 0", route)
        }
        /// A path prefix doesn't begin and end with a slash.
        BadPrefix(route: String, prefix: String) {
            display("path prefix \"{}\" of route \"{}\" must begin and end with a slash", prefix, route)
        }
        /// Two teams hold the same key.
        SharedKey(first: String, second: String) {
            display("teams \"{}\" and \"{}\" share a key", first, second)
        }
        /// Two services or two teams have one name.
        SameName(what: &'static str, name: String) {
            display("two {} are called \"{}\"", what, name)
        }
    }
}

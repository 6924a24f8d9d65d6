"""A client-side load balancer: carries out the decisions of `sorrelfront.decisions` on real sockets."""

"""A client-side load balancer: what `sorrelfront.decisions` decides is carried out on real sockets."""

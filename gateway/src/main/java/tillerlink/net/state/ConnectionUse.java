package tillerlink.net.state;

/** How a client connection has been used so far, in the order in which connections are evicted. */
enum ConnectionUse {
  /** No complete request has been received. */
  UNSPOKEN,
  /** The connection is idle and has carried at most one accepted request for execution. */
  ONCE,
  /** The connection is idle and has carried several accepted requests for execution. */
  IDLE,
  /** A request is in progress, an answer is being written, or a result is still pending. */
  OPEN
}

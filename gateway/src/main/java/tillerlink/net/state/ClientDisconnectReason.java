package tillerlink.net.state;

/** The reason why a client connection ended, as written to logs and counters. */
enum ClientDisconnectReason {
  /** The client closed the connection. */
  CLOSED_BY_CLIENT,
  /** The client reset the connection. */
  RESET_BY_CLIENT,
  /**
   * The gateway closed the connection after an answer, because the client requested that or the
   * gateway is shutting down.
   */
  AFTER_ANSWER,
  /** The gateway refused input that it could not parse or had no capacity for. */
  AFTER_REFUSAL,
  /** The client sent no request for too long. */
  IDLE,
  /** The client did not read an answer, or kept the connection open after the gateway closed it. */
  STALLED,
  /** The connection was evicted because the limit on client connections was reached. */
  NO_ROOM,
  /** The client fetches the same result on another connection, or has cancelled the request. */
  SUPERSEDED,
  /** The gateway is shutting down and the connection was unused. */
  SHUTDOWN
}

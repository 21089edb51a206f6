package tillerlink.net.state;

/** Who ended a client's connection, and why; for logs and counters. */
enum ClientDisconnectReason {
  CLOSED_BY_CLIENT,
  RESET_BY_CLIENT,
  /** It ended with the answer, because the client asked for that or the process ends. */
  AFTER_ANSWER,
  /** What it sent could not be read, or could not be taken. */
  AFTER_REFUSAL,
  IDLE,
  /** It did not read what was written to it, or stayed after a refusal. */
  STALLED,
  /** Its place was needed for another. */
  NO_ROOM,
  /** The client fetches the same result over another connection. */
  SUPERSEDED,
  SHUTDOWN
}

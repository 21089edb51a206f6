package tillerlink.statements.consensus;

/** Raft's timers, in tenths of a millisecond. */
final class RaftTiming {
  /** How often a leader sends append entries to voters that lack nothing. */
  static final long HEARTBEAT_INTERVAL = 1000;

  /** The shortest time without a leader after which a voter may start an election. */
  static final long ELECTION_TIMEOUT_MIN = 7000;

  /** A random share of this is added to each election timeout. */
  static final long ELECTION_TIMEOUT_SPREAD = 7000;

  /** How often a voter whose storage refused a write tries to write its state again. */
  static final long STORAGE_RETRY_INTERVAL = 10_000;

  private RaftTiming() {}
}

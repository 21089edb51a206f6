package tillerlink.statements.consensus;

/** The intervals and timeouts of the Raft protocol, in tenths of a millisecond. */
final class RaftTiming {
  /** Interval at which a leader sends append entries to voters that lack no entries. */
  static final long HEARTBEAT_INTERVAL = 1000;

  /** Shortest time without a leader after which a voter may start an election. */
  static final long ELECTION_TIMEOUT_MIN = 7000;

  /** Upper bound, exclusive, of the random time that is added to each election timeout. */
  static final long ELECTION_TIMEOUT_SPREAD = 7000;

  /** Interval at which a voter whose storage rejected a write writes its state again. */
  static final long STORAGE_RETRY_INTERVAL = 10_000;

  private RaftTiming() {}
}
